/**
 * Lists of alternating header names and values, as Node and undici provide
 * them. A list keeps repeated headers and is cheaper than a map.
 */
import * as contracts from "@guavatide/contracts";

/** Headers that apply to a single connection and are never forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "content-length",
  "date",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Headers of this system; each hop sets its own. */
const INTERNAL_HEADERS: ReadonlySet<string> = new Set([
  contracts.REQUEST_ID_HEADER,
  contracts.DEADLINE_HEADER,
  // A server that checks no fencing tokens would use a caller's own stamp instead
  // of the deadline that a handover relies on.
  contracts.DEADLINE_STAMP_HEADER,
  contracts.STAMP_HEADER,
  contracts.SLICE_HEADER,
  contracts.FENCE_HEADER,
  contracts.NOT_RUN_HEADER,
  contracts.IN_FLIGHT_HEADER,
  contracts.REQUEST_LIMIT_HEADER,
  contracts.OUTCOME_HEADER,
  contracts.REASON_HEADER,
  contracts.KEY_HEADER,
  contracts.TIMEOUT_HEADER,
]);

/** The first value of a header, by its name in lower case. */
export function readHeader(
  headers: readonly string[],
  name: string,
): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const found = headers[index]!;
    if (found.length === name.length && found.toLowerCase() === name) {
      return headers[index + 1];
    }
  }
  return undefined;
}

/** The last value of a header, by its name in lower case. */
export function readLastHeader(
  headers: readonly string[],
  name: string,
): string | undefined {
  const index = headers.findLastIndex((it, at) =>
    at % 2 === 0 && it.length === name.length && it.toLowerCase() === name
  );
  return index < 0 ? undefined : headers[index + 1];
}

/** Headers of a caller's request to forward to the server. */
export function requestHeaders(headers: readonly string[]): string[] {
  return forwardableHeaders(headers);
}

/** Headers of a server's response to forward to the caller. */
export function answerHeaders(headers: readonly string[]): string[] {
  return forwardableHeaders(headers);
}

function forwardableHeaders(headers: readonly string[]): string[] {
  const listed = connectionTokens(headers);
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index]!.toLowerCase();
    if (INTERNAL_HEADERS.has(name) || HOP_BY_HOP_HEADERS.has(name)) continue;
    if (listed?.includes(name)) continue;
    kept.push(headers[index]!, headers[index + 1]!);
  }
  return kept;
}

/** Names that the Connection header declares hop-by-hop, in lower case. */
function connectionTokens(headers: readonly string[]): string[] | undefined {
  const value = readHeader(headers, "connection");
  if (value === undefined) return undefined;
  return value.toLowerCase().split(",").map((name) => name.trim());
}
