/** Encoding of datagrams between entry VMs: JSON-RPC 2.0 notifications. */
import * as jsonRpc from "json-rpc-2.0";

/** One notification. */
export interface PeerMessage {
  readonly method: string;
  readonly params: unknown;
}

/** Encodes a notification. */
export function encodeMessage(method: string, params: object): Uint8Array {
  return Buffer.from(
    JSON.stringify(jsonRpc.createJSONRPCNotification(method, params)),
  );
}

/** Decodes a datagram; undefined if it is no notification. */
export function decodeMessage(bytes: Buffer): PeerMessage | undefined {
  try {
    const message = JSON.parse(bytes.toString()) as
      | (Partial<PeerMessage> & { readonly jsonrpc?: unknown })
      | null;
    const { jsonrpc, method, params } = message ?? {};
    const isMessage = jsonrpc === "2.0" && typeof method === "string";
    return isMessage ? { method, params } : undefined;
  } catch {
    // Not JSON; the caller writes the log line.
    return undefined;
  }
}
