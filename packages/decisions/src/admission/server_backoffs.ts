/**
 * Backend servers that have asked this VM to send them nothing for a time, as
 * pushback does in other systems. Each VM is asked for itself.
 */
import type * as contracts from "@guavatide/contracts";

/** How long a server is left alone, and what it got meanwhile. */
interface Backoff {
  askedAtMs: number;
  untilMs: number;
  /** Calls that keep leases in force, or end them, since the server has asked. */
  controlCalls: number;
  /** When the last request was sent after the time was over. */
  triedAtMs: number;
}

/**
 * A server that still turns requests away does so at once, so after this time
 * without a refusal another request may follow the first.
 */
const TRIAL_INTERVAL_MS = 15;
/** Calls that are sent this soon after the answer cross it on their way. */
const CROSSING_MS = 350;
/** Further calls that a server may get before its time is over. */
const MAX_CONTROL_CALLS = 2;

/** The servers that have asked this VM to back off. */
export class ServerBackoffs {
  readonly #backoffs = new Map<contracts.ServerId, Backoff>();

  /**
   * Records that a server asks to be left alone from now on. A shorter time
   * doesn't end a longer one that runs. Returns whether none ran before.
   */
  recordRequest(
    server: contracts.ServerId,
    delayMs: number,
    nowMs: number,
  ): boolean {
    const leftMs = this.leftMs(server, nowMs);
    this.#backoffs.set(server, {
      askedAtMs: nowMs,
      untilMs: nowMs + Math.max(leftMs, delayMs),
      controlCalls: leftMs > 0 ? this.#backoffs.get(server)!.controlCalls : 0,
      triedAtMs: Number.NEGATIVE_INFINITY,
    });
    return leftMs === 0;
  }

  /**
   * Records that the server has answered a request. Returns whether that ends
   * its trial.
   */
  recordAnswer(server: contracts.ServerId, nowMs: number): boolean {
    const backoff = this.#backoffs.get(server);
    return backoff !== undefined && nowMs >= backoff.untilMs &&
      this.#backoffs.delete(server);
  }

  /** Time until the server may be sent to again; 0 when it may be. */
  leftMs(server: contracts.ServerId, nowMs: number): number {
    const backoff = this.#backoffs.get(server);
    return backoff === undefined ? 0 : Math.max(0, backoff.untilMs - nowMs);
  }

  /**
   * Whether a request may be sent now. After a back-off the first ones go one
   * by one, until the server has answered one.
   */
  mayStart(server: contracts.ServerId, nowMs: number): boolean {
    const backoff = this.#backoffs.get(server);
    return backoff === undefined || nowMs >= backoff.untilMs &&
        nowMs - backoff.triedAtMs >= TRIAL_INTERVAL_MS;
  }

  /** Records that a request is sent. */
  recordStart(server: contracts.ServerId, nowMs: number): void {
    const backoff = this.#backoffs.get(server);
    if (backoff !== undefined) backoff.triedAtMs = nowMs;
  }

  /** Whether calls sent now cross the server's answer on their way. */
  isCrossing(server: contracts.ServerId, nowMs: number): boolean {
    const backoff = this.#backoffs.get(server);
    return backoff !== undefined && nowMs - backoff.askedAtMs < CROSSING_MS;
  }

  /** Calls that keep leases in force, or end them, that may be sent now. */
  controlCallsLeft(server: contracts.ServerId, nowMs: number): number {
    return this.leftMs(server, nowMs) === 0 || this.isCrossing(server, nowMs)
      ? Number.POSITIVE_INFINITY
      : MAX_CONTROL_CALLS - this.#backoffs.get(server)!.controlCalls;
  }

  /** Records that such a call is sent. */
  recordControl(server: contracts.ServerId, nowMs: number): void {
    const backoff = this.#backoffs.get(server);
    if (backoff === undefined || this.isCrossing(server, nowMs)) return;
    backoff.controlCalls++;
  }

  /** Whether a server has asked, and has answered no request since. */
  has(server: contracts.ServerId): boolean {
    return this.#backoffs.has(server);
  }

  /** Whether any server has asked, and has answered no request since. */
  get hasAny(): boolean {
    return this.#backoffs.size > 0;
  }

  /** Servers that have asked, and have answered no request since. */
  get servers(): Iterable<contracts.ServerId> {
    return this.#backoffs.keys();
  }

  /** Forgets a server that has ended. */
  forget(server: contracts.ServerId): void {
    this.#backoffs.delete(server);
  }
}
