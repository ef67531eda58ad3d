/** A request that waits for a backend server, and how its wait ends. */
import type * as contracts from "@guavatide/contracts";
import type { ServerLoad } from "./server_load.ts";

/** Why a request was not sent to any server. */
export type RefusalReason =
  /** No live server is known. */
  | "no-server"
  /** No region that may run the request has a server for it. */
  | "not-home"
  /** It has no key, and its service serves only requests with keys. */
  | "no-key"
  /** The key has no owner at present. */
  | "no-owner"
  /** The key has no owner, and no VM can give it one at present. */
  | "blocked"
  /** No VM reaches the key's owner or any that could become it, or any server. */
  | "unreached"
  /** The servers have no capacity to answer it in time. */
  | "no-room"
  /** All servers that may run it have asked this VM to back off. */
  | "backing-off"
  /** The servers take fewer requests than come, by the limits they name. */
  | "limited"
  /** Its key asks for more than the key's owner has left for it. */
  | "hot-key"
  /** It was queued until its deadline. */
  | "timeout";

/** Refusal of a request that was not sent. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** When the caller is asked to retry. */
  readonly retryAfterMs: number;
  /** Expected queueing time that led to the refusal, for the log. */
  readonly expectedWaitMs: number;
  /** The server whose limit decided, if one did. */
  readonly limitedBy?: contracts.ServerId | undefined;
}

/** The server that was chosen for a request. */
export interface Placement {
  readonly load: ServerLoad;
  /** Requests of all entry VMs at the server when it was chosen. */
  readonly outstanding: number;
  /** Fencing token of the owner's lease, for keyed requests. */
  readonly fence: number | undefined;
  /**
   * Releases the slot that a coordinator granted. Called when the request has
   * ended at the server, with the milliseconds it took if it was answered.
   */
  readonly releaseSlot?: (tookMs: number | undefined) => void;
}

/**
 * Source of slots at servers that own keys. Coordinators grant the slots, as
 * no single entry VM sees all requests at such a server.
 */
export interface SlotSource {
  /** Whether the request has a slot at the server; requests one if not. */
  tryAcquire(request: WaitingRequest, load: ServerLoad, nowMs: number): boolean;
  /** Notes that a request uses its slot. The returned function releases it. */
  markInUse(request: WaitingRequest): (tookMs: number | undefined) => void;
  /** Cancels the slot request, or releases the slot if it was granted. */
  cancel(request: WaitingRequest): void;
}

/** How a request stands among others of its priority; by default between these. */
export type RequestStanding =
  /** Its caller returns at the time that it was told, or its route is rare. */
  | "returning"
  /** It exceeds its caller's share of a service that is short of capacity. */
  | "above-share";

/** The fields of a route by which its requests are ordered and sent. */
export type PrioritizedRoute = Pick<
  contracts.Route,
  "name" | "priority" | "targetLatencyMs" | "homeRegions"
>;

/** A request in a {@link ServiceQueue}. */
export interface WaitingRequest {
  readonly route: PrioritizedRoute;
  /** Hash of its key; undefined for a request without one. */
  readonly key: number | undefined;
  /** Size of its body. */
  readonly bodyBytes: number;
  /** Time until which the answer meets the route's target latency. */
  readonly targetMs: number;
  /** Deadline: time at which the caller gets its final answer at the latest. */
  readonly answerByMs: number;
  /** Undefined where callers have no shares, and for a usual request. */
  readonly standing?: RequestStanding | undefined;
  /** Servers that it was already sent to. */
  readonly tried: ReadonlySet<contracts.ServerId>;
  /** Called when the request is to be sent to the chosen server. */
  placed(placement: Placement): void;
  /** Called when the request is refused; it has left the queue. */
  refused(refusal: Refusal): void;
}
