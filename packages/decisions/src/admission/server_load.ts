/** What this entry VM believes of one backend server's load and health. */
import type * as contracts from "@guavatide/contracts";

/** A peer's load at a server is dropped after this time. */
const PEER_LOAD_TTL_MS = 1_000;
/** Weight of a new end in the ratio of failures. */
const FAILURE_SAMPLE_WEIGHT = 1 / 8;
/** Sends without an answer, in a row, after which a server is suspended. */
const SUSPEND_AFTER_LOSSES = 2;
/**
 * The same for the only owner of its keys, which no other server can answer. An
 * owner that answers nothing is found by its grants.
 */
const SUSPEND_OWNER_AFTER_LOSSES = 5;
const SUSPEND_MIN_MS = 400;
const SUSPEND_MAX_MS = 4_000;

/** A reported speed loses weight with age and lapses after this time. */
const SPEED_TTL_MS = 400;

/** How a request at a server ended. */
export type SendOutcome =
  /** An answer by the server itself. */
  | { readonly kind: "answered"; readonly isFailure: boolean }
  /** The server said that it did not run the request. */
  | { readonly kind: "rejected" }
  /** No whole answer came, or no connection. */
  | { readonly kind: "lost" }
  /** Nobody waits for it any more; says nothing about the server. */
  | { readonly kind: "abandoned" };

/** A server's word of its speed. */
export interface ReportedSpeed {
  /** How much longer work takes than usual. */
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
  /** Start times of this VM's requests there, oldest first. */
  readonly #sentMs = new Set<{ readonly atMs: number }>();
  readonly #peerLoads = new Map<contracts.VmId, PeerLoad>();
  /** Whether it is the only one that can serve its keys. */
  readonly #isOwner: boolean;
  #speed: ReportedSpeed | undefined;
  #failureRatio = 0;
  /** Both in a row, without an answer between them. */
  #lossesInARow = 0;
  #suspensions = 0;
  #lastLostMs = Number.NEGATIVE_INFINITY;
  #suspendedUntilMs = Number.NEGATIVE_INFINITY;

  constructor(entry: contracts.RegisteredServer, isOwner = false) {
    this.entry = entry;
    this.#isOwner = isOwner;
  }

  /** Requests of this VM at the server. */
  get ownInFlight(): number {
    return this.#sentMs.size;
  }

  /** Part of the latest requests that the server answered with a failure. */
  get failureRatio(): number {
    return this.#failureRatio;
  }

  /** Requests of all entry VMs at the server, as last told. */
  outstanding(nowMs: number): number {
    let sum = this.#sentMs.size;
    for (const told of this.#peerLoads.values()) {
      if (nowMs - told.reportedMs < PEER_LOAD_TTL_MS) sum += told.outstanding;
    }
    return sum;
  }

  /** How long the oldest of this VM's requests has been there. */
  oldestAgeMs(nowMs: number): number {
    for (const { atMs } of this.#sentMs) return nowMs - atMs;
    return 0;
  }

  /** Time until requests may be sent again; 0 when they may now. */
  suspensionLeftMs(nowMs: number): number {
    return Math.max(0, this.#suspendedUntilMs - nowMs);
  }

  /** Whether requests may be sent now. */
  isUp(nowMs: number): boolean {
    return this.suspensionLeftMs(nowMs) === 0;
  }

  /** A peer told of its requests there. */
  recordPeerLoad(vm: contracts.VmId, told: PeerLoad): void {
    this.#peerLoads.set(vm, told);
  }

  /** The server told its momentary speed, here or at a peer. */
  recordSpeed(speed: ReportedSpeed): void {
    if (this.#speed === undefined || speed.atMs >= this.#speed.atMs) {
      this.#speed = speed;
    }
  }

  /** How much longer than usual work is expected to take there now. */
  slowdownRatio(nowMs: number): number {
    if (this.#speed === undefined) return 1;
    const { slowdownRatio, atMs } = this.#speed;
    const weight = Math.max(0, 1 - (nowMs - atMs) / SPEED_TTL_MS);
    return 1 + (slowdownRatio - 1) * weight;
  }

  /** A request leaves. The returned function takes note of its end. */
  startRequest(nowMs: number): (end: SendOutcome, nowMs: number) => void {
    const sent = { atMs: nowMs };
    this.#sentMs.add(sent);
    return (end, endedMs) => {
      this.#sentMs.delete(sent);
      this.#noteEnd(end, nowMs, endedMs);
    };
  }

  #noteEnd(end: SendOutcome, sentMs: number, nowMs: number): void {
    if (end.kind === "abandoned") return;
    if (end.kind === "lost") return this.#noteLost(sentMs, nowMs);
    this.#lossesInARow = 0;
    this.#suspensions = 0;
    if (end.kind === "rejected") return;
    const failure = end.isFailure ? 1 : 0;
    this.#failureRatio += FAILURE_SAMPLE_WEIGHT *
      (failure - this.#failureRatio);
  }

  /**
   * Suspends a server after losses in a row, at first shortly: a reset
   * connection costs little. A server that is down holds each request until its
   * deadline. Only requests sent after the last loss count, as a reset ends
   * many at once.
   */
  #noteLost(sentMs: number, nowMs: number): void {
    this.#failureRatio += FAILURE_SAMPLE_WEIGHT * (1 - this.#failureRatio);
    // What left before the last loss was lost with it.
    if (this.#isOwner && sentMs < this.#lastLostMs) return;
    this.#lastLostMs = nowMs;
    this.#lossesInARow++;
    const limit = this.#isOwner
      ? SUSPEND_OWNER_AFTER_LOSSES
      : SUSPEND_AFTER_LOSSES;
    if (this.#lossesInARow < limit) return;
    if (sentMs < this.#suspendedUntilMs) return;
    const doubled = SUSPEND_MIN_MS * 2 ** this.#suspensions;
    this.#suspensions++;
    this.#suspendedUntilMs = nowMs + Math.min(SUSPEND_MAX_MS, doubled);
  }
}
