/** A request that asks for a backend server. */
import type * as contracts from "@guavatide/contracts";
import type { ServerLoad } from "./server_load.ts";

/** Why a request got no server. */
export type RefusalReason =
  /** No live server is known. */
  | "no-server"
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
}

/** A request that waits for a server. */
export interface WaitingRequest {
  readonly route: contracts.Route;
  readonly key: number | undefined;
  /** Time by which an answer has its full worth. */
  readonly targetMs: number;
  /** Time at which the caller gets its final answer at the latest. */
  readonly answerByMs: number;
  /** Servers that it was sent to already. */
  readonly tried: ReadonlySet<contracts.ServerId>;
  placed(placement: Placement): void;
  refused(refusal: Refusal): void;
}
