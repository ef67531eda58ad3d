/** Says whether an attempt that brought no answer may be made again. */
import type * as contracts from "@guavatide/contracts";
import type { RetryBudget } from "./retry_budget.ts";

/** How an attempt ended without an answer. */
export type FailedAttempt =
  | {
    readonly kind: "not-run";
    readonly reason: contracts.NotRunReason;
    /** Set when the server refused. */
    readonly refusal?: contracts.ServerRefusal;
  }
  | { readonly kind: "unknown"; readonly reason: contracts.UnknownReason };

/** State of the request that {@link decideRetry} weighs. */
export interface DecideRetryOptions {
  readonly isIdempotent: boolean;
  /** Whether the request's key has one owner, so that no other can serve it. */
  readonly isKeyed: boolean;
  /** Attempts made so far. */
  readonly attempts: number;
  /** Whether a server is left that was not tried; always true for a key. */
  readonly hasOtherServer: boolean;
  readonly timeLeftMs: number;
  readonly budget: RetryBudget;
}

/** What to do after a failed attempt. */
export type RetryDecision =
  | { readonly kind: "retry" }
  | { readonly kind: "give-up"; readonly failure: FailedAttempt };

/** Attempts of one request, the first included. */
const MAX_ATTEMPTS = 4;
/** Less time than this is of no use for another attempt. */
const MIN_TIME_LEFT_MS = 2;

/**
 * Only a request that was proved not to have run, or that is idempotent, is
 * sent again: a second run of a booking charges for an hour twice.
 */
export function decideRetry(
  failure: FailedAttempt,
  options: DecideRetryOptions,
): RetryDecision {
  if (
    isFlowControl(failure, options.isKeyed) &&
    options.timeLeftMs >= MIN_TIME_LEFT_MS
  ) {
    return { kind: "retry" };
  }
  const isSafe = failure.kind === "not-run" || options.isIdempotent;
  const isUseful = options.attempts < MAX_ATTEMPTS &&
    options.hasOtherServer && options.timeLeftMs >= MIN_TIME_LEFT_MS;
  if (!isSafe || !isUseful) return { kind: "give-up", failure };
  if (options.budget.tryTake()) return { kind: "retry" };
  if (failure.kind === "unknown") return { kind: "give-up", failure };
  return {
    kind: "give-up",
    failure: { kind: "not-run", reason: "retry-budget" },
  };
}

/**
 * A server that is full says so before it has done any work; the request
 * waits in its queue, which paces what goes to such a server. So does one for
 * a key whose owner is leaving, cold, lost or has not yet got the slice: only
 * its next owner can serve it, within seconds. Neither costs anything of the
 * budget, which is there to bound what failures multiply.
 */
function isFlowControl(failure: FailedAttempt, isKeyed: boolean): boolean {
  if (failure.kind !== "not-run" || failure.refusal === "deadline") {
    return false;
  }
  return isKeyed || failure.refusal === "busy";
}
