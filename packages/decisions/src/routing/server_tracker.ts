/** Load and health of one service's servers, as seen by one entry VM. */
import type * as contracts from "@guavatide/contracts";
import { OutlierEjection } from "./outlier_ejection.ts";
import type { Candidate } from "./load_balancer.ts";
import { slowStartWeight } from "./slow_start.ts";

/** Servers seen within this time after the tracker's creation count as warm. */
const WARM_START_MS = 1000;

/** Options of {@link ServerTracker}. */
export interface ServerTrackerOptions {
  /** Requests that a server runs at once. */
  readonly slotsPerServer: number;
  /**
   * Maximum requests of this process in flight at one server. Refusals lower
   * the limit for that server, answers raise it again.
   */
  readonly maxLocalInFlight: number;
  /** Whether servers may be ejected. */
  readonly mayEject: boolean;
}

/** How an attempt at a server ended. */
export type AttemptOutcome =
  /**
   * The server answered; `inFlight` is the load that it reported, and
   * `requestLimit` the requests a second that it takes, null when it named
   * what is no rate.
   */
  | {
    readonly kind: "answer";
    readonly inFlight?: number;
    readonly requestLimit?: number | null;
  }
  | {
    readonly kind: "refusal";
    readonly refusal: contracts.ServerRefusal;
    readonly inFlight?: number;
    readonly requestLimit?: number | null;
    /** For how long the server asks to be left alone; absent for no time. */
    readonly retryAfterMs?: number | undefined;
  }
  | {
    readonly kind: "failure";
    readonly cause: "not-connected" | "timeout" | "broken";
  }
  /** Ended by this process; says nothing about the server. */
  | { readonly kind: "abandoned" };

/** A change of a server's ejection state that is to be logged. */
export type EjectionEvent = "ejected" | "on-trial" | "returned" | undefined;

interface TrackedServer {
  readonly firstSeenMs: number;
  readonly ejection: OutlierEjection;
  /** Send times of the attempts in flight, oldest first. */
  readonly sentMs: number[];
  /** Send time of the first attempt since the last answer. */
  unansweredSinceMs: number | undefined;
  reportedInFlight: number | undefined;
  reportedMs: number;
  /** No new request until then, as the server refused or was not reachable. */
  pausedUntilMs: number;
  /** The server has asked to be left alone until then. */
  backoffUntilMs: number;
  /** Whether it has answered no request since it asked. */
  isBackingOff: boolean;
  /** Current limit of requests in flight, like a congestion window. */
  window: number;
  windowReducedMs: number;
  /** Refusals with `busy` since the last answer. */
  busyRefusals: number;
}

/**
 * Pause after a refusal with `busy`, as a fraction of the mean attempt time;
 * doubled with each further refusal until the server answers a request.
 */
const BUSY_PAUSE_FRACTION = 1 / 8;
/** Limits of the pause after `busy`. */
const MIN_BUSY_PAUSE_MS = 1;
const MAX_BUSY_PAUSE_MS = 200;
/** Mean attempt time before the first answer. */
const INITIAL_ATTEMPT_MS = 20;
/** Weight of a new attempt in the moving average of attempt times. */
const ATTEMPT_SAMPLE_WEIGHT = 0.05;
/** Growth of the window by each answer, in requests at a window of 1. */
const WINDOW_GROWTH = 0.1;
/** Refusals within this time reduce the window only once. */
const WINDOW_REDUCTION_INTERVAL_MS = 10;
/** Pause after a connection attempt failed. */
const NOT_CONNECTED_PAUSE_MS = 100;
/** A timeout after less time than this says nothing about the server. */
const MIN_CONCLUSIVE_ATTEMPT_MS = 1000;
/** Pause after a refusal with `cold`. */
const COLD_PAUSE_MS = 100;

/** Tracks a service's servers from the outcomes of this process's attempts. */
export class ServerTracker {
  readonly #entries = new Map<contracts.ServerId, TrackedServer>();
  readonly #createdMs: number;
  #options: ServerTrackerOptions;
  #attemptMs = INITIAL_ATTEMPT_MS;

  constructor(options: ServerTrackerOptions, nowMs: number) {
    this.#options = options;
    this.#createdMs = nowMs;
  }

  /** Changes the limits. */
  configure(options: ServerTrackerOptions): void {
    this.#options = options;
  }

  /** Drops all servers but these and starts to track new ones. */
  keepOnly(servers: ReadonlySet<contracts.ServerId>, nowMs: number): void {
    for (const server of this.#entries.keys()) {
      if (!servers.has(server)) this.#entries.delete(server);
    }
    for (const server of servers) this.#entry(server, nowMs);
  }

