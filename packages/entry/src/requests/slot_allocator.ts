/**
 * Where a request gets the server that it may be sent to. Each way of
 * spreading requests is one implementation.
 */
import type * as contracts from "@guavatide/contracts";
import type * as routing from "@guavatide/decisions/routing/mod";
import type { ServerAddress } from "../contracts/views.ts";

/** Leave to send one request to one server. */
export interface Slot {
  readonly address: ServerAddress;
  readonly sentMs: number;
  /** Set for keyed services. */
  readonly ownership?: {
    readonly slice: contracts.SliceId;
    readonly fence: number;
    readonly revision: number;
  };
}

/** A request that waits for a slot. */
export interface SlotRequest {
  readonly tenant: string;
  /** Monotonic time at which the caller stops waiting. */
  readonly deadlineMs: number;
  /** Set for keyed services. */
  readonly keyHash: number | undefined;
  /** Servers that have failed this request. */
  readonly tried: ReadonlySet<contracts.ServerId>;
  onGranted(slot: Slot): void;
  onRefused(
    reason: contracts.NotRunReason,
    options: { readonly retryAfterMs?: number; readonly message: string },
  ): void;
}

/** Gives slots to the requests of one service. */
export interface SlotAllocator {
  /** Grants or refuses a slot, now or later, once. */
  acquire(wish: SlotRequest): void;
  /** The request needs no slot any more. */
  withdraw(wish: SlotRequest): void;
  /** The attempt that a slot was granted for has ended. */
  release(slot: Slot, end: routing.AttemptOutcome): void;
  /** Whether a request that tried some servers has another to go to. */
  hasUntriedServer(tried: ReadonlySet<contracts.ServerId>): boolean;
  /** Takes over changed settings of the service. */
  configure(service: contracts.Service): void;
  /** Servers or settings may have changed, or time has passed. */
  refresh(): void;
  /** Requests that wait. */
  readonly waitingCount: number;
}
