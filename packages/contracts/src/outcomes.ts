/**
 * Outcomes of requests as reported to callers. The set is closed: a request was
 * answered, was proved not to have run, or its outcome is unknown.
 */

/** Response header: the outcome. */
export const OUTCOME_HEADER = "guavatide-outcome";
/** Response header: why a request was not run or its outcome is unknown. */
export const REASON_HEADER = "guavatide-reason";
/** Request header: the key; required by keyed services. */
export const KEY_HEADER = "guavatide-key";
/** Request header: the caller's timeout, in milliseconds. */
export const TIMEOUT_HEADER = "guavatide-timeout-ms";
/** Request header: the caller, for limits. */
export const CALLER_HEADER = "guavatide-caller";

/** Why a request was not run. Each reason proves that no server ran it. */
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
  | "crashes-servers"
  | "shutting-down";

/** Why an outcome is unknown: bytes were sent and no valid answer arrived. */
export type UnknownReason =
  | "timeout-after-send"
  | "connection-lost"
  | "bad-answer";

/** The outcome of a request, without the answer's body. */
export type Outcome =
  | { readonly kind: "answered"; readonly status: number }
  | {
    readonly kind: "not-run";
    readonly reason: NotRunReason;
    /** Time after which the caller may retry, in milliseconds. */
    readonly retryAfterMs: number;
  }
  | { readonly kind: "unknown"; readonly reason: UnknownReason };
