/** What the request path tells the metrics. */
import type * as contracts from "@guavatide/contracts";

/** One finished request. */
export interface FinishedRequest {
  readonly service: contracts.ServiceId;
  readonly outcome: contracts.Outcome["kind"];
  /** Why it was not run or is unknown; absent when answered. */
  readonly reason: string | undefined;
  readonly durationMs: number;
  /** Time spent waiting for a server, in milliseconds. */
  readonly queuedMs: number;
  readonly attempts: number;
}

/** Receives events of the request path; implementations must be quick. */
export interface RequestMetrics {
  finished(request: FinishedRequest): void;
  retried(service: contracts.ServiceId): void;
  ejected(service: contracts.ServiceId, server: contracts.ServerId): void;
}

/** Metrics that go nowhere. */
export const NO_METRICS: RequestMetrics = {
  finished() {},
  retried() {},
  ejected() {},
};
