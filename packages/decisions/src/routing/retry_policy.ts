/** Decides whether a request is retried after an attempt without an answer. */
import type * as contracts from "@guavatide/contracts";
import type { RetryBudget } from "./retry_budget.ts";

/** How an attempt ended without an answer. */
export type FailedAttempt =
  | {
    readonly kind: "not-run";
    readonly reason: contracts.NotRunReason;
    /** Present if the server refused the request. */
    readonly refusal?: contracts.ServerRefusal;
  }
  | { readonly kind: "unknown"; readonly reason: contracts.UnknownReason };

/** State of a request for {@link decideRetry}. */
export interface DecideRetryOptions {
  readonly isIdempotent: boolean;
  /** Whether the request has a key, which only its one owner can serve. */
  readonly isKeyed: boolean;
  /** Attempts so far. */
  readonly attempts: number;
  /** Whether an untried server is left; always true for a keyed request. */
  readonly hasOtherServer: boolean;
  readonly timeLeftMs: number;
  readonly budget: RetryBudget;
}

/** What to do after a failed attempt. */
export type RetryDecision =
  | { readonly kind: "retry" }
  | { readonly kind: "give-up"; readonly failure: FailedAttempt };

/** Attempts of one request, including the first. */
const MAX_ATTEMPTS = 4;
/** With less time left another attempt can't succeed. */
const MIN_TIME_LEFT_MS = 2;

/**
 * Retries only requests that provably did not run or that are idempotent:
 * running a booking twice would charge for it twice.
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
  const isPossible = options.attempts < MAX_ATTEMPTS &&
    options.hasOtherServer && options.timeLeftMs >= MIN_TIME_LEFT_MS;
  if (!isSafe || !isPossible) return { kind: "give-up", failure };
  if (options.budget.tryTake()) return { kind: "retry" };
  if (failure.kind === "unknown") return { kind: "give-up", failure };
  return {
    kind: "give-up",
    failure: { kind: "not-run", reason: "retry-budget" },
  };
}

/**
 * Whether the attempt ended by flow control instead of a failure. A full server
 * refuses before it has done any work, and the request goes back to its queue,
 * which paces the attempts. A request for a key whose owner is leaving, cold,
 * lost or does not have the slice yet also goes back to its queue: only the next
 * owner can serve it, within seconds. Neither is charged to the budget, which
 * limits how failures multiply the load.
 */
function isFlowControl(failure: FailedAttempt, isKeyed: boolean): boolean {
  if (failure.kind !== "not-run" || failure.refusal === "deadline") {
    return false;
  }
  return isKeyed || failure.refusal === "busy";
}
