/**
 * Allocation of server slots to requests. Each way of distributing requests
 * over servers is one implementation.
 */
import type * as contracts from "@guavatide/contracts";
import type * as routing from "@guavatide/decisions/routing/mod";
import type { ServerAddress } from "../contracts/views.ts";

/** Permission to send one request to one server. */
export interface Slot {
  readonly address: ServerAddress;
  /** Monotonic time at which the slot was granted. */
  readonly sentMs: number;
  /** Owned slice at the time of the grant; set for keyed services only. */
  readonly ownership?: {
    readonly slice: contracts.SliceId;
    /** Fencing token of the ownership. */
    readonly fence: number;
    /** Revision of the assignment. */
    readonly revision: number;
  };
}

/** A request that waits for a slot. */
export interface SlotRequest {
  /** Caller by whom the queue is shared out fairly. */
  readonly tenant: string;
  /** Monotonic time at which the caller stops waiting. */
  readonly deadlineMs: number;
  /** Set for keyed services only. */
  readonly keyHash: number | undefined;
  /** Servers that this request must not be sent to again. */
  readonly tried: ReadonlySet<contracts.ServerId>;
  onGranted(slot: Slot): void;
  /** No slot can be allocated; `retryAfterMs` is when to try again. */
  onRefused(
    reason: contracts.NotRunReason,
    options: { readonly retryAfterMs?: number; readonly message: string },
  ): void;
}

/** Allocates slots to the requests of one service. */
export interface SlotAllocator {
  /** Calls `onGranted` or `onRefused` exactly once, now or later. */
  acquire(request: SlotRequest): void;
  /** Removes a waiting request; neither callback is called any more. */
  withdraw(request: SlotRequest): void;
  /** Returns a slot whose attempt has ended. */
  release(slot: Slot, outcome: routing.AttemptOutcome): void;
  /** Whether a server exists that is not among the tried ones. */
  hasUntriedServer(tried: ReadonlySet<contracts.ServerId>): boolean;
  /** Applies changed settings of the service. */
  configure(service: contracts.Service): void;
  /** Reevaluates waiting requests; called at an interval and on changes. */
  refresh(): void;
  /** Number of waiting requests. */
  readonly waitingCount: number;
}
