/** A request that asks for a backend server. */
import type * as contracts from "@guavatide/contracts";
import type { ServerLoad } from "./server_load.ts";

/** Why a request got no server. */
export type RefusalReason =
  /** No live server is known. */
  | "no-server"
  /** No region that may run it has a server for it. */
  | "not-home"
  /** The key has no owner at present. */
  | "no-owner"
  /** Its answer would come too late. */
  | "no-room"
  /** It waited until its time was over. */
  | "timeout";

/** A request that was not sent, and when to come back. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly retryAfterMs: number;
  /** Expected wait that led to the refusal, for the log. */
  readonly expectedWaitMs: number;
}

/** A server with room, and what it was believed to have. */
export interface Placement {
  readonly load: ServerLoad;
  readonly outstanding: number;
  /** Fence of the owner's grant, for keyed requests. */
  readonly fence: number | undefined;
  /**
   * Called when the send has ended, with the time of an answered one; gives the
   * server's slot back where slots are given out.
   */
  readonly releaseSlot?: (tookMs: number | undefined) => void;
}

/** Gives out slots of owners where no VM knows all requests at a server. */
export interface SlotSource {
  /** Whether the request has a slot at the server; asks for it if not. */
  tryAcquire(request: WaitingRequest, load: ServerLoad, nowMs: number): boolean;
  /** The request is sent with its slot; returns what ends that. */
  markInUse(request: WaitingRequest): (tookMs: number | undefined) => void;
  /** The request needs no slot any more. */
  cancel(request: WaitingRequest): void;
}

/** What of a route decides who goes first, and how long it takes. */
export type PrioritizedRoute = Pick<
  contracts.Route,
  "name" | "priority" | "targetLatencyMs" | "homeRegions"
>;

/** A request that waits for a server. */
export interface WaitingRequest {
  readonly route: PrioritizedRoute;
  readonly key: number | undefined;
  /** Size of its body. */
  readonly bodyBytes: number;
  /** Time by which an answer has its full worth. */
  readonly targetMs: number;
  /** Time at which the caller gets its final answer at the latest. */
  readonly answerByMs: number;
  /** Servers that it was sent to already. */
  readonly tried: ReadonlySet<contracts.ServerId>;
  placed(placement: Placement): void;
  refused(refusal: Refusal): void;
}
