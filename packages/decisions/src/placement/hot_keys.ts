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
const SMALLEST_COUNT = 0.5;

/** Holds up to `capacity` keys. */
export class HotKeys {
  readonly #capacity: number;
  readonly #slots = new Map<number, number>();
  readonly #hashes: Float64Array;
  readonly #counts: Float64Array;
  /** By how much each count may be too high. */
  readonly #errors: Float64Array;

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
      if (count >= SMALLEST_COUNT) kept.push([hash, count, error]);
    }
    this.#slots.clear();
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

  #replaceSmallest(hash: number): void {
    const counts = this.#counts;
    let smallest = 0;
    for (let slot = 1; slot < counts.length; slot++) {
      if (counts[slot]! < counts[smallest]!) smallest = slot;
    }
    const error = counts[smallest]!;
    this.#slots.delete(this.#hashes[smallest]!);
    this.#put(smallest, { hash, count: error + 1, error });
  }
}
