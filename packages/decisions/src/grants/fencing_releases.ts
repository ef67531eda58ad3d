/**
 * Releases sent to an old owner after its keys were granted to the next owner,
 * to tell it the new fencing token. A delayed grant with the old token, for
 * example from a VM that was killed, is then refused.
 */
import type * as contracts from "@guavatide/contracts";
import { overlaps } from "./range_edit.ts";
import { RELEASE_RETRY_MS, type ReleaseCall } from "./release_call.ts";

/** Releases to an unresponsive old owner are retried for this time. */
const RETRY_WINDOW_MS = 30_000;

interface PendingRelease {
  readonly call: ReleaseCall;
  readonly addedAtMs: number;
  isInFlight: boolean;
  notBeforeMs: number;
}

/** Releases that old owners have not answered, by the next owner's fence. */
export class FencingReleases {
  readonly #pending = new Map<number, PendingRelease>();

  /** Adds a release for keys that were reassigned before it was answered. */
  add(call: ReleaseCall, nowMs: number): void {
    this.#pending.set(call.range.fence, {
      call,
      addedAtMs: nowMs,
      isInFlight: false,
      notBeforeMs: nowMs,
    });
  }

  /**
   * Drops releases of keys that the old owner owns again, with a newer fence.
   */
  noteRanges(ranges: readonly contracts.RangeState[]): void {
    for (
      const [fence, { call: { range, oldOwner } }] of this.#pending
    ) {
      const ownsAgain = ranges.some((owned) =>
        owned.owner.server === oldOwner.server && overlaps(owned, range)
      );
      if (ownsAgain) this.#pending.delete(fence);
    }
  }

  /** Returns the calls to send now, at most one in flight to each server. */
  takeDue(
    nowMs: number,
    mayCall: (server: contracts.ServerId) => boolean = () => true,
  ): ReleaseCall[] {
    const calls: ReleaseCall[] = [];
    const busy = new Set<contracts.ServerId>();
    for (const { call, isInFlight } of this.#pending.values()) {
      if (isInFlight) busy.add(call.oldOwner.server);
    }
    for (const [fence, pending] of this.#pending) {
      const { oldOwner } = pending.call;
      if (nowMs - pending.addedAtMs >= RETRY_WINDOW_MS) {
        this.#pending.delete(fence);
        continue;
      }
      if (busy.has(oldOwner.server) || nowMs < pending.notBeforeMs) continue;
      if (!mayCall(oldOwner.server)) continue;
      busy.add(oldOwner.server);
      pending.isInFlight = true;
      calls.push(pending.call);
    }
    return calls;
  }

  /**
   * Notes that a call was answered or failed. Returns whether it was pending.
   */
  noteResult(fence: number, isAnswered: boolean, nowMs: number): boolean {
    const pending = this.#pending.get(fence);
    if (pending === undefined) return false;
    if (isAnswered) this.#pending.delete(fence);
    pending.isInFlight = false;
    pending.notBeforeMs = nowMs + RELEASE_RETRY_MS;
    return true;
  }
}
