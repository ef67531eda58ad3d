/**
 * Limits the requests begun at cold servers, over all entry VMs, in touch with
 * one another or not: a server that has just started crashes under the load of
 * a warm one.
 */
import type * as contracts from "@guavatide/contracts";

/**
 * What a cold server may get in any one second from all entry VMs together:
 * what it bears times the ratio, plus the slack.
 */
export interface ColdStartBound {
  readonly excessRatio: number;
  readonly slack: number;
}

/** What a limit needs to know of the servers. */
export interface ColdStartLimitOptions {
  /** Undefined where there is no bound. */
  readonly bound: ColdStartBound | undefined;
  /** Until when a server is cold. */
  readonly coldUntilMs: (server: contracts.ServerId) => number;
  /** Requests a second that a cold server bears; undefined for any number. */
  readonly requestsPerSecond: () => number | undefined;
  /**
   * Place of this VM among all that may ever send to the server, lost ones
   * included; undefined while they are not known.
   */
  readonly rankOf: (server: contracts.ServerId) => number | undefined;
  /** The part of the rate that each place has; the parts sum up to 1. */
  readonly rateShares: readonly number[];
}

/** Parts of VMs that send requests of their own, one beside the other. */
export const EQUAL_SHARES: readonly number[] = [1 / 3, 1 / 3, 1 / 3];
/** Parts of a coordinator and of those that take its place. */
export const COORDINATOR_SHARES: readonly number[] = [1 / 2, 1 / 4, 1 / 4];
/** The rate of all places, as a multiple of what a cold server bears. */
const MAX_RATE_RATIO = 2;
/** Requests of the bound that stay unused, for those that are long on the way. */
const SPARE_REQUESTS = 2;

/** Tokens of one server. */
interface Bucket {
  tokens: number;
  updatedMs: number;
}

/** This VM's share of what cold servers bear. */
export class ColdStartLimit {
  readonly #options: ColdStartLimitOptions;
  readonly #buckets = new Map<contracts.ServerId, Bucket>();

  constructor(options: ColdStartLimitOptions) {
    this.#options = options;
  }

  /** Whether the server has just started, and takes longer. */
  isCold(server: contracts.ServerId, nowMs: number): boolean {
    return this.#options.coldUntilMs(server) > nowMs;
  }

  /** Whether the server bears little load now. */
  isLimited(server: contracts.ServerId, nowMs: number): boolean {
    const { bound, requestsPerSecond } = this.#options;
    return this.isCold(server, nowMs) && bound !== undefined &&
      requestsPerSecond() !== undefined;
  }

  /** Requests a second that this VM may begin at a server that is limited. */
  ratePerSecond(server: contracts.ServerId): number {
    const { rankOf: placeOf, rateShares: parts, bound, requestsPerSecond } =
      this.#options;
    const place = placeOf(server);
    const borne = requestsPerSecond();
    if (borne === undefined || bound === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    const part = place === undefined ? 0 : parts[place] ?? 0;
    // Each place may begin one request more than its rate says.
    const room = borne * bound.excessRatio + bound.slack - parts.length -
      SPARE_REQUESTS;
    return part * Math.max(0, Math.min(MAX_RATE_RATIO * borne, room));
  }

  /** Whether a request may begin now; always at a warm server. */
  mayStart(server: contracts.ServerId, nowMs: number): boolean {
    if (!this.isLimited(server, nowMs)) return true;
    return this.#bucket(server, nowMs).tokens >= 1;
  }

  /** A request begins. */
  recordStart(server: contracts.ServerId, nowMs: number): void {
    if (!this.isLimited(server, nowMs)) {
      return void this.#buckets.delete(server);
    }
    this.#bucket(server, nowMs).tokens--;
  }

  #bucket(server: contracts.ServerId, nowMs: number): Bucket {
    const ratePerMs = this.ratePerSecond(server) / 1_000;
    const found = this.#buckets.get(server);
    if (found === undefined) {
      const tokens = ratePerMs > 0 ? 1 : 0;
      const created = { tokens, updatedMs: nowMs };
      this.#buckets.set(server, created);
      return created;
    }
    const gained = (nowMs - found.updatedMs) * ratePerMs;
    found.tokens = Math.min(1, found.tokens + gained);
    found.updatedMs = nowMs;
    return found;
  }
}
