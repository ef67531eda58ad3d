/** A caller's request, read whole, and the answer that it gets. */
import type * as contracts from "@guavatide/contracts";

/** A request from a caller with its body. */
export interface CallerRequest {
  readonly service: contracts.ServiceId;
  readonly method: string;
  /** Path and query behind the service, without a leading slash. */
  readonly pathAndQuery: string;
  /** Headers to forward, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  readonly key: string | undefined;
  /** The caller by its own word; empty when it named none. */
  readonly caller: string;
  /** Time the caller will wait; absent when it named none. */
  readonly timeoutMs: number | undefined;
  /** Monotonic time at which the request's head arrived. */
  readonly arrivedMs: number;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
}

/** The whole answer of a server. */
export interface ServerAnswer {
  readonly status: number;
  /** Headers to pass on, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /**
   * The answer had no length and ended with its connection, so that nobody can
   * tell whether it is whole. It is passed on in the same way.
   */
  readonly endsWithConnection?: boolean;
}

/** What the caller is told. */
export type CallerAnswer =
  | { readonly kind: "answered"; readonly answer: ServerAnswer }
  | {
    readonly kind: "not-run";
    readonly reason: contracts.NotRunReason;
    readonly retryAfterMs: number;
    readonly message: string;
    /** HTTP status, when the reason's usual one is not exact enough. */
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

/** When a caller may come back if nothing better is known. */
const DEFAULT_RETRY_AFTER_MS = 1000;

/** Creates the answer for a request that no server ran. */
export function notRun(
  reason: contracts.NotRunReason,
  options: NotRunOptions,
): CallerAnswer {
  const retryAfterMs = options.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
  const { message, status } = options;
  return { kind: "not-run", reason, retryAfterMs, message, status };
}
