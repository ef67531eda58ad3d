/**
 * Fair shares of the callers of one service while it is short of capacity.
 * Each entry VM counts arrivals by caller and exchanges counts with its peers.
 * The share is the max-min level: what is served, divided among the callers so
 * that none gets more than it demands or more than the level. A request of a
 * caller whose rate is above the level counts as within the share with a
 * probability of level / rate. So such a caller has the same rate of requests
 * within its share as one that demands exactly the level, however often it
 * repeats its requests, and no VM keeps state of what each caller was granted.
 */
import type * as contracts from "@guavatide/contracts";
import { DecayingCount } from "./decaying_count.ts";

/** Counts of one VM since its last message, sent to its peers. */
export interface CallerCounts {
  /** Requests that arrived. */
  readonly arrivals: number;
  /** Requests refused for lack of capacity. */
  readonly refused: number;
  /** The heaviest callers: hash of the address and number of requests. */
  readonly callers: readonly (readonly [caller: number, count: number])[];
}

/** What a caller asks for, relative to its share. */
export interface CallerStanding {
  /** Whether the request exceeds its caller's share. */
  readonly isAboveShare: boolean;
  /** Requests per second of the caller at all VMs. */
  readonly ratePerSecond: number;
  /** Requests per second that are a fair share; infinite without shortage. */
  readonly sharePerSecond: number;
}

/** Time constant of rates: callers are remembered for some seconds. */
const RATE_DECAY_MS = 5_000;
/** Callers counted at most; requests of others count as within the share. */
const MAX_CALLERS = 2_048;
/** Callers in one message: it must fit into a datagram. */
const MAX_CALLERS_SENT = 64;
/** A caller with a smaller count is dropped when the table is full. */
const MIN_COUNT = 0.5;
/** A service is short of capacity this long after a request waited. */
const SHORTAGE_TTL_MS = 3_000;
/** Interval at which the share is computed: it takes a pass over all callers. */
const SHARE_INTERVAL_MS = 250;
/**
 * Fraction of what is served that is shared out. At 1, requests within shares
 * would be as many as are served, and their queue would grow.
 */
const SHARED_FRACTION = 0.92;
/** Passes in which the level is found; each excludes callers below it. */
const MAX_LEVEL_PASSES = 8;
/** Counts older than this are not sent when a shortage begins. */
const UNSENT_TTL_MS = 1_000;

/** Callers of one service, as one entry VM knows them. */
export class CallerShares {
  readonly #random: contracts.RandomSource;
  readonly #callers = new Map<number, DecayingCount>();
  readonly #arrivals = new DecayingCount(RATE_DECAY_MS);
  readonly #refused = new DecayingCount(RATE_DECAY_MS);
  /** Arrivals here since the last message, by caller. */
  #unsent = new Map<number, number>();
  #unsentArrivals = 0;
  #unsentRefused = 0;
  #unsentSinceMs = 0;
  #shortUntilMs = Number.NEGATIVE_INFINITY;
  #sharePerSecond = Number.POSITIVE_INFINITY;
  #withinSharesPerSecond = 0;
  #computedMs = Number.NEGATIVE_INFINITY;
  #sweptMs = Number.NEGATIVE_INFINITY;

  constructor(random: contracts.RandomSource) {
    this.#random = random;
  }

  /** Whether requests wait or have been refused within the last seconds. */
  isShort(nowMs: number): boolean {
    return nowMs < this.#shortUntilMs;
  }

  /** Records that a request waits for capacity. */
  recordWait(nowMs: number): void {
    this.#shortUntilMs = nowMs + SHORTAGE_TTL_MS;
  }

  /** Records a refusal for lack of capacity. */
  recordRefusal(nowMs: number): void {
    this.recordWait(nowMs);
    this.#refused.add(1, nowMs);
    this.#unsentRefused++;
  }

  /** Counts a new request. One that returns when told was counted before. */
  recordArrival(caller: number, nowMs: number): void {
    if (!this.isShort(nowMs)) this.#dropOldCounts(nowMs);
    this.#arrivals.add(1, nowMs);
    this.#unsentArrivals++;
    this.#count(caller, 1, nowMs);
    const unsent = this.#unsent.get(caller);
    if (unsent !== undefined || this.#unsent.size < MAX_CALLERS) {
      this.#unsent.set(caller, (unsent ?? 0) + 1);
    }
  }

  /**
   * Records a caller that returns when told. Its first request was counted as
   * an arrival and as refused.
   */
  recordReturn(nowMs: number): void {
    this.#refused.add(-1, nowMs);
    this.#unsentRefused--;
  }

  /** Applies the counts of a peer. */
  applyPeerCounts(counts: CallerCounts, nowMs: number): void {
    // Only counts of all VMs show a caller's rate, so this one sends its own.
    if (counts.refused > 0) this.recordWait(nowMs);
    this.#arrivals.add(counts.arrivals, nowMs);
    this.#refused.add(counts.refused, nowMs);
    for (const [caller, count] of counts.callers) {
      this.#count(caller, count, nowMs);
    }
  }

