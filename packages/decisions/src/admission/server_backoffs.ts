/**
 * Backend servers that have asked this VM to send them nothing for a time, as
 * pushback does in other systems. Each VM is asked for itself.
 */
import type * as contracts from "@guavatide/contracts";

/** Until when a server is left alone. */
interface Backoff {
  readonly fromMs: number;
  readonly untilMs: number;
}

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
    const untilMs = nowMs + Math.max(leftMs, delayMs);
    this.#backoffs.set(server, { fromMs: nowMs, untilMs });
    return leftMs === 0;
  }

  /** Time until the server may be sent to again; 0 when it may be. */
  leftMs(server: contracts.ServerId, nowMs: number): number {
    return Math.max(0, (this.#backoffs.get(server)?.untilMs ?? 0) - nowMs);
  }

  /** Servers that were recorded and not forgotten. */
  get servers(): Iterable<contracts.ServerId> {
    return this.#backoffs.keys();
  }

  /** Forgets a server that has ended. */
  forget(server: contracts.ServerId): void {
    this.#backoffs.delete(server);
  }
}
