/** Buffers the body of an HTTP request, up to a size limit. */
import type * as http from "node:http";

/** Outcome of reading a body. */
export type ReadBodyResult =
  /** `body` is undefined when the request has none. */
  | { readonly kind: "whole"; readonly body: Uint8Array | undefined }
  | { readonly kind: "too-large" }
  /** The connection closed before the end of the body. */
  | { readonly kind: "broken" };

/**
 * Reads a body of at most `limitBytes`; stops reading a larger one. Never
 * rejects.
 */
export function readBody(
  incoming: http.IncomingMessage,
  limitBytes: number,
): Promise<ReadBodyResult> {
  const declaredBytes = Number(incoming.headers["content-length"] ?? 0);
  if (declaredBytes > limitBytes) return Promise.resolve({ kind: "too-large" });
  const hasBody = declaredBytes > 0 ||
    incoming.headers["transfer-encoding"] !== undefined;
  if (!hasBody) {
    incoming.resume();
    return Promise.resolve({ kind: "whole", body: undefined });
  }
  return new Promise((resolve) => {
    const chunks: Uint8Array[] = [];
    let receivedBytes = 0;
    incoming.on("data", (chunk: Uint8Array) => {
      receivedBytes += chunk.length;
      if (receivedBytes <= limitBytes) {
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
