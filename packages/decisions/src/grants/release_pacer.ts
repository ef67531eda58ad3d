/**
 * Spaces out releases at servers that limit the calls they get: an owner of many
 * ranges would get one for each at once.
 */
import type * as contracts from "@guavatide/contracts";

/** Releases that a limited server may get at once. */
const BURST_CALLS = 2;
/**
 * Releases a second that a server gets beside any number of renewals: without
 * them keys stay until its lease ends, of which it serves next to nothing.
 */
const MIN_CALLS_PER_SECOND = 0.25;

/** What a limited server may get of calls that are no requests. */
export interface ControlCallBudget {
  /** Calls a second in all. */
  readonly allowedPerSecond: number;
  /** Of these, calls that renew leases of the ranges that it keeps. */
  readonly renewalsPerSecond: number;
}

interface Allowance {
  calls: number;
  atMs: number;
}

/** Allowance of releases for each limited server. */
export class ReleasePacer {
  readonly #allowances = new Map<contracts.ServerId, Allowance>();
  #startMs = Number.NEGATIVE_INFINITY;

  /**
   * This VM releases from now on. Its predecessor may have just used up what the
   * servers allow, so it earns its first calls as well.
   */
  start(nowMs: number): void {
    this.#allowances.clear();
    this.#startMs = nowMs;
  }

  /**
   * Takes a call from a server's allowance; false when none is left. `budget` is
   * undefined for a server without a limit.
   */
  tryTake(
    server: contracts.ServerId,
    budget: ControlCallBudget | undefined,
    nowMs: number,
  ): boolean {
    if (budget === undefined) {
      this.#allowances.delete(server);
      return true;
    }
    const callsPerSecond = Math.max(
      MIN_CALLS_PER_SECOND,
      budget.allowedPerSecond - budget.renewalsPerSecond,
    );
    const known = this.#allowances.get(server) ??
      { calls: 0, atMs: this.#startMs };
    const earned = callsPerSecond * (nowMs - known.atMs) / 1_000;
    const calls = Math.min(BURST_CALLS, known.calls + earned);
    const isTaken = calls >= 1;
    this.#allowances.set(server, {
      calls: isTaken ? calls - 1 : calls,
      atMs: nowMs,
    });
    return isTaken;
  }
}
