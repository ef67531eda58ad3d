/** A fully read request of a caller, and the answer to it. */
import type * as contracts from "@guavatide/contracts";

/** A request of a caller with its body. */
export interface CallerRequest {
  readonly service: contracts.ServiceId;
  readonly method: string;
  /** Path and query after the service name, without a leading slash. */
  readonly pathAndQuery: string;
  /** Headers to forward, as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  readonly key: string | undefined;
  /** Name that the caller gave itself, unauthenticated; empty when absent. */
  readonly caller: string;
  /** Timeout that the caller requested; absent when it sent none. */
  readonly timeoutMs: number | undefined;
  /** Monotonic time at which the request's headers arrived. */
  readonly arrivedMs: number;
  /** Aborted when the caller disconnects before its answer. */
  readonly signal: AbortSignal;
}

/** The complete answer of a backend server. */
export interface ServerAnswer {
  readonly status: number;
  /** Headers to forward, as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /**
   * The body had no declared length and ended when its connection closed, so
   * truncation can't be detected. The answer is forwarded in the same way.
   */
  readonly endsWithConnection?: boolean;
}

/** The answer to a caller: every request ends in one of these outcomes. */
export type CallerAnswer =
  | { readonly kind: "answered"; readonly answer: ServerAnswer }
  | {
    readonly kind: "not-run";
    readonly reason: contracts.NotRunReason;
    readonly retryAfterMs: number;
    readonly message: string;
    /** HTTP status in place of the reason's default. */
    readonly status?: number;
  }
  | {
    readonly kind: "unknown";
    readonly reason: contracts.UnknownReason;
    readonly message: string;
  };

/** Options of {@link notRun}. */
export interface NotRunOptions {
  readonly retryAfterMs?: number;
  readonly message: string;
  readonly status?: number;
}

/** Retry delay for callers when no better estimate is known. */
const DEFAULT_RETRY_AFTER_MS = 1000;

/** Creates the answer to a request that no server ran. */
export function notRun(
  reason: contracts.NotRunReason,
  options: NotRunOptions,
): CallerAnswer {
  const retryAfterMs = options.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
  const { message, status } = options;
  return { kind: "not-run", reason, retryAfterMs, message, status };
}
