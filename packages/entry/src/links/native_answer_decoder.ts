/** Responses of backend servers that speak this system's own contract. */
import type * as contracts from "@guavatide/contracts";
import * as names from "@guavatide/contracts";
import type {
  AnswerDecoder,
  DecodedAnswer,
  RawAnswer,
} from "./answer_decoder.ts";
import { answerHeaders, readHeader } from "./header_list.ts";

/** Decodes responses under `/serve/`. */
export class NativeAnswerDecoder implements AnswerDecoder {
  decode(requestId: contracts.RequestId, raw: RawAnswer): DecodedAnswer {
    const echoed = readHeader(raw.headers, names.REQUEST_ID_HEADER);
    if (echoed !== requestId) {
      const message = "The answer bears the id of another request";
      return { kind: "bad", message };
    }
    if (!hasKnownEnd(raw)) {
      return { kind: "bad", message: "The answer's length can't be checked" };
    }
    const inFlight = readInFlight(raw.headers);
    const refusal = readHeader(raw.headers, names.NOT_RUN_HEADER);
    if (refusal !== undefined) {
      return {
        kind: "refusal",
        refusal: refusal as contracts.ServerRefusal,
        inFlight,
      };
    }
    const { status, body } = raw;
    const answer = { status, headers: answerHeaders(raw.headers), body };
    return { kind: "answer", answer, inFlight };
  }
}

/**
 * Whether a cut-off body would have been noticed: one that ends with its
 * connection looks whole when the connection breaks.
 */
export function hasKnownEnd({ method, status, headers }: RawAnswer): boolean {
  const hasNoBody = method === "HEAD" || status === 204 || status === 304;
  return hasNoBody ||
    readHeader(headers, "content-length") !== undefined ||
    readHeader(headers, "transfer-encoding") !== undefined;
}

function readInFlight(headers: readonly string[]): number | undefined {
  const text = readHeader(headers, names.IN_FLIGHT_HEADER);
  const value = Number(text);
  return text === undefined || !Number.isFinite(value) ? undefined : value;
}
