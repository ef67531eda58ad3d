/**
 * Tells what a backend server's response means: the request's own answer, a
 * proof that it did not run, or bytes that belong to no request.
 */
import type * as contracts from "@guavatide/contracts";
import type { ServerAnswer } from "../requests/caller_request.ts";

/** A whole response as it came over a connection. */
export interface RawAnswer {
  readonly method: string;
  readonly status: number;
  /** Names and values in turn. */
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
  /** Not this request's answer, or not a whole one. */
  | { readonly kind: "bad"; readonly message: string };

/** What a response tells besides, whatever it means for the request. */
export interface AnswerReport {
  /** The server's load; undefined when it tells none, or none that is sound. */
  readonly report?: contracts.ServerReport | undefined;
}

/** Decodes the responses of one kind of backend server. */
export interface AnswerDecoder {
  decode(
    requestId: contracts.RequestId,
    raw: RawAnswer,
  ): DecodedAnswer & AnswerReport;
}
