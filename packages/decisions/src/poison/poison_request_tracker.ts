/**
 * Tells requests that crash the servers that run them from those that were only
 * there: a poison request is never answered, and is there each time.
 */
import type * as contracts from "@guavatide/contracts";

/**
 * What is known of a request. `clear`: nothing against it. `suspect`: servers
 * have crashed under it, too few to tell. `poisonous`: no server may run it.
 */
export type PoisonVerdict = "clear" | "suspect" | "poisonous";

/** Whether a service still runs servers of a software version. */
export type VersionCheck = (
  service: contracts.ServiceId,
  softwareVersion: string,
) => boolean;

/** Options of {@link PoisonRequestTracker}. */
export interface PoisonRequestTrackerOptions {
  /** Number of requests that are tracked at most; 1,000 by default. */
  readonly maxRequests?: number;
}

/** A request is poisonous once it has crashed so many servers. */
export const POISON_CRASH_LIMIT = 3;
/**
 * Servers that one request of a caller may crash with its retries: the second
 * may have ended for another reason than the first, a third is not risked.
 */
export const MAX_CRASHES_PER_REQUEST = 2;
/** Tells the caller of a poison request when to see whether it is mended. */
export const POISON_RETRY_AFTER_MS = 60_000;
/**
 * Ends of a server that names no run are one within this time: it takes longer
 * to start again.
 */
const RESTART_MIN_MS = 2_000;
/** Crashes kept of one request. */
const MAX_CRASHES = 16;
const DEFAULT_MAX_REQUESTS = 1_000;
/** Crashes are forgotten after this time. */
const CRASH_TTL_MS = 86_400_000;
/** An answer is remembered until the last reports of earlier crashes are in. */
const ANSWER_TTL_MS = 10_000;

interface TrackedRequest {
  crashes: contracts.ServerCrash[];
  /** When each caller whose crashes were cleared was answered, in Unix ms. */
  readonly answeredAtMs: Map<contracts.CallerId, number>;
  /** When any caller was last answered, in Unix ms. */
  lastAnswerMs: number;
}

/** Crashes by the request that the servers had. */
export class PoisonRequestTracker {
  readonly #maxRequests: number;
  readonly #requests = new Map<contracts.RequestFingerprint, TrackedRequest>();

  constructor({ maxRequests }: PoisonRequestTrackerOptions = {}) {
    this.#maxRequests = maxRequests ?? DEFAULT_MAX_REQUESTS;
  }

  /** Number of requests tracked. */
  get size(): number {
    return this.#requests.size;
  }

