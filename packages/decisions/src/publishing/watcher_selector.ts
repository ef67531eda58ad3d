/**
 * Selects the entry VMs that watch the store for a new configuration. Each VM
 * selects from the members that it knows, without communication: a partitioned
 * group selects its own watchers, and two differing views cost one watch too
 * many, not one too few.
 */
import type * as contracts from "@guavatide/contracts";
import xxhash from "xxhash-wasm";

/** Number of entry VMs that watch, for any number of members. */
export const WATCHER_COUNT = 2;

/**
 * Expected number of VMs that compare their configuration with the store in
 * each interval.
 */
export const EXPECTED_COMPARISONS = 4;

/** Selects watchers by rendezvous hashing. */
export class WatcherSelector {
  readonly #hash: (text: string) => number;

  constructor(hash: (text: string) => number) {
    this.#hash = hash;
  }

  /** The VMs that watch, by rank. */
  select(members: readonly contracts.VmId[]): contracts.VmId[] {
    return members
      .map((vm) => ({ vm, rank: this.#hash(`config-watcher:${vm}`) }))
      .sort((a, b) => a.rank - b.rank || (a.vm < b.vm ? -1 : 1))
      .slice(0, WATCHER_COUNT)
      .map((ranked) => ranked.vm);
  }
}

/** Creates a selector; loads the WebAssembly module of the hash. */
export async function createWatcherSelector(): Promise<WatcherSelector> {
  const { h32 } = await xxhash();
  return new WatcherSelector((text) => h32(text));
}

/**
 * Whether this VM compares its configuration with the store in this interval.
 * Every VM draws a random number each time, so the rate of the whole fleet
 * stays constant and no single failed VM can stop the comparisons.
 */
export function shouldCompare(
  members: number,
  random: contracts.RandomSource,
): boolean {
  return random.next() < EXPECTED_COMPARISONS / Math.max(1, members);
}
