/** The last changes of one prefix, for peers that missed their message. */
import type { ObjectChange } from "./object_table.ts";

/**
 * Changes after `fromPosition` up to and including `toPosition`, in the store's
 * order.
 */
export interface RelayedChanges {
  readonly fromPosition: number;
  readonly toPosition: number;
  /**
   * Undefined when the changes are left out of the message: the receiver
   * fetches all objects.
   */
  readonly events: readonly ObjectChange[] | undefined;
  /** Names of all objects, when the changes come from a list. */
  readonly names?: readonly string[];
  /**
   * The changes were made after this time, on this VM's clock; the time on the
   * network is not included. Negative infinity where it is not known.
   */
  readonly madeAfterMs: number;
}

/** Batches of changes that are kept. */
const MAX_BATCHES = 64;
/**
 * Characters of the objects in these batches. A peer that misses changes of
 * larger objects fetches all objects.
 */
const MAX_CHARACTERS = 8_388_608;

/** A bounded number of batches of changes, in their order. */
export class ChangeBuffer {
  readonly #batches: {
    readonly changes: RelayedChanges;
    readonly characters: number;
  }[] = [];
  #characters = 0;

  /** Adds a batch; the oldest ones make room for it. */
  add(changes: RelayedChanges): void {
    const characters = (changes.events ?? [])
      .reduce((total, change) => total + charactersOf(change), 0);
    this.#batches.push({ changes, characters });
    this.#characters += characters;
    while (
      this.#batches.length > MAX_BATCHES || this.#characters > MAX_CHARACTERS
    ) {
      this.#characters -= this.#batches.shift()!.characters;
    }
  }

  /** Batches with changes after a position. */
  after(position: number): readonly RelayedChanges[] {
    return this.#batches.map(({ changes }) => changes)
      .filter(({ toPosition }) => toPosition > position);
  }
}

function charactersOf({ object, previous }: ObjectChange): number {
  return (object?.value.length ?? 0) + (previous?.value.length ?? 0);
}
