/**
 * Requests of this VM in flight at each server of one service. A mover asks
 * for them when a server does not check fences.
 */
import type * as contracts from "@guavatide/contracts";

/** Counts requests from before they leave until they are over. */
export class InFlightRequests {
  readonly #inFlight = new Map<contracts.ServerId, number>();

  /** Counts a request until `done`; a second `done` does nothing. */
  begin(server: contracts.ServerId): { done(): void } {
    this.#add(server, 1);
    let isDone = false;
    return {
      done: () => {
        if (isDone) return;
        isDone = true;
        this.#add(server, -1);
      },
    };
  }

  /** Whether a request is in flight at the server. */
  isBusy(server: contracts.ServerId): boolean {
    return this.#inFlight.has(server);
  }

  #add(server: contracts.ServerId, change: number): void {
    const count = (this.#inFlight.get(server) ?? 0) + change;
    if (count > 0) this.#inFlight.set(server, count);
    else this.#inFlight.delete(server);
  }
}
