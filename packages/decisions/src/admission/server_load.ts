/** Load and health of one backend server as this entry VM sees it. */
import type * as contracts from "@guavatide/contracts";

/** A peer's reported load is ignored after this time. */
const PEER_LOAD_TTL_MS = 1_000;
/** Weight of a new outcome in the failure ratio. */
const FAILURE_SAMPLE_WEIGHT = 1 / 8;
/**
 * Consecutive requests without an answer after which a server is suspended. No
 * other server can answer for an owner of keys, and an owner that answers
 * nothing at all is detected by its leases.
 */
const SUSPEND_AFTER_LOSSES = { owner: 5, other: 2 };
/** The same when the last one got more than an answer may have. */
const SUSPEND_AFTER_TOO_LARGE = { owner: 2, other: 1 };
const SUSPEND_MIN_MS = 400;
const SUSPEND_MAX_MS = 4_000;
/**
 * Pause after a refusal, doubled with each further one until the server answers
 * a request: what refuses within a millisecond would look idle.
 */
const REFUSAL_PAUSE_MIN_MS = 25;
const REFUSAL_PAUSE_MAX_MS = 400;
/** A reported speed loses weight with age and expires after this time. */
const SPEED_TTL_MS = 400;

/** How a request at a server ended. */
export type SendOutcome =
  /** The server answered. */
  | { readonly kind: "answered"; readonly isFailure: boolean }
  /** The server replied that it did not run the request. */
  | { readonly kind: "rejected" }
  /** No connection, or no complete answer. */
  | {
    readonly kind: "lost";
    /** Whether the server has sent more than an answer may have. */
    readonly isTooLarge?: boolean | undefined;
  }
  /** The VM stopped waiting for it; says nothing about the server. */
  | { readonly kind: "abandoned" };

/** A server's report of its current speed. */
export interface ReportedSpeed {
  /** Service time relative to the usual one. */
  readonly slowdownRatio: number;
  readonly atMs: number;
}

interface PeerLoad {
  readonly outstanding: number;
  readonly reportedMs: number;
}

/** Load and health of one server. */
export class ServerLoad {
  entry: contracts.RegisteredServer;
  /** This VM's requests in flight there, oldest first. */
  readonly #inFlight = new Set<{ readonly atMs: number }>();
  readonly #peerLoads = new Map<contracts.VmId, PeerLoad>();
  /** Whether it owns keys, which no other server can serve. */
  readonly #isOwner: boolean;
  #speed: ReportedSpeed | undefined;
  #failureRatio = 0;
  /** Since the last answer. */
  #consecutiveLosses = 0;
  /** Since the last answer; each doubles the next one's duration. */
  #suspensions = 0;
  #lastLostMs = Number.NEGATIVE_INFINITY;
  /** When the first of the consecutive losses was sent. */
  #silentSinceMs = Number.POSITIVE_INFINITY;
  #suspendedUntilMs = Number.NEGATIVE_INFINITY;
  /** Since the last answer. */
  #consecutiveRefusals = 0;
  #refusedUntilMs = Number.NEGATIVE_INFINITY;

  constructor(entry: contracts.RegisteredServer, isOwner = false) {
    this.entry = entry;
    this.#isOwner = isOwner;
  }

  /** Requests of this VM in flight at the server. */
  get ownInFlight(): number {
    return this.#inFlight.size;
  }

  /** Moving average of failures among the requests that ended; 0 to 1. */
  get failureRatio(): number {
    return this.#failureRatio;
  }

  /** Requests of all entry VMs at the server, as last reported. */
  outstanding(nowMs: number): number {
    let sum = this.#inFlight.size;
    for (const peer of this.#peerLoads.values()) {
      if (nowMs - peer.reportedMs < PEER_LOAD_TTL_MS) sum += peer.outstanding;
    }
    return sum;
  }

