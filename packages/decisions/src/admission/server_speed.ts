/**
 * Speed of one server as its answers show it. An average over seconds hardly
 * follows a slow spell of some hundred milliseconds; a change that lasts is
 * followed at once.
 */

/** Time constant of the average. */
const AVERAGE_MS = 5_000;
/** Largest weight of a new sample, except of the first ones. */
const MAX_SAMPLE_WEIGHT = 1 / 10;
/** Weight of a new sample in the recent average. */
const RECENT_SAMPLE_WEIGHT = 0.3;
/** The recent average deviates when it differs by this factor. */
const DEVIATION_RATIO = 1.5;
/**
 * A deviation that lasts is a change. Servers may be slow for 400 ms at a time,
 * a few times in a row.
 */
const CHANGE_AFTER_MS = 2_000;
/** Weight with which a change is followed, at each sample. */
const CHANGE_WEIGHT = 0.3;
/** A change is followed until the averages differ by less than this factor. */
const FOLLOWED_RATIO = 1.15;

/** Estimates how long a server takes relative to others. */
export class ServerSpeed {
  #factor = 1;
  #recent = 1;
  #samples = 0;
  #sampledMs = 0;
  /** Since when the recent average deviates from the factor of that time. */
  #deviation: { readonly sinceMs: number; readonly from: number } | undefined;
  #isChanging = false;

  /** Service time relative to the expected one; 1 while unknown. */
  get factor(): number {
    return this.#factor;
  }

  /** Records an answer that took `ratio` times the expected time. */
  record(ratio: number, nowMs: number): void {
    this.#samples++;
    const elapsedMs = Math.max(0, nowMs - this.#sampledMs);
    this.#sampledMs = nowMs;
    const first = 1 / this.#samples;
    this.#recent += Math.max(first, RECENT_SAMPLE_WEIGHT) *
      (ratio - this.#recent);
    const weight = Math.min(
      MAX_SAMPLE_WEIGHT,
      1 - Math.exp(-elapsedMs / AVERAGE_MS),
    );
    // The first samples count equally.
    const isNew = first > MAX_SAMPLE_WEIGHT;
    this.#factor += (isNew ? first : weight) * (ratio - this.#factor);
    if (this.#isChanging) return this.#follow();
    const from = this.#deviation?.from ?? this.#factor;
    if (!differs(this.#recent, from, DEVIATION_RATIO)) {
      this.#deviation = undefined;
      return;
    }
    this.#deviation ??= { sinceMs: nowMs, from };
    if (nowMs - this.#deviation.sinceMs < CHANGE_AFTER_MS) return;
    this.#deviation = undefined;
    this.#isChanging = true;
    this.#follow();
  }

  #follow(): void {
    this.#factor += CHANGE_WEIGHT * (this.#recent - this.#factor);
    this.#isChanging = differs(this.#recent, this.#factor, FOLLOWED_RATIO);
  }
}

/** Whether two values differ by more than a factor. */
function differs(a: number, b: number, ratio: number): boolean {
  return a > b * ratio || a < b / ratio;
}
