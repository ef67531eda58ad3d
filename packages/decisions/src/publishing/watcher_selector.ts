/**
 * Which entry VMs watch the store for a new configuration. Each VM chooses
 * from the members that it sees, without asking: a cut-off group chooses its
 * own, and two views that differ cost a watch too many, not one too few.
 */
import type * as contracts from "@guavatide/contracts";
import xxhash from "xxhash-wasm";

/** Entry VMs that watch, whatever the size of the fleet. */
export const WATCHER_COUNT = 2;

/** Expected number of VMs that compare with the store in each interval. */
export const EXPECTED_COMPARISONS = 4;

/** Chooses watchers by rendezvous hashing. */
export class WatcherSelector {
  readonly #hash: (text: string) => number;

  constructor(hash: (text: string) => number) {
    this.#hash = hash;
  }

  /** The VMs that watch, the first by rank first. */
  select(members: readonly contracts.VmId[]): contracts.VmId[] {
    return members
      .map((vm) => ({ vm, rank: this.#hash(`config-watcher:${vm}`) }))
      .sort((a, b) => a.rank - b.rank || (a.vm < b.vm ? -1 : 1))
      .slice(0, WATCHER_COUNT)
      .map((ranked) => ranked.vm);
  }
}

/** Creates the choice; loading the hash library takes a moment. */
export async function createWatcherSelector(): Promise<WatcherSelector> {
  const { h32 } = await xxhash();
  return new WatcherSelector((text) => h32(text));
}

/**
 * Whether this VM compares its configuration with the store in this interval.
 * Every VM draws anew, so that the fleet's comparisons stay constant in rate
 * while no single VM's failure can stop them.
 */
export function shouldCompare(
  members: number,
  random: contracts.RandomSource,
): boolean {
  return random.next() < EXPECTED_COMPARISONS / Math.max(1, members);
}