  /** Age of this VM's oldest request in flight; 0 without any. */
  oldestAgeMs(nowMs: number): number {
    for (const { atMs } of this.#inFlight) return nowMs - atMs;
    return 0;
  }

  /** Time until the suspension ends; 0 if the server is not suspended. */
  suspensionLeftMs(nowMs: number): number {
    return Math.max(0, this.#suspendedUntilMs - nowMs);
  }

  /** Whether the server is not suspended. */
  isUp(nowMs: number): boolean {
    return this.suspensionLeftMs(nowMs) === 0;
  }

  /** Whether it has just refused a request and should get none yet. */
  isRefusing(nowMs: number): boolean {
    return nowMs < this.#refusedUntilMs;
  }

  /** How long it has answered nothing; 0 if it answered the last request. */
  silentMs(nowMs: number): number {
    return Math.max(0, nowMs - this.#silentSinceMs);
  }

  /** Forgets failures that said nothing about the server. */
  forgetLosses(): void {
    this.#failureRatio = 0;
    this.#consecutiveLosses = 0;
    this.#suspensions = 0;
    this.#silentSinceMs = Number.POSITIVE_INFINITY;
    this.#suspendedUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** Records a peer's report of its requests in flight there. */
  recordPeerLoad(vm: contracts.VmId, report: PeerLoad): void {
    this.#peerLoads.set(vm, report);
  }

  /** Records the server's report of its speed, received here or by a peer. */
  recordSpeed(speed: ReportedSpeed): void {
    if (this.#speed === undefined || speed.atMs >= this.#speed.atMs) {
      this.#speed = speed;
    }
  }

  /** Expected service time now relative to the usual one. */
  slowdownRatio(nowMs: number): number {
    if (this.#speed === undefined) return 1;
    const { slowdownRatio, atMs } = this.#speed;
    const weight = Math.max(0, 1 - (nowMs - atMs) / SPEED_TTL_MS);
    return 1 + (slowdownRatio - 1) * weight;
  }

  /** Records that a request is sent. The returned function takes its outcome. */
  startRequest(nowMs: number): (outcome: SendOutcome, nowMs: number) => void {
    const sent = { atMs: nowMs };
    this.#inFlight.add(sent);
    return (outcome, endedMs) => {
      this.#inFlight.delete(sent);
      this.#recordOutcome(outcome, nowMs, endedMs);
    };
  }

  #recordOutcome(outcome: SendOutcome, sentMs: number, nowMs: number): void {
    if (outcome.kind === "abandoned") return;
    if (outcome.kind === "lost") {
      return this.#recordLoss(sentMs, nowMs, outcome.isTooLarge);
    }
    this.#consecutiveLosses = 0;
    this.#suspensions = 0;
    this.#silentSinceMs = Number.POSITIVE_INFINITY;
    if (outcome.kind === "rejected") return this.#recordRefusal(sentMs, nowMs);
    this.#consecutiveRefusals = 0;
    this.#refusedUntilMs = Number.NEGATIVE_INFINITY;
    const failure = outcome.isFailure ? 1 : 0;
    this.#failureRatio += FAILURE_SAMPLE_WEIGHT *
      (failure - this.#failureRatio);
  }

  #recordRefusal(sentMs: number, nowMs: number): void {
    // Many requests that were sent together are refused together.
    if (sentMs < this.#refusedUntilMs) return;
    const pauseMs = REFUSAL_PAUSE_MIN_MS * 2 ** this.#consecutiveRefusals;
    this.#consecutiveRefusals++;
    this.#refusedUntilMs = nowMs + Math.min(REFUSAL_PAUSE_MAX_MS, pauseMs);
  }

  /**
   * Suspends a server after consecutive losses, as a server that is down holds
   * each request until its deadline. The first suspension is short, as a reset
   * connection alone means little. Requests sent before the last suspension
   * ended, and to an owner also those sent before its last loss, don't count
   * again: one reset ends many requests at once. Answers that are too large
   * suspend a server sooner: each one takes processor time from others.
   */
  #recordLoss(sentMs: number, nowMs: number, isTooLarge = false): void {
    this.#failureRatio += FAILURE_SAMPLE_WEIGHT * (1 - this.#failureRatio);
    // A request sent before the last loss was lost with it.
    if (this.#isOwner && sentMs < this.#lastLostMs) return;
    this.#lastLostMs = nowMs;
    this.#silentSinceMs = Math.min(this.#silentSinceMs, sentMs);
    this.#consecutiveLosses++;
    const limits = isTooLarge ? SUSPEND_AFTER_TOO_LARGE : SUSPEND_AFTER_LOSSES;
    const limit = this.#isOwner ? limits.owner : limits.other;
    if (this.#consecutiveLosses < limit) return;
    if (sentMs < this.#suspendedUntilMs) return;
    const backoffMs = SUSPEND_MIN_MS * 2 ** this.#suspensions;
    this.#suspensions++;
    this.#suspendedUntilMs = nowMs + Math.min(SUSPEND_MAX_MS, backoffMs);
  }
}
