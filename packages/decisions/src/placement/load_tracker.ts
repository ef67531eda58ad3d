/** Measures the load of one keyed service on an entry VM's request path. */
import * as contracts from "@guavatide/contracts";
import { HotKeySketch } from "./hot_key_sketch.ts";

/** Options of {@link LoadTracker}. */
export interface LoadTrackerOptions {
  /** Half-life of the request counts. */
  readonly halfLifeMs: number;
  /** Keys tracked by the sketch; with more, less frequent keys are found. */
  readonly trackedKeys: number;
  /** Slices counted individually; further ones only count in the total. */
  readonly trackedSlices: number;
}

/** Defaults of {@link LoadTrackerOptions}. */
export const DEFAULT_LOAD_TRACKER: LoadTrackerOptions = {
  halfLifeMs: 15_000,
  trackedKeys: 128,
  trackedSlices: 4096,
};

/** Slice and key of a forwarded request. */
export interface TrackedRequest {
  readonly fromHash: number;
  readonly toHash: number;
  readonly keyHash: number;
}

interface SliceCount {
  readonly toHash: number;
  count: number;
}

/** Slices with a lower decayed count are dropped. */
const MIN_COUNT = 0.01;
/** Weight of a new sample in a server's mean service time. */
const SERVICE_TIME_SAMPLE_WEIGHT = 0.05;

/** Counts requests by slice and key, in bounded memory. */
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
   * Records a server's service time. Call this only for a request that found a
   * free slot: queueing time would make a busy server look slow, and its slices
   * would be moved away for both reasons.
   */
  recordServiceTime(server: contracts.ServerId, workMs: number): void {
    const mean = this.#workMs.get(server) ?? workMs;
    this.#workMs.set(
      server,
      mean + (workMs - mean) * SERVICE_TIME_SAMPLE_WEIGHT,
    );
  }

  /** Drops all servers but these. */
  keepOnly(servers: ReadonlySet<contracts.ServerId>): void {
    for (const server of this.#workMs.keys()) {
      if (!servers.has(server)) this.#workMs.delete(server);
    }
  }

  /** Decays the counts to `nowMs` and returns a report of bounded size. */
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
   * Requests per second for a decayed count of 1. Counts cover a window of
   * `halfLifeMs / ln 2`, and less until that much time has passed; without this
   * correction a restarted VM would report too little for a minute.
   */
  #ratePerCount(nowMs: number): number {
    const { halfLifeMs } = this.#options;
    const windowMs = halfLifeMs / Math.LN2;
    const ageMs = Math.max(1000, nowMs - (this.#startMs ?? nowMs));
    const filled = 1 - Math.exp(-ageMs / windowMs);
    return 1000 / (windowMs * filled);
  }

  /**
   * The slices with the highest rates without the named keys. Each named key
   * can drop at most one slice out of these, so that many more are considered.
   */
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

  /** Mean service times; only of the slowest servers if there are too many. */
  #workTimes(): contracts.ServiceLoad["servers"] {
    return [...this.#workMs]
      .map(([server, workMs]) => ({ server, workMs }))
      .sort((a, b) => b.workMs - a.workMs)
      .slice(0, contracts.SERVICE_LOAD_LIMITS.servers);
  }
}
