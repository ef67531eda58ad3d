/** Load of one keyed service as an entry VM sees it on its request path. */
import * as contracts from "@guavatide/contracts";
import { HotKeySketch } from "./hot_key_sketch.ts";

/** Options of {@link LoadTracker}. */
export interface LoadTrackerOptions {
  /** Time after which a request counts half. */
  readonly halfLifeMs: number;
  /** Keys followed by the sketch; more tell smaller keys apart. */
  readonly trackedKeys: number;
  /** Slices counted one by one; further ones only count in the sum. */
  readonly trackedSlices: number;
}

/** Defaults of {@link LoadTrackerOptions}. */
export const DEFAULT_LOAD_TRACKER: LoadTrackerOptions = {
  halfLifeMs: 15_000,
  trackedKeys: 128,
  trackedSlices: 4096,
};

/** Where a forwarded request went. */
export interface TrackedRequest {
  readonly fromHash: number;
  readonly toHash: number;
  readonly keyHash: number;
}

interface SliceCount {
  readonly toHash: number;
  count: number;
}

/** Decayed counts below this are dropped. */
const MIN_COUNT = 0.01;
/** Weight of one more measured request in a server's mean. */
const SERVICE_TIME_SAMPLE_WEIGHT = 0.05;

/** Counts requests by slice and key; bounded in memory. */
export class LoadTracker {
  readonly #options: LoadTrackerOptions;
  readonly #keys: HotKeySketch;
  readonly #slices = new Map<number, SliceCount>();
  readonly #workMs = new Map<contracts.ServerId, number>();
  #total = 0;
  #startMs: number | undefined;
  #decayedAtMs: number | undefined;

  constructor(options: LoadTrackerOptions) {
    this.#options = options;
    this.#keys = new HotKeySketch(options.trackedKeys);
  }

  /** Counts a request when it is forwarded. */
  record(request: TrackedRequest): void {
    this.#total++;
    this.#keys.record(request.keyHash);
    const known = this.#slices.get(request.fromHash);
    if (known?.toHash === request.toHash) {
      known.count++;
      return;
    }
    if (known === undefined && this.#isFull()) return;
    const { toHash } = request;
    this.#slices.set(request.fromHash, { toHash, count: 1 });
  }

  /**
   * Notes how long a server took. Call only for a request that found a slot
   * free: time in a queue would make a busy server look slow, and its slices
   * would be moved for both reasons.
   */
  recordServiceTime(server: contracts.ServerId, workMs: number): void {
    const mean = this.#workMs.get(server) ?? workMs;
    this.#workMs.set(
      server,
      mean + (workMs - mean) * SERVICE_TIME_SAMPLE_WEIGHT,
    );
  }

  /** Forgets servers that are gone. */
  keepOnly(servers: ReadonlySet<contracts.ServerId>): void {
    for (const server of this.#workMs.keys()) {
      if (!servers.has(server)) this.#workMs.delete(server);
    }
  }

  /** Decays the counts to `nowMs` and makes a report of bounded size. */
  report(
    sender: Pick<contracts.ServiceLoad, "vm" | "incarnation" | "service">,
    nowMs: number,
  ): contracts.ServiceLoad {
    this.#decay(nowMs);
    const perSecond = this.#ratePerCount(nowMs);
    const keys = this.#keys.top(contracts.SERVICE_LOAD_LIMITS.keys)
      .map(({ hash, count }) => ({
        hash,
        requestsPerSecond: count * perSecond,
      }));
    return {
      vm: sender.vm,
      incarnation: sender.incarnation,
      service: sender.service,
      requestsPerSecond: this.#total * perSecond,
      slices: this.#topSlices(perSecond, keys),
      keys,
      servers: this.#workTimes(),
    };
  }

  #isFull(): boolean {
    return this.#slices.size >= this.#options.trackedSlices;
  }

  #decay(nowMs: number): void {
    this.#startMs ??= nowMs;
    const elapsedMs = nowMs - (this.#decayedAtMs ?? nowMs);
    this.#decayedAtMs = nowMs;
    const factor = 0.5 ** (elapsedMs / this.#options.halfLifeMs);
    this.#total *= factor;
    this.#keys.decay(factor);
    for (const [fromHash, slice] of this.#slices) {
      slice.count *= factor;
      if (slice.count < MIN_COUNT) this.#slices.delete(fromHash);
    }
  }

  /**
   * Counts stand for a window of `halfLifeMs / ln 2` once that much time has
   * passed, and for less before; without this a restarted VM would report too
   * little for a minute.
   */
  #ratePerCount(nowMs: number): number {
    const { halfLifeMs } = this.#options;
    const windowMs = halfLifeMs / Math.LN2;
    const ageMs = Math.max(1000, nowMs - (this.#startMs ?? nowMs));
    const filled = 1 - Math.exp(-ageMs / windowMs);
    return 1000 / (windowMs * filled);
  }

  /** Each named key can take at most one slice off the top. */
  #topSlices(
    perSecond: number,
    keys: contracts.ServiceLoad["keys"],
  ): contracts.ServiceLoad["slices"] {
    const limit = contracts.SERVICE_LOAD_LIMITS.slices;
    return [...this.#slices]
      .sort(([, a], [, b]) => b.count - a.count)
      .slice(0, limit + keys.length)
      .map(([fromHash, { toHash, count }]) => {
        const named = keys
          .filter(({ hash }) => fromHash <= hash && hash < toHash)
          .reduce((sum, key) => sum + key.requestsPerSecond, 0);
        const requestsPerSecond = Math.max(0, count * perSecond - named);
        return { fromHash, toHash, requestsPerSecond };
      })
      .sort((a, b) => b.requestsPerSecond - a.requestsPerSecond)
      .slice(0, limit);
  }

  /** The slowest are named when there are too many. */
  #workTimes(): contracts.ServiceLoad["servers"] {
    return [...this.#workMs]
      .map(([server, workMs]) => ({ server, workMs }))
      .sort((a, b) => b.workMs - a.workMs)
      .slice(0, contracts.SERVICE_LOAD_LIMITS.servers);
  }
}
