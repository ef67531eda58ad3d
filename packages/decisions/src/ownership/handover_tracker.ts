/** Handovers of one controller: one for each vacating slice. */
import * as contracts from "@guavatide/contracts";
import type { OwnershipSettings } from "./settings.ts";
import { type AnsweredCommand, SliceHandover } from "./slice_handover.ts";

/** Handovers of one service. */
export class HandoverTracker {
  readonly #settings: OwnershipSettings;
  readonly #urgent = new Set<contracts.ServerId>();
  #handovers = new Map<string, SliceHandover>();

  constructor(settings: OwnershipSettings) {
    this.#settings = settings;
  }

  get isEmpty(): boolean {
    return this.#handovers.size === 0;
  }

  /** Revisions that still need a quorum's acknowledgement. */
  get revisionsWithoutQuorum(): number[] {
    return [...this.#handovers.values()]
      .filter((handover) => !handover.hasQuorum)
      .map((handover) => handover.revision);
  }

  /** The handover of a slice; undefined when it is not vacating. */
  get(slice: contracts.Slice): SliceHandover | undefined {
    return this.#handovers.get(handoverKey(slice));
  }

  reset(): void {
    this.#handovers.clear();
  }

  /**
   * Takes over a stored assignment. A handover continues while its slice stays
   * vacating with the same earlier owners and fence.
   */
  noteStored(assignment: contracts.Assignment, acknowledgedAtMs: number): void {
    const { revision } = assignment;
    const handovers = new Map<string, SliceHandover>();
    for (const slice of assignment.slices) {
      if (slice.state !== "vacating") continue;
      const start = { revision, acknowledgedAtMs };
      const handover = this.get(slice) ??
        new SliceHandover(slice, start, this.#settings);
      handovers.set(handoverKey(slice), handover);
    }
    this.#handovers = handovers;
  }

  /** Checks which handovers have a quorum's acknowledgement by now. */
  checkQuorum(
    hasQuorum: (revision: number) => boolean,
    nowMs: number,
  ): void {
    for (const handover of this.#handovers.values()) {
      if (handover.hasQuorum || !hasQuorum(handover.revision)) continue;
      handover.noteQuorum(nowMs);
      for (const server of handover.earlierOwners) this.#urgent.add(server);
    }
  }

  noteReply(answer: AnsweredCommand): void {
    for (const handover of this.#handovers.values()) handover.noteReply(answer);
  }

  /** Servers whose replies count as a release from now on; returned once. */
  takeUrgentServers(): contracts.ServerId[] {
    const servers = [...this.#urgent];
    this.#urgent.clear();
    return servers;
  }
}

/** Stays the same while a slice is handed over from the same owners. */
function handoverKey(slice: contracts.Slice): string {
  return `${contracts.sliceIdOf(slice)}/${slice.fence}/${slice.from.join()}`;
}
