/** What a caller of the proofs sent and was told. */

/** The fate of a request by the caller's knowledge. */
export type ToldOutcome =
  | "answered"
  | "not-run"
  | "unknown"
  /** The entry VM could not be reached: no byte left the caller. */
  | "not-connected";

/** One request of a caller; times are CLOCK_MONOTONIC. */
export interface CallerRecord {
  /** Sent as `idempotency-key`; no two requests share it. */
  readonly operationId: string;
  readonly key: string;
  readonly isIdempotent: boolean;
  /** Where it was sent. */
  readonly entryUrl: string;
  readonly sentMs: number;
  readonly endMs: number;
  readonly outcome: ToldOutcome;
  readonly reason: string | undefined;
  /** The server that an answer names. */
  readonly server: string | undefined;
  /** Whether an answer was the request's own and whole. */
  readonly isOwnAnswer: boolean;
}

/** CLOCK_MONOTONIC in milliseconds, the same for every process. */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}
