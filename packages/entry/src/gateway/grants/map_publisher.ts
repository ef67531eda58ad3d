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
/**
 * Owners accept ranges one by one, and each send goes to all peers: acceptances
 * within this time share one.
 */
const ACCEPTANCE_INTERVAL_MS = 40;
/** Number of sends after each change, the first included. */
const SENDS_PER_CHANGE = 2;

/** Publishes the changes of one service's map. */
export class MapPublisher {
  readonly #options: MapPublisherOptions;
  readonly #history = new grants.RangeMapHistory();
  #sendsLeft = 0;
  #sentAtMs = Number.NEGATIVE_INFINITY;
  #hasAcceptances = false;

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

  /** The same, soon, as an owner has accepted a range. */
  publishAcceptance(pendingFences: Iterable<number>): void {
    this.#hasAcceptances = true;
    this.#sendsLeft = SENDS_PER_CHANGE;
    this.resendIfDue(pendingFences);
  }

  /** Sends the map again, or what owners have accepted, when that is due. */
  resendIfDue(pendingFences: Iterable<number>): void {
    const sinceMs = this.#options.clock.nowMs() - this.#sentAtMs;
    const intervalMs = this.#hasAcceptances
      ? ACCEPTANCE_INTERVAL_MS
      : RESEND_INTERVAL_MS;
    if (this.#sendsLeft > 0 && sinceMs >= intervalMs) {
      this.#send(pendingFences);
    }
  }

  #send(pendingFences: Iterable<number>): void {
    const change = this.#history.latestDelta();
    if (change === undefined) return;
    this.#sendsLeft--;
    this.#hasAcceptances = false;
    this.#sentAtMs = this.#options.clock.nowMs();
    this.#options.publish({ ...change, pendingFences: [...pendingFences] });
  }
}
