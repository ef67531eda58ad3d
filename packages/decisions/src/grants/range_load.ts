/** Load of key ranges and of the servers that own them, as a plan sees it. */
import type * as contracts from "@guavatide/contracts";
import { rateDeviation } from "./key_rate_tracker.ts";

/** A server that can take ranges. */
export interface RangeServer {
  readonly owner: contracts.RangeOwner;
  /** Requests a second that it can carry. */
  readonly capacityPerSecond: number;
  /** It bears little load for now, and is given no keys of its own accord. */
  readonly isCold?: boolean;
}

/** A key with its rate. */
export interface KeyRate {
  readonly key: number;
  readonly perSecond: number;
}

/** What a plan is made from. */
export interface RangePlanInput {
  readonly ranges: readonly contracts.RangeState[];
  /** Servers that may own ranges, by id. */
  readonly servers: ReadonlyMap<contracts.ServerId, RangeServer>;
  /** In order of the keys. */
  readonly rates: readonly KeyRate[];
  /** Whether to even out load; otherwise only losses are planned. */
  readonly mayBalance: boolean;
}

/** Rate that stands for the width of a range no key of which is asked for. */
export const WIDTH_RATE_PER_KEY = 1e-4;

/** Load of the servers while a plan is made. */
export class Utilization {
  readonly #perSecond = new Map<contracts.ServerId, number>();
  readonly #servers: ReadonlyMap<contracts.ServerId, RangeServer>;

  constructor(servers: ReadonlyMap<contracts.ServerId, RangeServer>) {
    this.#servers = servers;
    for (const server of servers.keys()) this.#perSecond.set(server, 0);
  }

  add(server: contracts.ServerId, perSecond: number): void {
    const known = this.#perSecond.get(server);
    if (known !== undefined) this.#perSecond.set(server, known + perSecond);
  }

  of(server: contracts.ServerId): number {
    const { capacityPerSecond } = this.#servers.get(server)!;
    return this.#perSecond.get(server)! / capacityPerSecond;
  }

  /** Lower bound of the server's busy part: short counts scatter. */
  lowerBound(server: contracts.ServerId, deviations: number): number {
    const { capacityPerSecond } = this.#servers.get(server)!;
    const perSecond = this.#perSecond.get(server)!;
    const deviation = rateDeviation(perSecond);
    return (perSecond - deviations * deviation) / capacityPerSecond;
  }

  get mean(): number {
    let load = 0;
    let capacity = 0;
    for (const [server, perSecond] of this.#perSecond) {
      load += perSecond;
      capacity += this.#servers.get(server)!.capacityPerSecond;
    }
    return capacity === 0 ? 0 : load / capacity;
  }

  /** Whether some server is likely to be busier than a level. */
  exceeds(level: number, deviations: number): boolean {
    return [...this.#servers.keys()].some((server) =>
      this.lowerBound(server, deviations) > level
    );
  }

  /** The server that is least busy. */
  leastUtilized(): contracts.ServerId | undefined {
    return this.#extreme((a, b) => a < b);
  }

  /** The server that is most busy, of those not left out. */
  mostUtilized(
    leftOut: ReadonlySet<contracts.ServerId>,
  ): contracts.ServerId | undefined {
    return this.#extreme((a, b) => a > b, leftOut);
  }

  #extreme(
    isBetter: (a: number, b: number) => boolean,
    leftOut: ReadonlySet<contracts.ServerId> = new Set(),
  ): contracts.ServerId | undefined {
    let best: contracts.ServerId | undefined;
    for (const server of this.#perSecond.keys()) {
      if (leftOut.has(server)) continue;
      if (best === undefined || isBetter(this.of(server), this.of(best))) {
        best = server;
      }
    }
    return best;
  }
}

/** Rate of a range, with a little for its width. */
export function rangeRate(
  rates: readonly KeyRate[],
  range: contracts.KeyRange,
): number {
  let sum = (range.toKey - range.fromKey + 1) * WIDTH_RATE_PER_KEY;
  for (const { perSecond } of ratesWithin(rates, range)) sum += perSecond;
  return sum;
}

export function ratesWithin(
  rates: readonly KeyRate[],
  { fromKey, toKey }: contracts.KeyRange,
): readonly KeyRate[] {
  return rates.slice(firstFrom(rates, fromKey), firstFrom(rates, toKey + 1));
}

/** Index of the first rate at a key or behind it: a plan asks for each range. */
function firstFrom(rates: readonly KeyRate[], key: number): number {
  let low = 0;
  let high = rates.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (rates[middle]!.key < key) low = middle + 1;
    else high = middle;
  }
  return low;
}
