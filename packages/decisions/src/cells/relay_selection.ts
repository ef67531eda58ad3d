/** Chooses the VM of another cell that relays a message to its cell. */
import type * as contracts from "@guavatide/contracts";

/** A cell as a sender outside it sees it. */
export interface RelayCandidates {
  /** VMs of the cell that are up. */
  readonly live: readonly contracts.VmId[];
  /** Those that are to relay no large messages. */
  readonly weak: ReadonlySet<contracts.VmId>;
}

/** Options of {@link RelaySelection.choose}. */
export interface ChooseRelayOptions {
  /** Large messages take a tenth of a second of a weak VM's link. */
  readonly isLarge: boolean;
}

/**
 * Draws a relay for each message, and never the same twice in a row where there
 * is another: a VM that is lost, but not yet known to be, cuts its cell off from
 * one of two consecutive messages at most. A cell with one strong VM gets all
 * its large messages through that VM, so a small message has to tell of them.
 */
export class RelaySelection {
  readonly #random: contracts.RandomSource;
  /** The last relay of each cell, by the cell's first VM. */
  readonly #last = new Map<contracts.VmId, contracts.VmId>();

  constructor(random: contracts.RandomSource) {
    this.#random = random;
  }

  /** The relay for the next message; undefined if no VM of the cell is up. */
  choose(
    { live, weak }: RelayCandidates,
    { isLarge }: ChooseRelayOptions,
  ): contracts.VmId | undefined {
    const strong = live.filter((vm) => !weak.has(vm));
    const eligible = isLarge && strong.length > 0 ? strong : live;
    const cell = live[0];
    if (cell === undefined) return undefined;
    const last = this.#last.get(cell);
    const others = eligible.filter((vm) => vm !== last);
    const drawn = others.length > 0 ? others : eligible;
    const relay = drawn[Math.floor(this.#random.next() * drawn.length)]!;
    this.#last.set(cell, relay);
    return relay;
  }
}
