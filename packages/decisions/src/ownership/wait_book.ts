/** The waits of one mover: one for each slice between two owners. */
import * as contracts from "@guavatide/contracts";
import type { OwnershipSettings } from "./settings.ts";
import { type AnsweredOrder, SliceWait } from "./slice_wait.ts";

/** Waits for the vacating slices of one service. */
export class WaitBook {
  readonly #settings: OwnershipSettings;
  readonly #hurried = new Set<contracts.ServerId>();
  #waits = new Map<string, SliceWait>();

  constructor(settings: OwnershipSettings) {
    this.#settings = settings;
  }

  get isEmpty(): boolean {
    return this.#waits.size === 0;
  }

  /** Revisions that wait for the keepers' promise. */
  get unpromised(): number[] {
    return [...this.#waits.values()]
      .filter((wait) => !wait.isPromised)
      .map((wait) => wait.revision);
  }

  /** The wait for a slice; undefined when it is not vacating. */
  of(slice: contracts.Slice): SliceWait | undefined {
    return this.#waits.get(waitName(slice));
  }

  clear(): void {
    this.#waits.clear();
  }

  /** A wait goes on while its slice stays taken from the same ownership. */
  renew(assignment: contracts.Assignment, acknowledgedAtMs: number): void {
    const { revision } = assignment;
    const waits = new Map<string, SliceWait>();
    for (const slice of assignment.slices) {
      if (slice.state !== "vacating") continue;
      const seen = { revision, acknowledgedAtMs };
      const wait = this.of(slice) ?? new SliceWait(slice, seen, this.#settings);
      waits.set(waitName(slice), wait);
    }
    this.#waits = waits;
  }

  /** Notes which waits have the keepers' promise as of now. */
  checkPromises(
    hasPromise: (revision: number) => boolean,
    nowMs: number,
  ): void {
    for (const wait of this.#waits.values()) {
      if (wait.isPromised || !hasPromise(wait.revision)) continue;
      wait.notePromised(nowMs);
      for (const server of wait.earlierOwners) this.#hurried.add(server);
    }
  }

  noteReply(answer: AnsweredOrder): void {
    for (const wait of this.#waits.values()) wait.noteReply(answer);
  }

  /** Servers whose answers count as a release from now on; told once. */
  takeHurried(): contracts.ServerId[] {
    const hurried = [...this.#hurried];
    this.#hurried.clear();
    return hurried;
  }
}

/** The same for as long as a slice stays taken from one ownership. */
function waitName(slice: contracts.Slice): string {
  return `${contracts.sliceIdOf(slice)}/${slice.fence}/${slice.from.join()}`;
}
