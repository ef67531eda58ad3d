/** Publishes the range map that the leader has written to all entry VMs. */
import type * as contracts from "@guavatide/contracts";
import * as grants from "@guavatide/decisions/grants/mod";
import type { RangeMapUpdate } from "../peers/peer_messages.ts";

/** Options of {@link MapPublisher}. */
export interface MapPublisherOptions {
  readonly clock: contracts.Clock;
  /** Sends an update of the map to all peers. */
  readonly publish: (update: RangeMapUpdate) => void;
}

/** Interval at which the leader resends its map, as datagrams may be lost. */
const RESEND_INTERVAL_MS = 400;
/** Number of sends after each change, the first included. */
const SENDS_PER_CHANGE = 2;

/** Publishes the changes of one service's map. */
export class MapPublisher {
  readonly #options: MapPublisherOptions;
  readonly #history = new grants.RangeMapHistory();
  #sendsLeft = 0;
  #sentAtMs = 0;

  constructor(options: MapPublisherOptions) {
    this.#options = options;
  }

  /** A newer map was adopted, whoever wrote it. */
  noteMap(map: contracts.RangeMap): void {
    this.#history.noteMap(map, this.#options.clock.nowMs());
  }

  /**
   * Sends the latest map now, and resends it later. `pendingFences`: fences
   * whose owners have not accepted their grant.
   */
  publish(pendingFences: Iterable<number>): void {
    this.#sendsLeft = SENDS_PER_CHANGE;
    this.#send(pendingFences);
  }

  /** Resends the map when that is due. */
  resendIfDue(pendingFences: Iterable<number>): void {
    const sinceMs = this.#options.clock.nowMs() - this.#sentAtMs;
    if (this.#sendsLeft > 0 && sinceMs >= RESEND_INTERVAL_MS) {
      this.#send(pendingFences);
    }
  }

  #send(pendingFences: Iterable<number>): void {
    const change = this.#history.latestDelta();
    if (change === undefined) return;
    this.#sendsLeft--;
    this.#sentAtMs = this.#options.clock.nowMs();
    this.#options.publish({ ...change, pendingFences: [...pendingFences] });
  }
}
