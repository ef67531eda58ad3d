/**
 * Interprets a backend server's response: the answer to the request, a proof
 * that the request did not run, or bytes that belong to no request.
 */
import type * as contracts from "@guavatide/contracts";
import type { ServerAnswer } from "../requests/caller_request.ts";

/** A whole response as received over a connection. */
export interface RawAnswer {
  readonly method: string;
  readonly status: number;
  /** Names and values alternating. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** What a response means. */
export type DecodedAnswer =
  | {
    readonly kind: "answer";
    readonly answer: ServerAnswer;
    readonly inFlight: number | undefined;
  }
  | {
    readonly kind: "refusal";
    readonly refusal: contracts.ServerRefusal;
    readonly inFlight: number | undefined;
  }
  /** Not the answer to this request, or possibly truncated. */
  | { readonly kind: "bad"; readonly message: string };

/** What a response reports besides its outcome. */
export interface AnswerReport extends contracts.ServerNotices {
  /** The server's load; undefined when it reports none or an invalid one. */
  readonly report?: contracts.ServerReport | undefined;
}

/** Decodes the responses of one kind of backend server. */
export interface AnswerDecoder {
  decode(
    requestId: contracts.RequestId,
    raw: RawAnswer,
  ): DecodedAnswer & AnswerReport;
}
