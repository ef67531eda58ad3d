/**
 * Spaces out releases at servers that limit the calls they get: an owner of many
 * ranges would get one for each at once.
 */
import type * as contracts from "@guavatide/contracts";

/** Releases that a limited server may get at once. */
const BURST_CALLS = 2;

interface Allowance {
  calls: number;
  atMs: number;
}

/** Allowance of releases for each limited server. */
export class ReleasePacer {
  readonly #allowances = new Map<contracts.ServerId, Allowance>();

  /**
   * Takes a call from a server's allowance; false when none is left.
   * `callsPerSecond` is undefined for a server without a limit.
   */
  tryTake(
    server: contracts.ServerId,
    callsPerSecond: number | undefined,
    nowMs: number,
  ): boolean {
    if (callsPerSecond === undefined) {
      this.#allowances.delete(server);
      return true;
    }
    const known = this.#allowances.get(server) ??
      { calls: BURST_CALLS, atMs: nowMs };
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
