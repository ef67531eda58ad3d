/** The waits of one mover: one for each slice between two owners. */
import * as contracts from "@guavatide/contracts";
import type { OwnershipSettings } from "./settings.ts";
import { type AnsweredCommand, SliceHandover } from "./slice_handover.ts";

/** Waits for the vacating slices of one service. */
export class HandoverTracker {
  readonly #settings: OwnershipSettings;
  readonly #hurried = new Set<contracts.ServerId>();
  #waits = new Map<string, SliceHandover>();

  constructor(settings: OwnershipSettings) {
    this.#settings = settings;
  }

  get isEmpty(): boolean {
    return this.#waits.size === 0;
  }

  /** Revisions that wait for the keepers' promise. */
  get revisionsWithoutQuorum(): number[] {
    return [...this.#waits.values()]
      .filter((wait) => !wait.hasQuorum)
      .map((wait) => wait.revision);
  }

  /** The wait for a slice; undefined when it is not vacating. */
  get(slice: contracts.Slice): SliceHandover | undefined {
    return this.#waits.get(handoverKey(slice));
  }

  reset(): void {
    this.#waits.clear();
  }

  /** A wait goes on while its slice stays taken from the same ownership. */
  noteStored(assignment: contracts.Assignment, acknowledgedAtMs: number): void {
    const { revision } = assignment;
    const waits = new Map<string, SliceHandover>();
    for (const slice of assignment.slices) {
      if (slice.state !== "vacating") continue;
      const seen = { revision, acknowledgedAtMs };
      const wait = this.get(slice) ??
        new SliceHandover(slice, seen, this.#settings);
      waits.set(handoverKey(slice), wait);
    }
    this.#waits = waits;
  }

  /** Notes which waits have the keepers' promise as of now. */
  checkQuorum(
    hasPromise: (revision: number) => boolean,
    nowMs: number,
  ): void {
    for (const wait of this.#waits.values()) {
      if (wait.hasQuorum || !hasPromise(wait.revision)) continue;
      wait.noteQuorum(nowMs);
      for (const server of wait.earlierOwners) this.#hurried.add(server);
    }
  }

  noteReply(answer: AnsweredCommand): void {
    for (const wait of this.#waits.values()) wait.noteReply(answer);
  }

  /** Servers whose answers count as a release from now on; told once. */
  takeUrgentServers(): contracts.ServerId[] {
    const hurried = [...this.#hurried];
    this.#hurried.clear();
    return hurried;
  }
}

/** The same for as long as a slice stays taken from one ownership. */
function handoverKey(slice: contracts.Slice): string {
  return `${contracts.sliceIdOf(slice)}/${slice.fence}/${slice.from.join()}`;
}
