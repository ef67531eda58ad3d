/** Tells all entry VMs the range map that the mover has written. */
import type * as contracts from "@guavatide/contracts";
import * as grants from "@guavatide/decisions/grants/mod";
import type { RangeMapNews } from "./peer_messages.ts";

/** Options of {@link MapPublisher}. */
export interface MapPublisherOptions {
  readonly clock: contracts.Clock;
  /** Sends news of the map to all peers. */
  readonly publish: (news: RangeMapNews) => void;
}

/** The mover tells its map again at this interval: datagrams get lost. */
const REPEAT_MS = 400;
/** So many times after each change. */
const REPEATS = 2;

/** News of one service's map. */
export class MapPublisher {
  readonly #options: MapPublisherOptions;
  readonly #news = new grants.RangeNews();
  #repeatsLeft = 0;
  #toldMs = 0;

  constructor(options: MapPublisherOptions) {
    this.#options = options;
  }

  /** A map came in force here, whoever wrote it. */
  noteMap(map: contracts.RangeMap): void {
    this.#news.noteMap(map, this.#options.clock.nowMs());
  }

  /** Tells the latest map now, and some more times. */
  publish(pendingFences: Iterable<number>): void {
    this.#repeatsLeft = REPEATS;
    this.#tell(pendingFences);
  }

  /** Tells it again when that is due. */
  repeat(pendingFences: Iterable<number>): void {
    const sinceMs = this.#options.clock.nowMs() - this.#toldMs;
    if (this.#repeatsLeft > 0 && sinceMs >= REPEAT_MS) {
      this.#tell(pendingFences);
    }
  }

  #tell(pendingFences: Iterable<number>): void {
    const change = this.#news.change();
    if (change === undefined) return;
    this.#repeatsLeft--;
    this.#toldMs = this.#options.clock.nowMs();
    this.#options.publish({ ...change, pendingFences: [...pendingFences] });
  }
}
