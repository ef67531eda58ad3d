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

/** A keyed request that a server has answered. */
export interface KeyedRequestSample {
  readonly service: contracts.ServiceId;
  readonly server: contracts.ServerId;
  readonly keyHash: number;
  readonly workMs: number;
  /** The server had a slot free, so `workMs` holds no time in its queue. */
  readonly hadFreeSlot: boolean;
}

/** Receives events of the request path; implementations must be quick. */
export interface RequestMetrics {
  finished(request: FinishedRequest): void;
  retried(service: contracts.ServiceId): void;
  ejected(service: contracts.ServiceId, server: contracts.ServerId): void;
  /** A keyed request was answered; feeds the planner's load figures. */
  keyedWork(work: KeyedRequestSample): void;
}

/** Metrics that go nowhere. */
export const NOOP_METRICS: RequestMetrics = {
  finished() {},
  retried() {},
  ejected() {},
  keyedWork() {},
};
