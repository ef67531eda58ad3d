/**
 * Changes of members that ride along in heartbeats, so that in a large fleet
 * a change reaches everybody without everybody asking everybody.
 */
import type * as contracts from "@guavatide/contracts";
import type { MemberState } from "./member.ts";

/** One change, as told to a peer. */
export interface MemberUpdate {
  readonly vm: contracts.VmId;
  readonly incarnation?: contracts.Incarnation;
  readonly state: MemberState;
}

/** Each change is told to about this many times log2(fleet) peers. */
const TELL_FACTOR = 3;
/** Changes kept; the ones told most often give way first. */
const KEPT_NEWS = 256;

/** Holds changes until each has been told often enough. */
export class UpdateQueue {
  readonly #perMessage: number;
  readonly #told = new Map<contracts.VmId, { news: MemberUpdate; n: number }>();

  constructor(perMessage: number) {
    this.#perMessage = perMessage;
  }

  /** Adds a change; it replaces an earlier one about the same VM. */
  enqueue(news: MemberUpdate): void {
    this.#told.delete(news.vm);
    this.#told.set(news.vm, { news, n: 0 });
    if (this.#told.size <= KEPT_NEWS) return;
    const oldest = this.#told.keys().next().value;
    if (oldest !== undefined) this.#told.delete(oldest);
  }

  /** The next changes to tell; the least told first. */
  take(fleetVms: number): MemberUpdate[] {
    const limit = TELL_FACTOR * Math.ceil(Math.log2(fleetVms + 2));
    const chosen = [...this.#told.values()]
      .sort((a, b) => a.n - b.n)
      .slice(0, this.#perMessage);
    for (const item of chosen) {
      item.n++;
      if (item.n >= limit) this.#told.delete(item.news.vm);
    }
    return chosen.map((item) => item.news);
  }
}
