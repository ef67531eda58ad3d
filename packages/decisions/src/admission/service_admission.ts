/**
 * Admission to one service at one entry VM while it is short of capacity: which
 * requests go first, and when refused callers are asked to return.
 */
import type * as contracts from "@guavatide/contracts";
import { CallerShares, type CallerStanding } from "./caller_shares.ts";
import { RareRoutes } from "./rare_routes.ts";
import { type ReturningCaller, ReturnSchedule } from "./return_schedule.ts";
import type { RequestStanding } from "./waiting_request.ts";

/** Options of {@link ServiceAdmission}. */
export interface ServiceAdmissionOptions {
  /** Hash of a text; the same on all VMs. */
  readonly hash: (text: string) => number;
  readonly random: contracts.RandomSource;
  /** Requests per second that the service can run. */
  readonly capacityPerSecond: (nowMs: number) => number;
  /** Part of these that is for this VM's requests. */
  readonly vmPerSecond: (nowMs: number) => number;
}

/** A moment on this VM's clock and in Unix time. */
export interface Moment {
  readonly nowMs: number;
  readonly unixMs: number;
}

/** Standing of a request, with the rates that it follows from. */
export interface JudgedRequest extends CallerStanding {
  /** Undefined for a new request within its caller's share. */
  readonly standing: RequestStanding | undefined;
}

/** A request that is refused for lack of capacity. */
export interface RefusedRequest extends ReturningCaller {
  readonly judged: JudgedRequest;
  readonly answerByMs: number;
  readonly serviceMs: number;
  /**
   * Time from which the coordinator of a key's owner has reserved capacity;
   * undefined for a request without a key.
   */
  readonly reservedAfterMs: number | undefined;
}

/**
 * Callers return only if told a time within this fraction of the time that they
 * have left.
 */
const HONOURED_FRACTION = 1 / 3;
/** A return before this time would meet the same queue. */
export const MIN_RETURN_MS = 60;
/** Promised beside new requests even if these take all capacity. */
const MIN_RETURN_RATIO = 0.1;
/** Promised at most, as higher priorities may take the rest. */
const MAX_RETURN_RATIO = 0.5;
/** Callers above this many shares are promised nothing: few would return. */
const MAX_PROMISED_SHARES = 2;
/**
 * Callers above this many shares are not taken for returning ones. Above the
 * limit of promises, as a caller's rate may have risen since its promise.
 */
const MAX_RETURNING_SHARES = 4;
/** Least fraction of the capacity expected beside requests within shares. */
const MIN_LEFT_RATIO = 0.05;

/** Longest time until a return that a caller honours and that is in time. */
export function longestReturnMs(leftMs: number, serviceMs: number): number {
  return Math.min(leftMs * HONOURED_FRACTION, leftMs - serviceMs);
}

/** Fraction of the capacity that is promised, if new requests leave so much. */
export function returnRatio(leftRatio: number): number {
  return Math.min(MAX_RETURN_RATIO, Math.max(MIN_RETURN_RATIO, leftRatio));
}

/** Shares, promises and standings at one service. */
export class ServiceAdmission {
  readonly shares: CallerShares;
  readonly #routes = new RareRoutes();
  readonly #returns: ReturnSchedule;
  readonly #options: ServiceAdmissionOptions;

  constructor(options: ServiceAdmissionOptions) {
    this.#options = options;
    this.shares = new CallerShares(options.random);
    this.#returns = new ReturnSchedule(options);
  }

  /**
   * The best standing that a request may have once it is counted: far above its
   * share, chance rarely puts it within.
   */
  preview(
    request: ReturningCaller,
    { nowMs, unixMs }: Moment,
  ): RequestStanding | undefined {
    if (!this.shares.isShort(nowMs)) return undefined;
    const caller = this.#options.hash(request.caller);
    const standing = this.shares.standing(caller, nowMs);
    if (this.#isReturning(request, standing, unixMs)) return "returning";
    if (this.#routes.mayGoFirst(request.route, nowMs)) return "returning";
    return isWithin(standing, MAX_PROMISED_SHARES) ? undefined : "above-share";
  }

  /** Counts a request and judges it. */
  arrive(request: ReturningCaller, { nowMs, unixMs }: Moment): JudgedRequest {
    const caller = this.#options.hash(request.caller);
    const { shares } = this;
    const standing = shares.standing(caller, nowMs);
    this.#routes.recordArrival(request.route, nowMs);
    if (
      shares.isShort(nowMs) && this.#isReturning(request, standing, unixMs)
    ) {
      shares.recordReturn(nowMs);
      return { ...standing, isAboveShare: false, standing: "returning" };
    }
    shares.recordArrival(caller, nowMs);
    if (
      shares.isShort(nowMs) && this.#routes.mayGoFirst(request.route, nowMs)
    ) {
      this.#routes.recordPrecedence(nowMs);
      return { ...standing, isAboveShare: false, standing: "returning" };
    }
    const { isAboveShare } = standing;
    return { ...standing, standing: isAboveShare ? "above-share" : undefined };
  }

  /**
   * Records a refusal and tells when its caller is asked to return: at a time
   * that is promised, or else when its time has passed.
   */
  refuse(
    request: RefusedRequest,
    { nowMs, unixMs }: Moment,
  ): { readonly retryAfterMs: number; readonly isPromised: boolean } {
    this.shares.recordRefusal(nowMs);
    const leftMs = Math.max(MIN_RETURN_MS, request.answerByMs - nowMs);
    const promisedMs = !isWithin(request.judged, MAX_PROMISED_SHARES)
      ? undefined
      : this.#returns.promise(request, {
        unixMs,
        earliestMs: Math.max(MIN_RETURN_MS, request.reservedAfterMs ?? 0),
        longestMs: longestReturnMs(leftMs, request.serviceMs),
        ratePerSecond: request.reservedAfterMs === undefined
          ? this.#returnsPerSecond(nowMs)
          : Number.POSITIVE_INFINITY,
      });
    return {
      retryAfterMs: promisedMs ?? leftMs,
      isPromised: promisedMs !== undefined,
    };
  }

  /** Fraction of the capacity left beside requests within their shares. */
  leftRatio(nowMs: number): number {
    const capacity = this.#options.capacityPerSecond(nowMs);
    const within = this.shares.withinSharesPerSecond(nowMs);
    return Math.max(MIN_LEFT_RATIO, 1 - within / Math.max(1e-6, capacity));
  }

  /** Whether a caller comes at a time that it may have been promised. */
  #isReturning(
    request: ReturningCaller,
    standing: CallerStanding,
    unixMs: number,
  ): boolean {
    return isWithin(standing, MAX_RETURNING_SHARES) &&
      this.#returns.isReturn(request, unixMs);
  }

  #returnsPerSecond(nowMs: number): number {
    return this.#options.vmPerSecond(nowMs) *
      returnRatio(this.leftRatio(nowMs));
  }
}

/** Whether a caller demands at most this many shares. */
function isWithin(
  { ratePerSecond, sharePerSecond }: CallerStanding,
  shares: number,
): boolean {
  return ratePerSecond <= sharePerSecond * shares;
}
