/** What one entry VM knows of the servers of one service. */
import type * as contracts from "@guavatide/contracts";
import { OutlierEjection } from "./outlier_ejection.ts";
import type { Candidate } from "./load_balancer.ts";
import { slowStartWeight } from "./slow_start.ts";

/** Servers seen this soon after the board was made are taken as warm. */
const WARM_START_MS = 1000;

/** Options of {@link ServerTracker}. */
export interface ServerTrackerOptions {
  /** Requests that a server runs at once. */
  readonly slotsPerServer: number;
  /**
   * Most requests that this board gives to one server at a time. The board
   * learns a lower limit from refusals and grows it again with answers.
   */
  readonly maxLocalInFlight: number;
  /** Whether servers may be put out of use. */
  readonly mayEject: boolean;
}

/** How an attempt at a server ended, as far as the board cares. */
export type AttemptOutcome =
  /** An answer came; `inFlight` is what the server reported with it. */
  | { readonly kind: "answer"; readonly inFlight?: number }
  | {
    readonly kind: "refusal";
    readonly refusal: contracts.ServerRefusal;
    readonly inFlight?: number;
  }
  | {
    readonly kind: "failure";
    readonly cause: "not-connected" | "timeout" | "broken";
  }
  /** Ended from our side; says nothing about the server. */
  | { readonly kind: "abandoned" };

/** A change worth a log line. */
export type EjectionEvent = "ejected" | "on-trial" | "returned" | undefined;

interface TrackedServer {
  readonly firstSeenMs: number;
  readonly ejection: OutlierEjection;
  /** Times at which the attempts in flight were sent, oldest first. */
  readonly sentMs: number[];
  /** When the first attempt since the last answer was sent. */
  unansweredSinceMs: number | undefined;
  reportedInFlight: number | undefined;
  reportedMs: number;
  /** No new request before this: the server refused. */
  pausedUntilMs: number;
  /** Learned limit of requests in flight. */
  window: number;
  windowReducedMs: number;
  /** Refusals as busy since the last answer. */
  busyRefusals: number;
}

/**
 * Part of a mean attempt for which a server gets nothing after `busy`; doubled
 * with each further refusal until it answers a request.
 */
const BUSY_PAUSE_FRACTION = 1 / 8;
/** Pauses after `busy` stay within these. */
const MIN_BUSY_PAUSE_MS = 1;
const MAX_BUSY_PAUSE_MS = 200;
/** A mean attempt before any was answered. */
const INITIAL_ATTEMPT_MS = 20;
/** Weight of the newest attempt in their mean. */
const ATTEMPT_SAMPLE_WEIGHT = 0.05;
/** Part of a request by which each answer widens the learned limit. */
const WINDOW_GROWTH = 0.1;
/** Refusals within this time count as one. */
const WINDOW_REDUCTION_INTERVAL_MS = 10;
/** After a connection could not be made, a server gets nothing for this long. */
const NOT_CONNECTED_PAUSE_MS = 100;
/** A timeout after less time than this says nothing about a server. */
const MIN_CONCLUSIVE_ATTEMPT_MS = 1000;
/** After `cold`, a server gets nothing for this long. */
const COLD_PAUSE_MS = 100;

/** Load and health of a service's servers, from this process's own attempts. */
export class ServerTracker {
  readonly #entries = new Map<contracts.ServerId, TrackedServer>();
  readonly #startMs: number;
  #options: ServerTrackerOptions;
  #attemptMs = INITIAL_ATTEMPT_MS;

  constructor(options: ServerTrackerOptions, nowMs: number) {
    this.#options = options;
    this.#startMs = nowMs;
  }

  /** Takes over changed limits. */
  configure(options: ServerTrackerOptions): void {
    this.#options = options;
  }

  /** Forgets servers that are gone and begins to watch new ones. */
  keepOnly(servers: ReadonlySet<contracts.ServerId>, nowMs: number): void {
    for (const server of this.#entries.keys()) {
      if (!servers.has(server)) this.#entries.delete(server);
    }
    for (const server of servers) this.#entry(server, nowMs);
  }

  /** Servers among those given that may take one more request now. */
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

