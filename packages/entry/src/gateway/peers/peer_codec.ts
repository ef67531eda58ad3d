/** Encoding of datagrams between entry VMs: JSON-RPC 2.0 notifications. */
import * as contracts from "@guavatide/contracts";
import * as zlib from "node:zlib";
import * as jsonRpc from "json-rpc-2.0";

/** One notification. */
export interface PeerMessage {
  readonly method: string;
  readonly params: unknown;
}

/**
 * Larger messages are compressed. Those are updates of range maps, which repeat
 * the same names for each range: half of all bytes between zones.
 */
const COMPRESSION_MIN_BYTES = 1_500;
/** Favors time over size; names compress well at any level. */
const COMPRESSION_LEVEL = 1;
/** First byte of the zlib format, which no JSON object begins with. */
const ZLIB_HEADER = 0x78;
/** Largest message that a datagram may decompress to. */
const DECOMPRESSED_MAX_BYTES = 1_048_576;

/** Compresses what goes to peers. */
export function compress(data: Uint8Array | string): Uint8Array {
  return zlib.deflateSync(data, { level: COMPRESSION_LEVEL });
}

/** Decompresses what a peer has sent; throws if it is larger than `maxBytes`. */
export function decompress(bytes: Uint8Array, maxBytes: number): Buffer {
  return zlib.inflateSync(bytes, { maxOutputLength: maxBytes });
}

/** Encodes a notification. */
export function encodeMessage(method: string, params: object): Uint8Array {
  return compressIfLong(encodeText(method, params));
}

/** The same; undefined if it is larger than what receivers decompress. */
export function encodeIfDecodable(
  method: string,
  params: object,
): Uint8Array | undefined {
  const bytes = encodeText(method, params);
  return bytes.length > DECOMPRESSED_MAX_BYTES
    ? undefined
    : compressIfLong(bytes);
}

function encodeText(method: string, params: object): Uint8Array {
  return Buffer.from(
    JSON.stringify(jsonRpc.createJSONRPCNotification(method, params)),
  );
}

function compressIfLong(bytes: Uint8Array): Uint8Array {
  return bytes.length < COMPRESSION_MIN_BYTES ? bytes : compress(bytes);
}

/** Decodes a datagram; undefined if it is no notification. */
export function decodeMessage(bytes: Buffer): PeerMessage | undefined {
  try {
    const text = bytes[0] === ZLIB_HEADER
      ? decompress(bytes, DECOMPRESSED_MAX_BYTES)
      : bytes;
    const message = contracts.parseJson(text.toString()).unwrapOr(null) as
      | (Partial<PeerMessage> & { readonly jsonrpc?: unknown })
      | null;
    const { jsonrpc, method, params } = message ?? {};
    const isMessage = jsonrpc === "2.0" && typeof method === "string";
    return isMessage ? { method, params } : undefined;
  } catch {
    // Not compressed JSON; the caller writes the log line.
    return undefined;
  }
}
