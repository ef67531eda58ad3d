/**
 * Releases that tell an old owner of the next owner's fence once it answers
 * again. A grant of the old fence that was on its way meanwhile, for example
 * from a VM that was killed, is then refused.
 */
import type * as contracts from "@guavatide/contracts";
import { overlaps } from "./range_edit.ts";
import { RELEASE_RETRY_MS, type ReleaseCall } from "./release_call.ts";

/** An old owner is tried for this time after its keys were given on. */
const TRY_FOR_MS = 30_000;

interface Fencing {
  readonly call: ReleaseCall;
  readonly sinceMs: number;
  isUnderWay: boolean;
  notBeforeMs: number;
}

/** Old owners that have not answered a release, by the next owner's fence. */
export class FencingReleases {
  readonly #pending = new Map<number, Fencing>();

  /** Keys were given on although their old owner has not released them. */
  add(call: ReleaseCall, nowMs: number): void {
    this.#pending.set(call.range.fence, {
      call,
      sinceMs: nowMs,
      isUnderWay: false,
      notBeforeMs: nowMs,
    });
  }

  /** Forgets old owners that own some of the keys again, with a higher fence. */
  noteRanges(ranges: readonly contracts.RangeState[]): void {
    for (const [fence, { call: { range, oldOwner: old } }] of this.#pending) {
      const isBack = ranges.some((it) =>
        it.owner.server === old.server && overlaps(it, range)
      );
      if (isBack) this.#pending.delete(fence);
    }
  }

  /** Calls to send now, one at a time to each server. */
  takeDue(
    nowMs: number,
    hasEnded: (owner: contracts.RangeOwner) => boolean,
  ): ReleaseCall[] {
    const calls: ReleaseCall[] = [];
    const busy = new Set<contracts.ServerId>();
    for (const { call, isUnderWay } of this.#pending.values()) {
      if (isUnderWay) busy.add(call.oldOwner.server);
    }
    for (const [fence, pending] of this.#pending) {
      const { oldOwner: old } = pending.call;
      if (nowMs - pending.sinceMs >= TRY_FOR_MS || hasEnded(old)) {
        this.#pending.delete(fence);
        continue;
      }
      if (busy.has(old.server) || nowMs < pending.notBeforeMs) continue;
      busy.add(old.server);
      pending.isUnderWay = true;
      calls.push(pending.call);
    }
    return calls;
  }

  /** A call was answered or failed; false when it was none of these. */
  noteResult(fence: number, isAnswered: boolean, nowMs: number): boolean {
    const pending = this.#pending.get(fence);
    if (pending === undefined) return false;
    if (isAnswered) this.#pending.delete(fence);
    pending.isUnderWay = false;
    pending.notBeforeMs = nowMs + RELEASE_RETRY_MS;
    return true;
  }
}