  /** Returns those of the given servers that may take one more request now. */
  candidates(
    servers: Iterable<contracts.ServerId>,
    nowMs: number,
  ): Candidate[] {
    const found: Candidate[] = [];
    for (const server of servers) {
      const entry = this.#entry(server, nowMs);
      if (this.#mayTake(entry, nowMs)) {
        found.push(this.#candidate(server, entry, nowMs));
      }
    }
    return found;
  }

  /** Time until the first pause ends; undefined if no server is paused. */
  pauseLeftMs(nowMs: number): number | undefined {
    let shortestMs: number | undefined;
    for (const entry of this.#entries.values()) {
      const { pausedUntilMs, backoffUntilMs } = entry;
      const leftMs = Math.max(pausedUntilMs, backoffUntilMs) - nowMs;
      if (leftMs <= 0) continue;
      if (shortestMs === undefined || leftMs < shortestMs) shortestMs = leftMs;
    }
    return shortestMs;
  }

  /**
   * Shortest time for which all of the given servers ask to be left alone; 0
   * if one of them doesn't.
   */
  backoffLeftMs(
    servers: Iterable<contracts.ServerId>,
    nowMs: number,
  ): number {
    let shortestMs = Number.POSITIVE_INFINITY;
    for (const server of servers) {
      const untilMs = this.#entries.get(server)?.backoffUntilMs ?? nowMs;
      shortestMs = Math.min(shortestMs, Math.max(0, untilMs - nowMs));
    }
    return Number.isFinite(shortestMs) ? shortestMs : 0;
  }

  /** Requests of this process in flight at a server. */
  inFlight(server: contracts.ServerId): number {
    return this.#entries.get(server)?.sentMs.length ?? 0;
  }

  /** Whether a server is ejected. */
  isEjected(server: contracts.ServerId): boolean {
    const state = this.#entries.get(server)?.ejection.state ?? "in-use";
    return state === "ejected" || state === "probing";
  }

  /**
   * Returns whether a probe of an ejected server is due; if so it counts as
   * sent.
   */
  tryProbe(server: contracts.ServerId, nowMs: number): boolean {
    return this.#entries.get(server)?.ejection.tryProbe(nowMs) ?? false;
  }

  /** Records that a request was sent to a server. */
  recordSent(server: contracts.ServerId, nowMs: number): void {
    const entry = this.#entry(server, nowMs);
    entry.sentMs.push(nowMs);
    entry.unansweredSinceMs ??= nowMs;
    if (entry.reportedInFlight !== undefined) entry.reportedInFlight++;
  }

  /** Records the outcome of the attempt that was sent at `sentMs`. */
  recordOutcome(
    server: contracts.ServerId,
    sentMs: number,
    options: { readonly end: AttemptOutcome; readonly nowMs: number },
  ): EjectionEvent {
    const entry = this.#entry(server, options.nowMs);
    const index = entry.sentMs.indexOf(sentMs);
    if (index >= 0) entry.sentMs.splice(index, 1);
    const { end, nowMs } = options;
    if (end.kind === "abandoned") {
      if (entry.reportedInFlight !== undefined) entry.reportedInFlight--;
      return undefined;
    }
    if (end.kind === "failure") {
      return this.#recordFailure(entry, { cause: end.cause, sentMs, nowMs });
    }
    if (end.kind === "refusal") {
      this.#pause(entry, end.refusal, nowMs);
      if (end.retryAfterMs !== undefined) {
        entry.isBackingOff = true;
        entry.backoffUntilMs = Math.max(
          entry.backoffUntilMs,
          nowMs + end.retryAfterMs,
        );
      }
    }
    if (end.kind === "answer") {
      if (nowMs >= entry.backoffUntilMs) entry.isBackingOff = false;
      this.#attemptMs += (nowMs - sentMs - this.#attemptMs) *
        ATTEMPT_SAMPLE_WEIGHT;
      this.#growWindow(entry);
    }
    entry.unansweredSinceMs = entry.sentMs[0];
    entry.reportedInFlight = end.inFlight;
    entry.reportedMs = nowMs;
    const wasEjected = entry.ejection.state !== "in-use";
    entry.ejection.recordAnswer(nowMs);
    return wasEjected ? "returned" : undefined;
  }

  /** Records the result of a probe of an ejected server. */
  recordProbe(
    server: contracts.ServerId,
    isAnswered: boolean,
    nowMs: number,
  ): EjectionEvent {
    const entry = this.#entry(server, nowMs);
    entry.ejection.recordProbe(isAnswered, nowMs);
    if (isAnswered) entry.unansweredSinceMs = entry.sentMs[0];
    const { state } = entry.ejection;
    if (state === "in-use") return "returned";
    return state === "on-trial" ? "on-trial" : undefined;
  }

  /** Ejects and returns servers that are unresponsive. */
  ejectUnresponsive(nowMs: number): contracts.ServerId[] {
    const ejected: contracts.ServerId[] = [];
    if (!this.#options.mayEject) return ejected;
    for (const [server, entry] of this.#entries) {
      // Not the oldest attempt in flight: with short deadlines each one ends
      // before it is old, and a frozen server would never be detected.
      const sinceMs = entry.unansweredSinceMs;
      if (sinceMs === undefined) continue;
      if (entry.ejection.detectFreeze(sinceMs, nowMs)) ejected.push(server);
    }
    return ejected;
  }

  #recordFailure(
    entry: TrackedServer,
    failure: {
      readonly cause: "not-connected" | "timeout" | "broken";
      readonly sentMs: number;
      readonly nowMs: number;
    },
  ): EjectionEvent {
    const { cause, sentMs, nowMs } = failure;
    if (cause === "not-connected") {
      entry.pausedUntilMs = nowMs + NOT_CONNECTED_PAUSE_MS;
    }
    // A caller's short deadline says nothing about the server; otherwise one
    // caller could get a server ejected for all others.
    const isInconclusive = cause === "timeout" &&
      nowMs - sentMs < MIN_CONCLUSIVE_ATTEMPT_MS;
    if (isInconclusive || !this.#options.mayEject) return undefined;
    return entry.ejection.recordFailure(nowMs) ? "ejected" : undefined;
  }

  #pause(
    entry: TrackedServer,
    refusal: contracts.ServerRefusal,
    nowMs: number,
  ): void {
    if (refusal === "cold") entry.pausedUntilMs = nowMs + COLD_PAUSE_MS;
    if (refusal !== "busy") return;
    entry.pausedUntilMs = nowMs + this.#busyPauseMs(entry.busyRefusals);
    if (nowMs - entry.windowReducedMs < WINDOW_REDUCTION_INTERVAL_MS) return;
    entry.busyRefusals++;
    entry.window = Math.max(1, entry.window - 1);
    entry.windowReducedMs = nowMs;
  }

  #busyPauseMs(refusals: number): number {
    const pauseMs = this.#attemptMs * BUSY_PAUSE_FRACTION * 2 ** refusals;
    return Math.min(
      MAX_BUSY_PAUSE_MS,
      Math.max(MIN_BUSY_PAUSE_MS, pauseMs),
    );
  }

