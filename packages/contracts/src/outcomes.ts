/**
 * What a caller is told about a request. The set is closed: a request was
 * answered, was proved not to have run, or its fate is unknown.
 */

/** Response header that carries the outcome. */
export const OUTCOME_HEADER = "guavatide-outcome";
/** Response header that names why a request was not run or is unknown. */
export const REASON_HEADER = "guavatide-reason";
/** Request header with the key; required by keyed services. */
export const KEY_HEADER = "guavatide-key";
/** Request header with the time the caller will wait, in milliseconds. */
export const TIMEOUT_HEADER = "guavatide-timeout-ms";
/** Request header that names the caller, for limits. */
export const CALLER_HEADER = "guavatide-caller";

/** Why a request was not run. Each is proof that no server ran it. */
export type NotRunReason =
  | "unknown-service"
  | "bad-request"
  | "no-owner"
  | "no-server"
  | "queue-full"
  | "caller-limit"
  | "deadline-before-send"
  | "refused-by-server"
  | "not-connected"
  | "retry-budget"
  | "shutting-down";

/** Why a request's fate is unknown: bytes left us and no answer came. */
export type UnknownReason =
  | "timeout-after-send"
  | "connection-lost"
  | "bad-answer";

/** The fate of a request, without the answer's body. */
export type Outcome =
  | { readonly kind: "answered"; readonly status: number }
  | {
    readonly kind: "not-run";
    readonly reason: NotRunReason;
    /** When the caller may come back. */
    readonly retryAfterMs: number;
  }
  | { readonly kind: "unknown"; readonly reason: UnknownReason };
