/** Events that the request path reports to the metrics. */
import type * as contracts from "@guavatide/contracts";

/** A finished request. */
export interface FinishedRequest {
  readonly service: contracts.ServiceId;
  readonly outcome: contracts.Outcome["kind"];
  /** Reason for the outcome "not-run" or "unknown"; undefined when answered. */
  readonly reason: string | undefined;
  readonly durationMs: number;
  /** Time spent waiting for slots, in milliseconds. */
  readonly queuedMs: number;
  readonly attempts: number;
}

/** Measurement of a keyed request that a server has answered. */
export interface KeyedRequestSample {
  readonly service: contracts.ServiceId;
  readonly server: contracts.ServerId;
  readonly keyHash: number;
  readonly workMs: number;
  /** The server had a free slot, so `workMs` includes no queueing there. */
  readonly hadFreeSlot: boolean;
}

/** Receives events of the request path. Called inline: must not block. */
export interface RequestMetrics {
  finished(request: FinishedRequest): void;
  retried(service: contracts.ServiceId): void;
  ejected(service: contracts.ServiceId, server: contracts.ServerId): void;
  /** A keyed request was answered; input of the planner's load estimates. */
  keyedWork(work: KeyedRequestSample): void;
}

/** Discards all events. */
export const NOOP_METRICS: RequestMetrics = {
  finished() {},
  retried() {},
  ejected() {},
  keyedWork() {},
};
