/** What a caller of the proofs sent and which outcome it received. */

/** Outcome of a request as the caller sees it. */
export type ReportedOutcome =
  | "answered"
  | "not-run"
  | "unknown"
  /** The entry VM could not be reached: no byte left the caller. */
  | "not-connected";

/** One request of a caller; times are CLOCK_MONOTONIC milliseconds. */
export interface CallerRecord {
  /** Sent as `idempotency-key`; no two requests share it. */
  readonly operationId: string;
  readonly key: string;
  readonly isIdempotent: boolean;
  /** Base URL of the entry VM that it was sent to. */
  readonly entryUrl: string;
  readonly sentMs: number;
  readonly endMs: number;
  readonly outcome: ReportedOutcome;
  readonly reason: string | undefined;
  /** Server named in the answer. */
  readonly server: string | undefined;
  /** Whether the answer is complete and belongs to this request. */
  readonly isOwnAnswer: boolean;
}

/** CLOCK_MONOTONIC in milliseconds; all processes of a machine share it. */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}
