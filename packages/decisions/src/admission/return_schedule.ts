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
  /**
   * Returns per second that this VM may promise; infinite where another VM has
   * promised the capacity from the earliest time on.
   */
  readonly ratePerSecond: number;
}

/** Capacity of the time to come, each part of which is promised once. */
export class ReturnBudget {
  /** Time before which all that may be promised is promised. */
  #promisedUntilMs = 0;

  /** The first time from which a return may be promised. */
  firstMs(nowMs: number, earliestMs: number): number {
    return Math.max(nowMs + earliestMs, this.#promisedUntilMs);
  }

  /** Takes the capacity for one return. */
  take(nowMs: number, ratePerSecond: number): void {
    this.#promisedUntilMs = Math.max(nowMs, this.#promisedUntilMs) +
      1_000 / ratePerSecond;
  }
}

/** Options of {@link ReturnSchedule}. */
export interface ReturnScheduleOptions {
  /** Hash of a text; the same on all VMs. */
  readonly hash: (text: string) => number;
  readonly random: contracts.RandomSource;
}

/**
 * Duration of a slot. Callers return up to a tenth of a second late beside load,
 * and clocks of VMs differ; who misses its slot is taken for a new caller.
 */
const SLOT_MS = 160;
/** One slot of each period is open to a caller, another one in each. */
const SLOTS_PER_PERIOD = 6;
/** Part of a slot in which callers are told to return. */
const FIRST_FRACTION = 0.1;
const SPREAD_FRACTION = 0.15;

/** Promises of one VM for one service. */
export class ReturnSchedule {
  readonly #options: ReturnScheduleOptions;
  readonly #budget = new ReturnBudget();

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
    const fromMs = this.#budget.firstMs(unixMs, earliestMs);
    const lastMs = unixMs + longestMs;
    for (let slot = Math.ceil(fromMs / SLOT_MS);; slot++) {
      const startMs = slot * SLOT_MS;
      const returnMs = startMs + SLOT_MS *
          (FIRST_FRACTION + SPREAD_FRACTION * this.#options.random.next());
      if (returnMs > lastMs) return undefined;
      if (!this.#isOpen(caller, slot)) continue;
      this.#budget.take(unixMs, ratePerSecond);
      return returnMs - unixMs;
    }
  }

  #isOpen({ caller, route }: ReturningCaller, slot: number): boolean {
    const period = Math.floor(slot / SLOTS_PER_PERIOD);
    const hash = this.#options.hash(`${caller} ${route} ${period}`);
    return hash % SLOTS_PER_PERIOD === slot % SLOTS_PER_PERIOD;
  }
}
