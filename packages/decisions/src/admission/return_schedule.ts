/**
 * Times at which refused callers return. Each time is promised from a share of
 * the capacity that new requests leave, once. A caller that returns at its time
 * is recognised by any VM without a message: by a hash of caller, route and time
 * slot, only some slots are open to a caller, and it is told one of them. A new
 * caller that arrives in such a slot by chance is taken for one that returns;
 * this is harmless as long as few slots are open to each caller.
 */
import type * as contracts from "@guavatide/contracts";

/** A caller and what it requests. */
export interface ReturningCaller {
  readonly caller: string;
  readonly route: string;
}

/** What limits the time at which a caller may return. */
export interface ReturnLimits {
  /** Times are in Unix milliseconds, as all VMs must see the same slots. */
  readonly unixMs: number;
  readonly earliestMs: number;
  /** Longest Retry-After that the caller can honour. */
  readonly longestMs: number;
  /** Returns per second that this VM may promise. */
  readonly ratePerSecond: number;
}

/** Options of {@link ReturnSchedule}. */
export interface ReturnScheduleOptions {
  /** Hash of a text; the same on all VMs. */
  readonly hash: (text: string) => number;
  readonly random: contracts.RandomSource;
}

/** Duration of a slot: longer than clocks of VMs differ and responses take. */
const SLOT_MS = 100;
/** One in this many slots is open to a caller. */
const SLOTS_PER_OPEN = 8;
/** Part of a slot in which callers are told to return. */
const FIRST_FRACTION = 0.1;
const SPREAD_FRACTION = 0.5;

/** Promises of one VM for one service. */
export class ReturnSchedule {
  readonly #options: ReturnScheduleOptions;
  /** Time before which all that may be promised is promised. */
  #promisedUntilMs = 0;

  constructor(options: ReturnScheduleOptions) {
    this.#options = options;
  }

  /** Whether a request comes at a time that its caller may have been told. */
  isReturn(caller: ReturningCaller, unixMs: number): boolean {
    return this.#isOpen(caller, Math.floor(unixMs / SLOT_MS));
  }

  /**
   * Promises a time and returns the milliseconds until then; undefined if there
   * is none within the limits.
   */
  promise(
    caller: ReturningCaller,
    { unixMs, earliestMs, longestMs, ratePerSecond }: ReturnLimits,
  ): number | undefined {
    if (ratePerSecond <= 0) return undefined;
    const fromMs = Math.max(unixMs + earliestMs, this.#promisedUntilMs);
    const lastMs = unixMs + longestMs;
    for (let slot = Math.ceil(fromMs / SLOT_MS);; slot++) {
      const startMs = slot * SLOT_MS;
      const returnMs = startMs + SLOT_MS *
          (FIRST_FRACTION + SPREAD_FRACTION * this.#options.random.next());
      if (returnMs > lastMs) return undefined;
      if (!this.#isOpen(caller, slot)) continue;
      this.#promisedUntilMs = Math.max(unixMs, this.#promisedUntilMs) +
        1_000 / ratePerSecond;
      return returnMs - unixMs;
    }
  }

  #isOpen({ caller, route }: ReturningCaller, slot: number): boolean {
    const hash = this.#options.hash(`${caller} ${route} ${slot}`);
    return hash % SLOTS_PER_OPEN === 0;
  }
}