  /** Time until the first paused server may be used again, if any is paused. */
  pauseLeftMs(nowMs: number): number | undefined {
    let leastMs: number | undefined;
    for (const entry of this.#entries.values()) {
      const leftMs = entry.pausedUntilMs - nowMs;
      if (leftMs <= 0) continue;
      if (leastMs === undefined || leftMs < leastMs) leastMs = leftMs;
    }
    return leastMs;
  }

  /** Requests of this process in flight at a server. */
  inFlight(server: contracts.ServerId): number {
    return this.#entries.get(server)?.sentMs.length ?? 0;
  }

  /** Whether a server is out of use. */
  isEjected(server: contracts.ServerId): boolean {
    const state = this.#entries.get(server)?.ejection.state ?? "in-use";
    return state === "ejected" || state === "probing";
  }

  /** Whether a probe of an ejected server is due; it counts as sent. */
  tryProbe(server: contracts.ServerId, nowMs: number): boolean {
    return this.#entries.get(server)?.ejection.tryProbe(nowMs) ?? false;
  }

  /** A request was given to a server. */
  recordSent(server: contracts.ServerId, nowMs: number): void {
    const entry = this.#entry(server, nowMs);
    entry.sentMs.push(nowMs);
    entry.unansweredSinceMs ??= nowMs;
    if (entry.reportedInFlight !== undefined) entry.reportedInFlight++;
  }

  /** The attempt that was sent at `sentMs` ended. */
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
      return this.#noteFailure(entry, { cause: end.cause, sentMs, nowMs });
    }
    if (end.kind === "refusal") this.#pause(entry, end.refusal, nowMs);
    if (end.kind === "answer") {
      this.#attemptMs += (nowMs - sentMs - this.#attemptMs) *
        ATTEMPT_SAMPLE_WEIGHT;
      this.#widen(entry);
    }
    entry.unansweredSinceMs = entry.sentMs[0];
    entry.reportedInFlight = end.inFlight;
    entry.reportedMs = nowMs;
    const wasOut = entry.ejection.state !== "in-use";
    entry.ejection.recordAnswer(nowMs);
    return wasOut ? "returned" : undefined;
  }

  /** A probe of an ejected server ended. */
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

  /** Ejects servers that have gone silent; returns which. */
  ejectUnresponsive(nowMs: number): contracts.ServerId[] {
    const ejected: contracts.ServerId[] = [];
    if (!this.#options.mayEject) return ejected;
    for (const [server, entry] of this.#entries) {
      // Not the oldest attempt in flight: with short deadlines each one ends
      // before it is old, and a frozen server would never be noticed.
      const sinceMs = entry.unansweredSinceMs;
      if (sinceMs === undefined) continue;
      if (entry.ejection.detectFreeze(sinceMs, nowMs)) ejected.push(server);
    }
    return ejected;
  }

  #noteFailure(
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
    // A caller's short deadline is no evidence against the server; without
    // this one caller could have a server taken from all others.
    const isUnfair = cause === "timeout" &&
      nowMs - sentMs < MIN_CONCLUSIVE_ATTEMPT_MS;
    if (isUnfair || !this.#options.mayEject) return undefined;
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

  #widen(entry: TrackedServer): void {
    const grown = entry.window + WINDOW_GROWTH / entry.window;
    entry.window = Math.min(this.#options.maxLocalInFlight, grown);
    entry.busyRefusals = 0;
  }

  #mayTake(entry: TrackedServer, nowMs: number): boolean {
    const state = entry.ejection.state;
    if (state === "ejected" || state === "probing") return false;
    if (entry.pausedUntilMs > nowMs) return false;
    if (state === "on-trial") return entry.sentMs.length === 0;
    const share = slowStartWeight(nowMs - entry.firstSeenMs);
    const limit = Math.max(1, Math.floor(entry.window * share));
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
    const isFirst = nowMs - this.#startMs < WARM_START_MS;
    const entry: TrackedServer = {
      firstSeenMs: isFirst ? -Infinity : nowMs,
      ejection: new OutlierEjection(),
      sentMs: [],
      unansweredSinceMs: undefined,
      reportedInFlight: undefined,
      reportedMs: -Infinity,
      pausedUntilMs: -Infinity,
      window: this.#options.maxLocalInFlight,
      windowReducedMs: -Infinity,
      busyRefusals: 0,
    };
    this.#entries.set(server, entry);
    return entry;
  }
}
