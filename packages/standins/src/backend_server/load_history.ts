/** Delayed view of a server's load, for load reports that lag behind. */

interface LoadSample {
  readonly sinceMs: number;
  readonly inFlight: number;
}

/** Load samples as far back as the lag. */
export class LoadHistory {
  readonly #lagMs: number;
  #samples: LoadSample[] = [{ sinceMs: -Infinity, inFlight: 0 }];

  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /** Records the load that applies from `nowMs` on. */
  record(inFlight: number, nowMs: number): void {
    this.#samples.push({ sinceMs: nowMs, inFlight });
    this.#dropOldSamples(nowMs);
  }

  /** The load to report at `nowMs`: the load one lag earlier. */
  reportedLoad(
    nowMs: number,
  ): { readonly inFlight: number; readonly ageMs: number } {
    this.#dropOldSamples(nowMs);
    return { inFlight: this.#samples[0]!.inFlight, ageMs: this.#lagMs };
  }

  #dropOldSamples(nowMs: number): void {
    const asOfMs = nowMs - this.#lagMs;
    let first = 0;
    while (
      first + 1 < this.#samples.length &&
      this.#samples[first + 1]!.sinceMs <= asOfMs
    ) first++;
    if (first > 0) this.#samples = this.#samples.slice(first);
  }
}
