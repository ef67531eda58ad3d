/** Decodes responses of backend servers that implement this system's protocol. */
import type * as contracts from "@guavatide/contracts";
import * as names from "@guavatide/contracts";
import type {
  AnswerDecoder,
  AnswerReport,
  DecodedAnswer,
  RawAnswer,
} from "./answer_decoder.ts";
import { answerHeaders, readHeader, readLastHeader } from "./header_list.ts";

/** With this status a refusal's Retry-After is about the server. */
const UNAVAILABLE_STATUS = 503;

/** Decoder for responses to requests under `/serve/`. */
export class NativeAnswerDecoder implements AnswerDecoder {
  decode(
    requestId: contracts.RequestId,
    raw: RawAnswer,
  ): DecodedAnswer & AnswerReport {
    const echoed = readHeader(raw.headers, names.REQUEST_ID_HEADER);
    if (echoed !== requestId) {
      const message = "The answer bears the id of another request";
      return { kind: "bad", message };
    }
    if (!hasKnownEnd(raw)) {
      return { kind: "bad", message: "The answer's length can't be checked" };
    }
    const inFlight = readInFlight(raw.headers);
    const requestLimit = names.parseRequestLimit(
      readHeader(raw.headers, names.REQUEST_LIMIT_HEADER),
    );
    const refusal = readHeader(raw.headers, names.NOT_RUN_HEADER);
    if (refusal !== undefined) {
      const retryAfter = raw.status === UNAVAILABLE_STATUS
        ? names.parseRetryAfter(readHeader(raw.headers, "retry-after"), {
          dateText: readHeader(raw.headers, "date"),
          nowUnixMs: Date.now(),
        })
        : undefined;
      return {
        kind: "refusal",
        refusal: refusal as contracts.ServerRefusal,
        inFlight,
        requestLimit,
        retryAfter,
      };
    }
    const { status, body } = raw;
    const answer = { status, headers: answerHeaders(raw.headers), body };
    return { kind: "answer", answer, inFlight, requestLimit };
  }
}

/** Only this coding, as the last one, gives a body an end of its own. */
const CHUNKED_LAST = /(?:^|[,\s])chunked\s*$/i;

/**
 * Whether a truncated body would have been detected: a close-delimited one
 * looks complete when the connection breaks.
 */
export function hasKnownEnd({ method, status, headers }: RawAnswer): boolean {
  const hasNoBody = method === "HEAD" || status === 204 || status === 304;
  if (hasNoBody) return true;
  const coding = readLastHeader(headers, "transfer-encoding");
  return coding === undefined
    ? readHeader(headers, "content-length") !== undefined
    : CHUNKED_LAST.test(coding);
}

function readInFlight(headers: readonly string[]): number | undefined {
  const text = readHeader(headers, names.IN_FLIGHT_HEADER);
  const value = Number(text);
  return text === undefined || !Number.isFinite(value) ? undefined : value;
}
