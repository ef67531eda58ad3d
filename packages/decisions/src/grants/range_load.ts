/** Load of key ranges and of the servers that own them, for planning moves. */
import type * as contracts from "@guavatide/contracts";
import { type KeyRate, rateDeviation } from "./key_rate_tracker.ts";

/** A server that can own ranges. */
export interface RangeServer {
  readonly owner: contracts.RangeOwner;
  /** Requests per second that it can serve. */
  readonly capacityPerSecond: number;
  /** It is in slow start: it serves little yet and gets no initial share. */
  readonly isCold?: boolean;
  /**
   * Ranges whose renewals it has room for, at least one; undefined for a server
   * that does not limit its calls.
   */
  readonly maxRanges?: number | undefined;
  /**
   * Whether its ranges stay: it runs, and a release could not end its leases
   * soon.
   */
  readonly keepsRanges?: boolean;
  /** Undefined for a server that has asked no VM to back off. */
  readonly backoff?: ServerBackoff | undefined;
}

/** What a server that has asked VMs to back off allows a plan. */
export interface ServerBackoff {
  /** Ranges that may be released there, as each takes a call. */
  readonly maxMoves: number;
  /** Whether hardly any VM may send it requests. */
  readonly isTotal: boolean;
}

/** Input of a plan. */
export interface RangePlanInput {
  readonly ranges: readonly contracts.RangeState[];
  /** Servers that may own ranges, by id. */
  readonly servers: ReadonlyMap<contracts.ServerId, RangeServer>;
  /** In ascending order of the keys. */
  readonly rates: readonly KeyRate[];
  /** Whether to rebalance load; otherwise only keys of lost servers move. */
  readonly mayBalance: boolean;
}

/** Nominal rate per key, so that the width of an idle range counts a little. */
export const WIDTH_RATE_PER_KEY = 1e-4;

/** Servers that a choice leaves out. */
type ExcludedServers = Pick<ReadonlySet<contracts.ServerId>, "has">;

/** Utilization of the servers, updated while a plan is made. */
export class Utilization {
  readonly #perSecond = new Map<contracts.ServerId, number>();
  readonly #servers: ReadonlyMap<contracts.ServerId, RangeServer>;

  constructor(servers: ReadonlyMap<contracts.ServerId, RangeServer>) {
    this.#servers = servers;
    for (const server of servers.keys()) this.#perSecond.set(server, 0);
  }

  /** Adds load to a server; servers outside the plan are ignored. */
  add(server: contracts.ServerId, perSecond: number): void {
    const known = this.#perSecond.get(server);
    if (known !== undefined) this.#perSecond.set(server, known + perSecond);
  }

  /** Moves load from one server to another. */
  move(
    perSecond: number,
    { from, to }: {
      readonly from: contracts.ServerId;
      readonly to: contracts.ServerId;
    },
  ): void {
    this.add(from, -perSecond);
    this.add(to, perSecond);
  }

  /** Load of a server as a fraction of its capacity. */
  of(server: contracts.ServerId): number {
    const { capacityPerSecond } = this.#servers.get(server)!;
    return this.#perSecond.get(server)! / capacityPerSecond;
  }

  /** Lower bound of a server's utilization, as rates are estimates. */
  lowerBound(server: contracts.ServerId, deviations: number): number {
    const { capacityPerSecond } = this.#servers.get(server)!;
    const perSecond = this.#perSecond.get(server)!;
    const deviation = rateDeviation(perSecond);
    return (perSecond - deviations * deviation) / capacityPerSecond;
  }

  /** Total load as a fraction of the total capacity. */
  get mean(): number {
    let load = 0;
    let capacity = 0;
    for (const [server, perSecond] of this.#perSecond) {
      load += perSecond;
      capacity += this.#servers.get(server)!.capacityPerSecond;
    }
    return capacity === 0 ? 0 : load / capacity;
  }

  /** Requests per second that all servers together can serve. */
  get capacityPerSecond(): number {
    let sum = 0;
    for (const { capacityPerSecond } of this.#servers.values()) {
      sum += capacityPerSecond;
    }
    return sum;
  }

  /** Whether some server's utilization is above a level with confidence. */
  exceeds(level: number, deviations: number): boolean {
    return [...this.#servers.keys()].some((server) =>
      this.lowerBound(server, deviations) > level
    );
  }

  /** The server with the lowest utilization, of those not excluded. */
  leastUtilized(
    excluded?: ExcludedServers,
  ): contracts.ServerId | undefined {
    return this.#extreme((a, b) => a < b, excluded);
  }

  /** The server with the highest utilization, of those not excluded. */
  mostUtilized(
    excluded: ExcludedServers,
  ): contracts.ServerId | undefined {
    return this.#extreme((a, b) => a > b, excluded);
  }

  #extreme(
    isBetter: (a: number, b: number) => boolean,
    excluded: ExcludedServers = new Set(),
  ): contracts.ServerId | undefined {
    let best: contracts.ServerId | undefined;
    for (const server of this.#perSecond.keys()) {
      if (excluded.has(server)) continue;
      if (best === undefined || isBetter(this.of(server), this.of(best))) {
        best = server;
      }
    }
    return best;
  }
}

/** Rate of a range in requests per second, with a little for its width. */
export function rangeRate(
  rates: readonly KeyRate[],
  range: contracts.KeyRange,
): number {
  let sum = (range.toKey - range.fromKey + 1) * WIDTH_RATE_PER_KEY;
  for (const { perSecond } of ratesWithin(rates, range)) sum += perSecond;
  return sum;
}

/** Rates of the keys in a range. */
export function ratesWithin(
  rates: readonly KeyRate[],
  { fromKey, toKey }: contracts.KeyRange,
): readonly KeyRate[] {
  return rates.slice(firstFrom(rates, fromKey), firstFrom(rates, toKey + 1));
}

/** Index of the first rate at or after a key. */
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
