/** Tells all entry VMs the range map that the mover has written. */
import type * as contracts from "@guavatide/contracts";
import * as grants from "@guavatide/decisions/grants/mod";
import type { RangeMapUpdate } from "./peer_messages.ts";

/** Options of {@link MapPublisher}. */
export interface MapPublisherOptions {
  readonly clock: contracts.Clock;
  /** Sends an update of the map to all peers. */
  readonly publish: (news: RangeMapUpdate) => void;
}

/** The mover tells its map again at this interval: datagrams get lost. */
const RESEND_MS = 400;
/** So many times after each change. */
const RESENDS = 2;

/** News of one service's map. */
export class MapPublisher {
  readonly #options: MapPublisherOptions;
  readonly #news = new grants.RangeMapHistory();
  #resendsLeft = 0;
  #sentAtMs = 0;

  constructor(options: MapPublisherOptions) {
    this.#options = options;
  }

  /** A map came in force here, whoever wrote it. */
  noteMap(map: contracts.RangeMap): void {
    this.#news.noteMap(map, this.#options.clock.nowMs());
  }

  /** Tells the latest map now, and some more times. */
  publish(pendingFences: Iterable<number>): void {
    this.#resendsLeft = RESENDS;
    this.#send(pendingFences);
  }

  /** Tells it again when that is due. */
  resendIfDue(pendingFences: Iterable<number>): void {
    const sinceMs = this.#options.clock.nowMs() - this.#sentAtMs;
    if (this.#resendsLeft > 0 && sinceMs >= RESEND_MS) {
      this.#send(pendingFences);
    }
  }

  #send(pendingFences: Iterable<number>): void {
    const change = this.#news.latestDelta();
    if (change === undefined) return;
    this.#resendsLeft--;
    this.#sentAtMs = this.#options.clock.nowMs();
    this.#options.publish({ ...change, pendingFences: [...pendingFences] });
  }
}
