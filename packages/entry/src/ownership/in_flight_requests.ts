/**
 * Requests of this VM in flight at each server of one service. The leader
 * needs them for a server that doesn't check fencing tokens: a slice of such
 * a server is handed over only when no request can still be running there.
 */
import type * as contracts from "@guavatide/contracts";

/** Counts requests from before they are sent until they have finished. */
export class InFlightRequests {
  readonly #counts = new Map<contracts.ServerId, number>();

  /** Counts a request until `done` is called. Further calls do nothing. */
  begin(server: contracts.ServerId): { done(): void } {
    this.#increase(server, 1);
    let isReleased = false;
    return {
      done: () => {
        if (isReleased) return;
        isReleased = true;
        this.#increase(server, -1);
      },
    };
  }

  /** Whether a request is in flight at the server. */
  isBusy(server: contracts.ServerId): boolean {
    return this.#counts.has(server);
  }

  #increase(server: contracts.ServerId, change: number): void {
    const count = (this.#counts.get(server) ?? 0) + change;
    if (count > 0) this.#counts.set(server, count);
    else this.#counts.delete(server);
  }
}