  #growWindow(entry: TrackedServer): void {
    const grown = entry.window + WINDOW_GROWTH / entry.window;
    entry.window = Math.min(this.#options.maxLocalInFlight, grown);
    entry.busyRefusals = 0;
  }

  #mayTake(entry: TrackedServer, nowMs: number): boolean {
    const state = entry.ejection.state;
    if (state === "ejected" || state === "probing") return false;
    if (Math.max(entry.pausedUntilMs, entry.backoffUntilMs) > nowMs) {
      return false;
    }
    if (state === "on-trial" || entry.isBackingOff) {
      return entry.sentMs.length === 0;
    }
    const weight = slowStartWeight(nowMs - entry.firstSeenMs);
    const limit = Math.max(1, Math.floor(entry.window * weight));
    return entry.sentMs.length < limit;
  }

  #candidate(
    server: contracts.ServerId,
    entry: TrackedServer,
    nowMs: number,
  ): Candidate {
    return {
      server,
      localInFlight: entry.sentMs.length,
      reportedInFlight: entry.reportedInFlight,
      reportAgeMs: nowMs - entry.reportedMs,
      slots: this.#options.slotsPerServer,
      weight: slowStartWeight(nowMs - entry.firstSeenMs),
    };
  }

  #entry(server: contracts.ServerId, nowMs: number): TrackedServer {
    const found = this.#entries.get(server);
    if (found !== undefined) return found;
    const isWarm = nowMs - this.#createdMs < WARM_START_MS;
    const entry: TrackedServer = {
      firstSeenMs: isWarm ? -Infinity : nowMs,
      ejection: new OutlierEjection(),
      sentMs: [],
      unansweredSinceMs: undefined,
      reportedInFlight: undefined,
      reportedMs: -Infinity,
      pausedUntilMs: -Infinity,
      backoffUntilMs: -Infinity,
      isBackingOff: false,
      window: this.#options.maxLocalInFlight,
      windowReducedMs: -Infinity,
      busyRefusals: 0,
    };
    this.#entries.set(server, entry);
    return entry;
  }
}
