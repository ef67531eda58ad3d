/** Buffers the body of an HTTP request, up to a size limit. */
import type * as http from "node:http";

/** Outcome of reading a body. */
export type ReadBodyResult =
  /** `body` is undefined when the request has none. */
  | { readonly kind: "whole"; readonly body: Uint8Array | undefined }
  | { readonly kind: "too-large" }
  /** The connection closed before the end of the body. */
  | { readonly kind: "broken" };

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  /** Aborted when the rest of the body is not to be read. */
  readonly signal?: AbortSignal;
  /** Called for each part of the body. */
  readonly onProgress?: () => void;
}

/** Declared length of a body; 0 without one, undefined when it is chunked. */
export function declaredBodyBytes(
  { headers }: http.IncomingMessage,
): number | undefined {
  if (headers["transfer-encoding"] !== undefined) return undefined;
  return Number(headers["content-length"] ?? 0);
}

/**
 * Reads a body of at most `limitBytes`; stops reading a larger one, and when
 * the signal is aborted. Never rejects.
 */
export function readBody(
  incoming: http.IncomingMessage,
  limitBytes: number,
  { signal, onProgress }: ReadBodyOptions = {},
): Promise<ReadBodyResult> {
  const declaredBytes = declaredBodyBytes(incoming);
  if (declaredBytes !== undefined && declaredBytes > limitBytes) {
    return Promise.resolve({ kind: "too-large" });
  }
  if (declaredBytes === 0) {
    incoming.resume();
    return Promise.resolve({ kind: "whole", body: undefined });
  }
  return new Promise((resolve) => {
    const chunks: Uint8Array[] = [];
    let receivedBytes = 0;
    incoming.on("data", (chunk: Uint8Array) => {
      receivedBytes += chunk.length;
      onProgress?.();
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
    const onBroken = () => resolve({ kind: "broken" });
    incoming.on("close", onBroken);
    signal?.addEventListener("abort", onBroken);
  });
}