  /** Requests tracked, in the order of their first crash. */
  get fingerprints(): contracts.RequestFingerprint[] {
    return [...this.#requests.keys()];
  }

  /** Crashes under a request that no later answer has explained away. */
  crashes(
    fingerprint: contracts.RequestFingerprint,
  ): readonly contracts.ServerCrash[] {
    return this.#requests.get(fingerprint)?.crashes ?? [];
  }

  /** Records a crash; false when it is known or an answer came after it. */
  recordCrash(
    fingerprint: contracts.RequestFingerprint,
    crash: contracts.ServerCrash,
  ): boolean {
    const request = this.#request(fingerprint);
    const answeredAtMs = request.answeredAtMs.get(crash.caller);
    if (answeredAtMs !== undefined && answeredAtMs >= crash.atMs) return false;
    const isKnown = request.crashes.some((known) =>
      isSameEnd(known, crash) && known.caller === crash.caller
    );
    if (isKnown) return false;
    request.crashes = [...request.crashes, crash].slice(-MAX_CRASHES);
    return true;
  }

  /**
   * Records that a server ran the request to its end for a caller; true when
   * this clears the caller's request of crashes.
   */
  recordAnswer(
    fingerprint: contracts.RequestFingerprint,
    { caller, atMs }: {
      readonly caller: contracts.CallerId;
      readonly atMs: number;
    },
  ): boolean {
    const request = this.#requests.get(fingerprint);
    if (request === undefined) return false;
    request.lastAnswerMs = Math.max(request.lastAnswerMs, atMs);
    const left = request.crashes.filter((crash) =>
      crash.caller !== caller || crash.atMs > atMs
    );
    const isCleared = left.length < request.crashes.length;
    request.crashes = left;
    if (isCleared) request.answeredAtMs.set(caller, atMs);
    return isCleared;
  }

  /**
   * The verdict on a caller's request. A poisonous one is on trial again,
   * `suspect`, while no service runs a version that it has crashed; a crash of
   * a new version makes it poisonous at once.
   */
  verdict(
    fingerprint: contracts.RequestFingerprint,
    caller: contracts.CallerId,
    isRunning: VersionCheck,
  ): PoisonVerdict {
    const request = this.#requests.get(fingerprint);
    if (request === undefined) return "clear";
    const counted = countedCrashes(request, caller);
    if (counted.length === 0) return "clear";
    if (countServers(counted) < POISON_CRASH_LIMIT) return "suspect";
    const isCurrent = counted.some(({ service, softwareVersion }) =>
      isRunning(service, softwareVersion)
    );
    return isCurrent ? "poisonous" : "suspect";
  }

  /** Forgets a request. */
  delete(fingerprint: contracts.RequestFingerprint): void {
    this.#requests.delete(fingerprint);
  }

  /** Forgets what is too old; returns the requests that are forgotten. */
  expire(nowUnixMs: number): contracts.RequestFingerprint[] {
    const forgotten: contracts.RequestFingerprint[] = [];
    for (const [fingerprint, request] of this.#requests) {
      request.crashes = request.crashes.filter(({ atMs }) =>
        nowUnixMs - atMs < CRASH_TTL_MS
      );
      for (const [caller, atMs] of request.answeredAtMs) {
        if (nowUnixMs - atMs < ANSWER_TTL_MS) continue;
        request.answeredAtMs.delete(caller);
      }
      if (request.crashes.length + request.answeredAtMs.size > 0) continue;
      this.#requests.delete(fingerprint);
      forgotten.push(fingerprint);
    }
    return forgotten;
  }

  #request(fingerprint: contracts.RequestFingerprint): TrackedRequest {
    const known = this.#requests.get(fingerprint);
    if (known !== undefined) return known;
    if (this.#requests.size >= this.#maxRequests) this.#evict();
    const created: TrackedRequest = {
      crashes: [],
      answeredAtMs: new Map(),
      lastAnswerMs: Number.NEGATIVE_INFINITY,
    };
    this.#requests.set(fingerprint, created);
    return created;
  }

  /**
   * Makes room: forgets the oldest request with the fewest crashes, so that a
   * caller who varies its requests can't push out those that are poisonous.
   */
  #evict(): void {
    let chosen: contracts.RequestFingerprint | undefined;
    let fewest = Number.POSITIVE_INFINITY;
    for (const [fingerprint, { crashes }] of this.#requests) {
      const servers = countServers(crashes);
      if (servers >= fewest) continue;
      fewest = servers;
      chosen = fingerprint;
    }
    if (chosen !== undefined) this.#requests.delete(chosen);
  }
}

/**
 * Crashes that count against a caller: its own, and those of all callers when
 * several sent the same content and none was answered since. Otherwise one
 * caller's crashes say nothing of another's request.
 */
function countedCrashes(
  { crashes, lastAnswerMs }: TrackedRequest,
  caller: contracts.CallerId,
): readonly contracts.ServerCrash[] {
  const unanswered = crashes.filter(({ atMs }) => atMs > lastAnswerMs);
  const callers = new Set(unanswered.map((crash) => crash.caller));
  const own = crashes.filter((crash) => crash.caller === caller);
  if (callers.size < 2) return own;
  return [...own, ...unanswered.filter((crash) => crash.caller !== caller)];
}

/**
 * Whether two crashes are the end of one run of a server, as different VMs or
 * attempts have seen it.
 */
function isSameEnd(
  a: contracts.ServerCrash,
  b: contracts.ServerCrash,
): boolean {
  if (a.server !== b.server || a.bornMs !== b.bornMs) return false;
  if (a.run !== undefined && b.run !== undefined) return a.run === b.run;
  return a.bornMs !== 0 || Math.abs(a.atMs - b.atMs) < RESTART_MIN_MS;
}

/** Number of different servers among some crashes. */
export function countServers(
  crashes: readonly contracts.ServerCrash[],
): number {
  const ends: contracts.ServerCrash[][] = [];
  const inOrder = [...crashes].sort((a, b) => a.atMs - b.atMs);
  for (const crash of inOrder) {
    const end = ends.find((seen) => seen.some((it) => isSameEnd(it, crash)));
    if (end === undefined) ends.push([crash]);
    else end.push(crash);
  }
  return ends.length;
}
