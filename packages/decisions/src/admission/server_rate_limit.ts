/**
 * Limits the rate of requests to single servers over all entry VMs, also while
 * they can't reach one another: a server that has just started crashes under
 * the load of a warm one, and a server in need names a rate in its answers.
 */
import type * as contracts from "@guavatide/contracts";

/**
 * Upper bound on the requests that a cold server gets in any one second from
 * all entry VMs together: the rate it sustains times the ratio, plus the slack.
 */
export interface ColdStartBound {
  readonly excessRatio: number;
  readonly slack: number;
}

/** What the limit of cold servers depends on. */
export interface ColdStartOptions {
  /** Undefined where there is no bound. */
  readonly bound: ColdStartBound | undefined;
  /** Time at which a server is warm. */
  readonly coldUntilMs: (server: contracts.ServerId) => number;
  /** Requests a second that a cold server sustains; undefined for no limit. */
  readonly requestsPerSecond: () => number | undefined;
  /**
   * Rank of this VM among all that may ever send to the server, failed ones
   * included; undefined while they are not known.
   */
  readonly rankOf: (server: contracts.ServerId) => number | undefined;
  /** The fraction of the rate for each rank; the fractions sum up to 1. */
  readonly rateShares: readonly number[];
}

/** Options of {@link ServerRateLimit}. */
export interface ServerRateLimitOptions {
  /** Absent where no server is cold. */
  readonly coldStart?: ColdStartOptions;
  /**
   * This VM's part of the rate that the server has named in its answers;
   * undefined for none.
   */
  readonly namedRateOf?: (server: contracts.ServerId) => number | undefined;
}

/** Shares of VMs that each send their own requests. */
export const EQUAL_SHARES: readonly number[] = [1 / 3, 1 / 3, 1 / 3];
/** Shares of a coordinator and of the VMs that take over from it. */
export const COORDINATOR_SHARES: readonly number[] = [1 / 2, 1 / 4, 1 / 4];
/** Rate of all ranks together, as a multiple of what a cold server sustains. */
const MAX_RATE_RATIO = 2;
/** Requests of the bound that stay unused, to cover those long in transit. */
const SPARE_REQUESTS = 2;
/** Unused requests that a cold server's bucket holds, and any other one's. */
const COLD_BURST_REQUESTS = 1;
const MAX_BURST_REQUESTS = 2;
/** A low rate leaves no room for two requests at once. */
const BURST_SECONDS = 4;

/** Token bucket of one server. */
interface Bucket {
  tokens: number;
  updatedMs: number;
}

/** Token buckets for this VM's share of the rates of limited servers. */
export class ServerRateLimit {
  readonly #options: ServerRateLimitOptions;
  readonly #buckets = new Map<contracts.ServerId, Bucket>();

  constructor(options: ServerRateLimitOptions) {
    this.#options = options;
  }

  /** Whether the server has just started and is slower than a warm one. */
  isCold(server: contracts.ServerId, nowMs: number): boolean {
    const { coldStart } = this.#options;
    return coldStart !== undefined && coldStart.coldUntilMs(server) > nowMs;
  }

  /** Whether the rate of requests to the server is limited. */
  isLimited(server: contracts.ServerId, nowMs: number): boolean {
    return this.#rateOf(server, nowMs) !== undefined;
  }

  /** Whether the server has named a limit in its answers. */
  isNamed(server: contracts.ServerId): boolean {
    return this.#options.namedRateOf?.(server) !== undefined;
  }

  /** Requests a second that this VM may start; infinite without a limit. */
  ratePerSecond(server: contracts.ServerId, nowMs: number): number {
    return this.#rateOf(server, nowMs) ?? Number.POSITIVE_INFINITY;
  }

  /** Whether a request may start now; always true without a limit. */
  mayStart(server: contracts.ServerId, nowMs: number): boolean {
    return this.tokens(server, nowMs) >= 1;
  }

  /** Requests, or the part of one, that may start now. */
  tokens(server: contracts.ServerId, nowMs: number): number {
    return this.#bucket(server, nowMs)?.tokens ?? Number.POSITIVE_INFINITY;
  }

  /** Takes a token for a request that starts now. */
  recordStart(server: contracts.ServerId, nowMs: number): void {
    const bucket = this.#bucket(server, nowMs);
    if (bucket !== undefined) bucket.tokens--;
    else this.#buckets.delete(server);
  }

  /** Undefined without a limit. */
  #rateOf(server: contracts.ServerId, nowMs: number): number | undefined {
    const coldRate = this.#coldRateOf(server, nowMs);
    const namedRate = this.#options.namedRateOf?.(server);
    if (coldRate === undefined) return namedRate;
    return namedRate === undefined ? coldRate : Math.min(coldRate, namedRate);
  }

  #coldRateOf(server: contracts.ServerId, nowMs: number): number | undefined {
    const { coldStart } = this.#options;
    if (coldStart === undefined || !this.isCold(server, nowMs)) {
      return undefined;
    }
    const { rankOf, rateShares, bound, requestsPerSecond } = coldStart;
    const sustained = requestsPerSecond();
    if (bound === undefined || sustained === undefined) return undefined;
    const rank = rankOf(server);
    const share = rank === undefined ? 0 : rateShares[rank] ?? 0;
    // Each rank may start one request beyond its rate: its bucket holds one.
    const maxRate = sustained * bound.excessRatio + bound.slack -
      rateShares.length - SPARE_REQUESTS;
    return share * Math.max(0, Math.min(MAX_RATE_RATIO * sustained, maxRate));
  }

  /** Undefined without a limit. */
  #bucket(server: contracts.ServerId, nowMs: number): Bucket | undefined {
    const perSecond = this.#rateOf(server, nowMs);
    if (perSecond === undefined) return undefined;
    const found = this.#buckets.get(server);
    if (found === undefined) {
      const created = { tokens: perSecond > 0 ? 1 : 0, updatedMs: nowMs };
      this.#buckets.set(server, created);
      return created;
    }
    const gained = (nowMs - found.updatedMs) * perSecond / 1_000;
    const burst = this.isCold(server, nowMs) ? COLD_BURST_REQUESTS : Math.min(
      MAX_BURST_REQUESTS,
      Math.max(1, perSecond * BURST_SECONDS),
    );
    found.tokens = Math.min(burst, found.tokens + gained);
    found.updatedMs = nowMs;
    return found;
  }
}
