/**
 * The keys with the most requests, in bounded memory: the space-saving sketch
 * of Metwally, Agrawal and El Abbadi (2005), with counts that decay.
 */

/** A key and how often it was seen, decayed. */
export interface HotKey {
  readonly hash: number;
  /** Lower bound: what the sketch can't tell apart is left out. */
  readonly count: number;
}

/** Counts below this are dropped when counts decay. */
const MIN_COUNT = 0.5;

/** Holds up to `capacity` keys. */
export class HotKeySketch {
  readonly #capacity: number;
  readonly #slots = new Map<number, number>();
  readonly #hashes: Float64Array;
  readonly #counts: Float64Array;
  /** By how much each count may be too high. */
  readonly #errors: Float64Array;
  /** No count is below this. */
  #floor = 0;
  #cursor = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
    this.#hashes = new Float64Array(capacity);
    this.#counts = new Float64Array(capacity);
    this.#errors = new Float64Array(capacity);
  }

  /** Counts one request. */
  record(hash: number): void {
    const slot = this.#slots.get(hash);
    if (slot !== undefined) {
      this.#counts[slot]! += 1;
      return;
    }
    const free = this.#slots.size;
    if (free < this.#capacity) this.#put(free, { hash, count: 1, error: 0 });
    else this.#replaceSmallest(hash);
  }

  /** Multiplies all counts, so that keys which cooled down give way. */
  decay(factor: number): void {
    const kept: [hash: number, count: number, error: number][] = [];
    for (const [hash, slot] of this.#slots) {
      const count = this.#counts[slot]! * factor;
      const error = this.#errors[slot]! * factor;
      if (count >= MIN_COUNT) kept.push([hash, count, error]);
    }
    this.#slots.clear();
    this.#floor *= factor;
    kept.forEach(([hash, count, error], slot) =>
      this.#put(slot, { hash, count, error })
    );
  }

  /** The hottest keys first. */
  top(limit: number): HotKey[] {
    const keys: HotKey[] = [];
    for (const [hash, slot] of this.#slots) {
      const count = this.#counts[slot]! - this.#errors[slot]!;
      if (count > 0) keys.push({ hash, count });
    }
    return keys.sort((a, b) => b.count - a.count).slice(0, limit);
  }

  #put(
    slot: number,
    item: { hash: number; count: number; error: number },
  ): void {
    this.#slots.set(item.hash, slot);
    this.#hashes[slot] = item.hash;
    this.#counts[slot] = item.count;
    this.#errors[slot] = item.error;
  }

  /**
   * Gives the slot of a key with about the smallest count to another key. A
   * scan for the very smallest at each request would cost more than all else
   * on the request path that is ours; the cursor passes each slot once for
   * each rise of the floor, so the work for a request stays the same however
   * many keys are followed.
   */
  #replaceSmallest(hash: number): void {
    const slot = this.#findSmall();
    const error = this.#counts[slot]!;
    this.#slots.delete(this.#hashes[slot]!);
    this.#put(slot, { hash, count: error + 1, error });
  }

  #findSmall(): number {
    const counts = this.#counts;
    for (let step = 0; step < counts.length; step++) {
      const slot = this.#cursor;
      this.#cursor = (slot + 1) % counts.length;
      if (counts[slot]! < this.#floor + 1) return slot;
    }
    this.#floor = counts.reduce((low, count) => Math.min(low, count));
    return counts.indexOf(this.#floor);
  }
}
