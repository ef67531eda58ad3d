/** Reads the body of an HTTP request whole, up to a limit. */
import type * as http from "node:http";

/** What came of reading a body. */
export type ReadBodyResult =
  /** Undefined when the request has no body. */
  | { readonly kind: "whole"; readonly body: Uint8Array | undefined }
  | { readonly kind: "too-large" }
  /** The connection ended within the body. */
  | { readonly kind: "broken" };

/** Reads the body. A body beyond the limit is not read to its end. */
export function readBody(
  incoming: http.IncomingMessage,
  limitBytes: number,
): Promise<ReadBodyResult> {
  const declared = Number(incoming.headers["content-length"] ?? 0);
  if (declared > limitBytes) return Promise.resolve({ kind: "too-large" });
  const hasBody = declared > 0 ||
    incoming.headers["transfer-encoding"] !== undefined;
  if (!hasBody) {
    incoming.resume();
    return Promise.resolve({ kind: "whole", body: undefined });
  }
  return new Promise((resolve) => {
    const chunks: Uint8Array[] = [];
    let sizeBytes = 0;
    incoming.on("data", (chunk: Uint8Array) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= limitBytes) {
        chunks.push(chunk);
        return;
      }
      incoming.pause();
      resolve({ kind: "too-large" });
    });
    incoming.on(
      "end",
      () => resolve({ kind: "whole", body: Buffer.concat(chunks) }),
    );
    incoming.on("close", () => resolve({ kind: "broken" }));
  });
}
