/**
 * Requests for slots of one server by keys that ask for more than their share.
 * They wait apart from those of other keys, which are served first, and are
 * refused at once when their key's queue is longer than it can serve in time.
 */
import type * as contracts from "@guavatide/contracts";
import { KeyShares } from "./key_shares.ts";
import type { ServiceTimes } from "./service_times.ts";
import { hasTimeLeft } from "./wait_estimate.ts";
import type { Refusal, WaitingRequest } from "./waiting_request.ts";

/** Requests of a limited key that may wait at least: they keep slots busy. */
const MIN_QUEUED = 2;
/**
 * Part of its share that a limited key gets while other keys' requests wait.
 * The whole share would leave the others no capacity for bursts.
 */
const GUARANTEED_PART = 0.5;
/** Shortest and longest time after which a caller is asked to retry. */
const RETRY_AFTER_MIN_MS = 100;
const RETRY_AFTER_MAX_MS = 5_000;
/** Random part of a retry time: callers at the limit would return together. */
const RETRY_SPREAD_RATIO = 0.5;

/** Options of {@link LimitedKeys}. */
export interface LimitedKeysOptions {
  readonly server: contracts.ServerId;
  readonly slots: number;
  readonly times: ServiceTimes;
  readonly random: contracts.RandomSource;
}

interface KeyQueue {
  /** The key's share of the server, in slots. */
  share: number;
  readonly waiting: WaitingRequest[];
  lastGrantMs: number;
  /** Time up to which retries of refused requests use the key's share. */
  retriesUntilMs: number;
}

/** The limited keys of one server and their waiting requests. */
export class LimitedKeys {
  readonly #options: LimitedKeysOptions;
  readonly #shares: KeyShares;
  readonly #queues = new Map<number, KeyQueue>();

  constructor(options: LimitedKeysOptions) {
    this.#options = options;
    this.#shares = new KeyShares(options.slots);
  }

  /** Whether any key is limited. */
  get hasAny(): boolean {
    return this.#queues.size > 0;
  }

  /** Whether requests wait here. */
  get hasWaiting(): boolean {
    for (const { waiting } of this.#queues.values()) {
      if (waiting.length > 0) return true;
    }
    return false;
  }

  /** Counts a request for a slot. */
  recordRequest({ key, route }: WaitingRequest, nowMs: number): void {
    this.#shares.recordRequest(key, this.#workMs(route), nowMs);
  }

  /**
   * Updates which keys are limited. Returns those that are newly limited; the
   * requests of keys that no longer are go to `onRegular`.
   */
  review(
    nowMs: number,
    onRegular: (request: WaitingRequest) => void,
  ): readonly number[] {
    const limited = this.#shares.limitedKeys(nowMs);
    if (limited.size === 0 && this.#queues.size === 0) return [];
    const added: number[] = [];
    for (const [key, share] of limited) {
      const queue = this.#queues.get(key);
      if (queue !== undefined) {
        queue.share = share;
        continue;
      }
      this.#queues.set(key, {
        share,
        waiting: [],
        lastGrantMs: nowMs,
        retriesUntilMs: nowMs,
      });
      added.push(key);
    }
    for (const [key, { waiting }] of this.#queues) {
      if (limited.has(key)) continue;
      this.#queues.delete(key);
      for (const request of waiting) onRegular(request);
    }
    return added;
  }

  /** Limits no key until the next review; requests go to `onRegular`. */
  clear(onRegular: (request: WaitingRequest) => void): void {
    const queues = [...this.#queues.values()];
    this.#queues.clear();
    for (const { waiting } of queues) waiting.forEach(onRegular);
  }

  /** Whether a key is limited, as of the last review. */
  isLimited(key: number | undefined): boolean {
    return key !== undefined && this.#queues.has(key);
  }

  /** Queues a request of a limited key, or refuses it. */
  add(request: WaitingRequest, nowMs: number): void {
    const queue = this.#queues.get(request.key!)!;
    const workMs = this.#workMs(request.route);
    const waitMs = (queue.waiting.length + 1) * workMs / queue.share;
    const isInTime = nowMs + waitMs + workMs <= request.targetMs;
    if (isInTime || queue.waiting.length < MIN_QUEUED) {
      queue.waiting.push(request);
    } else request.refused(this.#refusal(queue, workMs, waitMs, nowMs));
  }

  /** Removes a request; false if it does not wait here. */
  cancel(request: WaitingRequest): boolean {
    const waiting = this.#queues.get(request.key ?? -1)?.waiting ?? [];
    const index = waiting.indexOf(request);
    if (index >= 0) waiting.splice(index, 1);
    return index >= 0;
  }

  /**
   * The request that is next: of the key that was served least recently. While
   * other keys' requests wait, only one of a key that gets less than its
   * guaranteed part. Undefined for none.
   */
  next(
    nowMs: number,
    { othersWait }: { readonly othersWait: boolean },
  ): WaitingRequest | undefined {
    let next: KeyQueue | undefined;
    for (const queue of this.#queues.values()) {
      const [first] = queue.waiting;
      if (first === undefined) continue;
      const guaranteedMs = this.#workMs(first.route) /
        (queue.share * GUARANTEED_PART);
      if (othersWait && nowMs - queue.lastGrantMs < guaranteedMs) continue;
      if (next === undefined || queue.lastGrantMs < next.lastGrantMs) {
        next = queue;
      }
    }
    return next?.waiting[0];
  }

  /** Takes the request that {@link next} returned, to be granted a slot. */
  take(request: WaitingRequest, nowMs: number): void {
    this.#queues.get(request.key!)!.lastGrantMs = nowMs;
    this.cancel(request);
  }

  /** Refuses requests that can't meet their deadline any more. */
  refuseExpired(nowMs: number): void {
    for (const queue of this.#queues.values()) {
      const expired = queue.waiting.filter((request) =>
        !hasTimeLeft(request, this.#options.times, nowMs)
      );
      for (const request of expired) {
        this.cancel(request);
        const workMs = this.#workMs(request.route);
        const waitMs = (queue.waiting.length + 1) * workMs / queue.share;
        request.refused(this.#refusal(queue, workMs, waitMs, nowMs));
      }
    }
  }

  #workMs(route: WaitingRequest["route"]): number {
    const { times, server } = this.#options;
    return times.estimateMs(route) * times.latencyFactor(server);
  }

  /** Retries are spread by the rate at which the key's share serves them. */
  #refusal(
    queue: KeyQueue,
    workMs: number,
    waitMs: number,
    nowMs: number,
  ): Refusal {
    const latestMs = nowMs + RETRY_AFTER_MAX_MS;
    const earliestMs = nowMs + Math.max(RETRY_AFTER_MIN_MS, waitMs);
    queue.retriesUntilMs = Math.min(
      latestMs,
      Math.max(earliestMs, queue.retriesUntilMs + workMs / queue.share),
    );
    const leftMs = queue.retriesUntilMs - nowMs;
    const isAtLimit = queue.retriesUntilMs === latestMs;
    const spread = RETRY_SPREAD_RATIO * this.#options.random.next();
    const retryAfterMs = isAtLimit ? leftMs * (1 - spread) : leftMs;
    return { reason: "hot-key", retryAfterMs, expectedWaitMs: waitMs };
  }
}
