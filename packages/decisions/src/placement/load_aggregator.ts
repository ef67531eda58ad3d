/**
 * The load of one service put together from the reports of entry VMs. Held by
 * the VM with control duty; a new holder starts empty and learns it within one
 * round of reports.
 */
import * as contracts from "@guavatide/contracts";

/** Rates for each slice and the hottest keys. */
export interface LoadEstimate {
  readonly requestsPerSecond: number;
  /** One rate for each slice that was asked about, in the same order. */
  readonly slices: Float64Array;
  /** Hottest first. */
  readonly keys: readonly { hash: number; requestsPerSecond: number }[];
}

type HashRanges = readonly Pick<contracts.Slice, "fromHash" | "toHash">[];

interface ReceivedReport {
  readonly load: contracts.ServiceLoad;
  readonly receivedMs: number;
}

/** Keeps the latest report of each entry VM. */
export class LoadAggregator {
  readonly #staleAfterMs: number;
  readonly #reports = new Map<contracts.VmId, ReceivedReport>();

  /** Reports older than `staleAfterMs` no longer count. */
  constructor(staleAfterMs: number) {
    this.#staleAfterMs = staleAfterMs;
  }

  /** Takes in a report. */
  record(load: contracts.ServiceLoad, nowMs: number): void {
    this.#reports.set(load.vm, { load, receivedMs: nowMs });
  }

  /** How many VMs' reports count at present. */
  reporterCount(nowMs: number): number {
    this.#dropStale(nowMs);
    return this.#reports.size;
  }

  /**
   * Rates for the slices as they are now, in order of `fromHash`. Reports may
   * speak of slices that have been split or merged since: a range's rate is
   * then shared out by width, while keys always count where they lie.
   */
  estimate(slices: HashRanges, nowMs: number): LoadEstimate {
    this.#dropStale(nowMs);
    const rates = new Float64Array(slices.length);
    const keys = new Map<number, number>();
    let total = 0;
    let density = 0;
    for (const { load } of this.#reports.values()) {
      total += load.requestsPerSecond;
      density += addReport(load, { slices, rates, keys });
    }
    for (let i = 0; i < rates.length; i++) {
      rates[i] = Math.max(0, rates[i]! + density * widthOf(slices[i]!));
    }
    const hottest = [...keys]
      .map(([hash, requestsPerSecond]) => ({ hash, requestsPerSecond }))
      .sort((a, b) => b.requestsPerSecond - a.requestsPerSecond);
    return { requestsPerSecond: total, slices: rates, keys: hottest };
  }

  /**
   * Speed of each server against the median, 1 for the median. Undefined for
   * a server that no report names.
   */
  speeds(nowMs: number): ReadonlyMap<contracts.ServerId, number> {
    this.#dropStale(nowMs);
    const samples = new Map<contracts.ServerId, number[]>();
    for (const { load } of this.#reports.values()) {
      for (const { server, workMs } of load.servers) {
        const list = samples.get(server);
        if (list === undefined) samples.set(server, [workMs]);
        else list.push(workMs);
      }
    }
    const means = [...samples].map(([server, list]) =>
      [server, median(list)] as const
    );
    const middle = median(means.map(([, workMs]) => workMs));
    return new Map(
      means.map(([server, workMs]) =>
        [server, workMs > 0 ? middle / workMs : 1] as const
      ),
    );
  }

  #dropStale(nowMs: number): void {
    for (const [vm, { receivedMs: atMs }] of this.#reports) {
      if (nowMs - atMs > this.#staleAfterMs) this.#reports.delete(vm);
    }
  }
}

interface LoadSums {
  readonly slices: HashRanges;
  readonly rates: Float64Array;
  readonly keys: Map<number, number>;
}

/**
 * Adds what the report names and returns the density of the rest, in requests
 * per second and hash. Named ranges get the density taken off here because
 * the caller adds it to all.
 */
function addReport(load: contracts.ServiceLoad, sums: LoadSums): number {
  let named = 0;
  let namedWidth = 0;
  for (const key of load.keys) {
    named += key.requestsPerSecond;
    const index = findSlice(sums.slices, key.hash);
    sums.rates[index]! += key.requestsPerSecond;
    const before = sums.keys.get(key.hash) ?? 0;
    sums.keys.set(key.hash, before + key.requestsPerSecond);
  }
  for (const range of load.slices) {
    named += range.requestsPerSecond;
    namedWidth += widthOf(range);
  }
  const restWidth = Math.max(1, contracts.HASH_SPACE - namedWidth);
  const density = Math.max(0, load.requestsPerSecond - named) / restWidth;
  for (const range of load.slices) {
    const extra = range.requestsPerSecond - density * widthOf(range);
    addRange(range, extra, sums);
  }
  return density;
}

function addRange(
  range: HashRanges[number],
  rate: number,
  sums: LoadSums,
): void {
  const { slices, rates } = sums;
  let index = findSlice(slices, range.fromHash);
  while (index < slices.length && slices[index]!.fromHash < range.toHash) {
    const slice = slices[index]!;
    const shared = Math.min(slice.toHash, range.toHash) -
      Math.max(slice.fromHash, range.fromHash);
    rates[index]! += rate * shared / widthOf(range);
    index++;
  }
}

/** Index of the slice that holds a hash. */
export function findSlice(slices: HashRanges, hash: number): number {
  let low = 0;
  let high = slices.length - 1;
  while (low < high) {
    const middle = (low + high + 1) >>> 1;
    if (slices[middle]!.fromHash <= hash) low = middle;
    else high = middle - 1;
  }
  return low;
}

function widthOf(range: HashRanges[number]): number {
  return range.toHash - range.fromHash;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[sorted.length >> 1] ?? 0;
}
