/** A server's load as it was some time ago, for a report that lags. */

interface LoadSample {
  readonly sinceMs: number;
  readonly inFlight: number;
}

/** Load over the last lag. */
export class LoadHistory {
  readonly #lagMs: number;
  #samples: LoadSample[] = [{ sinceMs: -Infinity, inFlight: 0 }];

  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /** Notes the load from now on. */
  record(inFlight: number, nowMs: number): void {
    this.#samples.push({ sinceMs: nowMs, inFlight });
    this.#forget(nowMs);
  }

  /** The load that the report tells now. */
  reportedLoad(
    nowMs: number,
  ): { readonly inFlight: number; readonly ageMs: number } {
    this.#forget(nowMs);
    return { inFlight: this.#samples[0]!.inFlight, ageMs: this.#lagMs };
  }

  #forget(nowMs: number): void {
    const asOfMs = nowMs - this.#lagMs;
    let first = 0;
    while (
      first + 1 < this.#samples.length &&
      this.#samples[first + 1]!.sinceMs <= asOfMs
    ) first++;
    if (first > 0) this.#samples = this.#samples.slice(first);
  }
}
