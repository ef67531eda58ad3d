/**
 * Demand of the keys of one server that owns them, and which keys ask for more
 * than the server has left for them. Those are limited, so that they neither
 * occupy all slots nor hold up the requests of the server's other keys.
 */

import { DecayingCount } from "./decaying_count.ts";

/** Time constant of the exponentially decaying demand of a key. */
const DECAY_MS = 800;
/** Interval at which the limited keys are computed again. */
const REVIEW_INTERVAL_MS = 50;
/** Keys counted by themselves; requests of further keys count together. */
const MAX_KEYS = 256;
/** Demand below which a key is forgotten, in slots. */
const MIN_DEMAND_SLOTS = 0.001;
/** Demand below which an overload is over, relative to the server's slots. */
const RELIEVED_RATIO = 0.95;
/**
 * Least part of the server's slots that a limited key asks for. Where many keys
 * share a server, none of them alone causes its overload.
 */
const MIN_LIMITED_PART = 0.4;
/** A key is limited when it asks for this many times its share; above noise. */
const EXCESS_RATIO = 1.1;

/** Computes max-min fair shares of the keys at one server. */
export class KeyShares {
  readonly #slots: number;
  /** Milliseconds of service time that were asked for, by key. */
  readonly #demands = new Map<number | undefined, DecayingCount>();
  /** Shares of the limited keys, in slots. */
  #limited: ReadonlyMap<number, number> = new Map();
  #reviewedMs = Number.NEGATIVE_INFINITY;
  #lastWorkMs = 0;

  constructor(slots: number) {
    this.#slots = slots;
  }

  /** Counts a request for a slot, which is expected to take `workMs`. */
  recordRequest(
    requestedKey: number | undefined,
    workMs: number,
    nowMs: number,
  ): void {
    this.#lastWorkMs = workMs;
    const isNew = !this.#demands.has(requestedKey);
    if (isNew && this.#demands.size >= MAX_KEYS) this.#dropIdle(nowMs);
    const key = isNew && this.#demands.size >= MAX_KEYS
      ? undefined
      : requestedKey;
    const demand = this.#demands.get(key) ?? new DecayingCount(DECAY_MS);
    this.#demands.set(key, demand);
    demand.add(workMs, nowMs);
  }

  /** The limited keys and their shares in slots. Above 0. */
  limitedKeys(nowMs: number): ReadonlyMap<number, number> {
    if (nowMs - this.#reviewedMs >= REVIEW_INTERVAL_MS) {
      this.#reviewedMs = nowMs;
      this.#limited = this.#review(nowMs);
    }
    return this.#limited;
  }

  #review(nowMs: number): ReadonlyMap<number, number> {
    this.#dropIdle(nowMs);
    const large: (readonly [key: number, slots: number])[] = [];
    let smallSlots = 0;
    for (const [key, demand] of this.#demands) {
      const slots = demand.at(nowMs) / DECAY_MS;
      const isLarge = key !== undefined &&
        slots >= this.#slots * MIN_LIMITED_PART;
      if (isLarge) large.push([key, slots]);
      else smallSlots += slots;
    }
    const total = large.reduce((sum, [, slots]) => sum + slots, smallSlots);
    const limited = new Map<number, number>();
    // A key that is alone may use the whole server.
    if (this.#demands.size < 2 || !this.#isOverloaded(total)) return limited;
    const leastShare = this.#slots / this.#demands.size;
    let left = this.#slots - smallSlots;
    large.sort((a, b) => a[1] - b[1]);
    for (const [index, [key, slots]] of large.entries()) {
      const share = Math.max(leastShare, left / (large.length - index));
      if (slots > share * EXCESS_RATIO) limited.set(key, share);
      left -= Math.min(slots, share);
    }
    return limited;
  }

  /** Whether the demand exceeds the slots by more than chance. */
  #isOverloaded(totalSlots: number): boolean {
    if (this.#limited.size > 0) {
      return totalSlots > this.#slots * RELIEVED_RATIO;
    }
    // Of Poisson arrivals, the decayed sum varies as that of half the window.
    const deviation = Math.sqrt(totalSlots * this.#lastWorkMs / DECAY_MS / 2);
    return totalSlots - deviation > this.#slots;
  }

  #dropIdle(nowMs: number): void {
    for (const [key, demand] of this.#demands) {
      const slots = demand.at(nowMs) / DECAY_MS;
      if (slots < MIN_DEMAND_SLOTS) this.#demands.delete(key);
    }
  }
}
