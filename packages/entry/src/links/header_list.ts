/**
 * Lists of header names and values in turn, as Node and undici give them. A
 * list keeps repeated headers and is cheaper than a map.
 */
import * as contracts from "@guavatide/contracts";

/** Headers that concern one connection only and are never passed on. */
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

/** Headers of this system; each side sets its own. */
const INTERNAL_HEADERS: ReadonlySet<string> = new Set([
  contracts.REQUEST_ID_HEADER,
  contracts.DEADLINE_HEADER,
  // A server that checks no fences would read a caller's own stamp in place of
  // the bound that a move relies on.
  contracts.DEADLINE_STAMP_HEADER,
  contracts.STAMP_HEADER,
  contracts.SLICE_HEADER,
  contracts.FENCE_HEADER,
  contracts.NOT_RUN_HEADER,
  contracts.IN_FLIGHT_HEADER,
  contracts.OUTCOME_HEADER,
  contracts.REASON_HEADER,
  contracts.KEY_HEADER,
  contracts.TIMEOUT_HEADER,
]);

/** The value of a header, by its name in lower case. */
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

/** Headers of a caller's request that go on to the server. */
export function requestHeaders(headers: readonly string[]): string[] {
  return forwardableHeaders(headers);
}

/** Headers of a server's answer that go on to the caller. */
export function answerHeaders(headers: readonly string[]): string[] {
  return forwardableHeaders(headers);
}

function forwardableHeaders(headers: readonly string[]): string[] {
  const listed = connectionTokens(headers);
  const passed: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index]!.toLowerCase();
    if (INTERNAL_HEADERS.has(name) || HOP_BY_HOP_HEADERS.has(name)) continue;
    if (listed?.includes(name)) continue;
    passed.push(headers[index]!, headers[index + 1]!);
  }
  return passed;
}

/** Names that the sender's Connection header declares as its own. */
function connectionTokens(headers: readonly string[]): string[] | undefined {
  const value = readHeader(headers, "connection");
  if (value === undefined) return undefined;
  return value.toLowerCase().split(",").map((name) => name.trim());
}