  /**
   * Takes the counts to send; undefined while there is no shortage. The callers
   * of `services` services share a message.
   */
  takeCounts(nowMs: number, services = 1): CallerCounts | undefined {
    if (!this.isShort(nowMs) || this.#unsentArrivals === 0) return undefined;
    const heaviest = [...this.#unsent]
      .sort(([, a], [, b]) => b - a)
      .slice(0, MAX_CALLERS_SENT / services);
    const counts = {
      arrivals: this.#unsentArrivals,
      refused: this.#unsentRefused,
      callers: heaviest,
    };
    this.#resetUnsent(nowMs);
    return counts;
  }

  /** Judges one request of a caller. */
  standing(caller: number, nowMs: number): CallerStanding {
    const sharePerSecond = this.#share(nowMs);
    const ratePerSecond = this.#callers.get(caller)?.perSecond(nowMs) ?? 0;
    // A caller that demands just its share is counted above it by chance.
    const deviation = Math.sqrt(sharePerSecond * 1_000 / (2 * RATE_DECAY_MS));
    const surelyPerSecond = ratePerSecond - deviation;
    const isAboveShare = surelyPerSecond > sharePerSecond &&
      this.#random.next() >= sharePerSecond / surelyPerSecond;
    return { isAboveShare, ratePerSecond, sharePerSecond };
  }

  /** Rate of the requests within shares, at all VMs. */
  withinSharesPerSecond(nowMs: number): number {
    this.#share(nowMs);
    return this.#withinSharesPerSecond;
  }

  #share(nowMs: number): number {
    if (!this.isShort(nowMs)) return Number.POSITIVE_INFINITY;
    if (nowMs - this.#computedMs < SHARE_INTERVAL_MS) {
      return this.#sharePerSecond;
    }
    this.#computedMs = nowMs;
    const arrivals = this.#arrivals.perSecond(nowMs);
    const served = Math.max(0, arrivals - this.#refused.perSecond(nowMs));
    const rates = this.#rates(nowMs);
    const known = rates.reduce((sum, rate) => sum + rate, 0);
    // Callers that no message names ask for little each.
    const others = Math.max(0, arrivals - known);
    const shared = served * SHARED_FRACTION;
    this.#sharePerSecond = arrivals <= served / SHARED_FRACTION
      ? Number.POSITIVE_INFINITY
      : maxMinLevel(rates, shared - others);
    this.#withinSharesPerSecond = others + rates.reduce(
      (sum, rate) => sum + Math.min(rate, this.#sharePerSecond),
      0,
    );
    return this.#sharePerSecond;
  }

  /** Rates of the callers; drops those that have been silent for long. */
  #rates(nowMs: number): number[] {
    this.#sweptMs = nowMs;
    const rates: number[] = [];
    const isFull = this.#callers.size >= MAX_CALLERS;
    for (const [caller, count] of this.#callers) {
      const current = count.at(nowMs);
      if (current < (isFull ? MIN_COUNT : MIN_COUNT / 10)) {
        this.#callers.delete(caller);
      } else rates.push(current * 1_000 / RATE_DECAY_MS);
    }
    return rates;
  }

  #count(caller: number, count: number, nowMs: number): void {
    let known = this.#callers.get(caller);
    if (known === undefined) {
      const isSweepDue = nowMs - this.#sweptMs >= SHARE_INTERVAL_MS;
      if (this.#callers.size >= MAX_CALLERS && isSweepDue) this.#rates(nowMs);
      if (this.#callers.size >= MAX_CALLERS) return;
      known = new DecayingCount(RATE_DECAY_MS);
      this.#callers.set(caller, known);
    }
    known.add(count, nowMs);
  }

  #dropOldCounts(nowMs: number): void {
    if (nowMs - this.#unsentSinceMs >= UNSENT_TTL_MS) this.#resetUnsent(nowMs);
  }

  #resetUnsent(nowMs: number): void {
    this.#unsent = new Map();
    this.#unsentArrivals = 0;
    this.#unsentRefused = 0;
    this.#unsentSinceMs = nowMs;
  }
}

/** Level up to which rates are served if their sum is limited to a capacity. */
function maxMinLevel(rates: readonly number[], capacity: number): number {
  let level = capacity / Math.max(1, rates.length);
  for (let pass = 0; pass < MAX_LEVEL_PASSES; pass++) {
    let left = capacity;
    let above = 0;
    for (const rate of rates) {
      if (rate <= level) left -= rate;
      else above++;
    }
    if (above === 0) break;
    const next = left / above;
    if (next - level < level * 0.01) break;
    level = next;
  }
  return Math.max(level, 0);
}
