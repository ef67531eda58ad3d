/**
 * Ranks entry VMs for a role, with the same result on every VM that knows the
 * same weights.
 */
import type * as contracts from "@guavatide/contracts";
import type { KeyHasher } from "../ownership/key_hasher.ts";
import { rendezvousOrder } from "../ownership/rendezvous_order.ts";

/** What a VM has for the roles that it takes on for others. */
export interface VmStrength {
  readonly processorCores: number;
  /** Bandwidth of its link in Mbit/s; undefined when it is not known. */
  readonly linkMbps?: number | undefined;
}

/** Weights of VMs for roles; a VM that is missing has the weight 1. */
export type VmWeights = ReadonlyMap<contracts.VmId, number>;

/**
 * Bandwidth that a VM needs for each core that it spends on roles: an assumed
 * 5,000 datagrams of 200 bytes per second.
 */
const LINK_MBPS_PER_CORE = 8;
/**
 * A VM with a smaller fraction of the strongest one's weight is weak. Just
 * below a half, so that exactly half the cores suffice.
 */
const WEAK_RATIO = 0.499;
/** Number of hashes. */
const HASH_SPACE = 2 ** 32;

/** Share of roles that a VM can take on, in cores. */
export function roleWeight({ processorCores, linkMbps }: VmStrength): number {
  return linkMbps === undefined
    ? processorCores
    : Math.min(processorCores, linkMbps / LINK_MBPS_PER_CORE);
}

/** The VMs that take on roles only when no stronger one is up. */
export function weakVms(
  vms: readonly contracts.VmId[],
  weights: VmWeights,
): ReadonlySet<contracts.VmId> {
  const strongest = Math.max(...vms.map((vm) => weights.get(vm) ?? 1));
  return new Set(
    vms.filter((vm) => (weights.get(vm) ?? 1) < WEAK_RATIO * strongest),
  );
}

interface CachedRanking {
  /** Ids of the VMs that were ranked, joined. */
  readonly vmIds: string;
  readonly weights: VmWeights;
  readonly vms: readonly contracts.VmId[];
}

const NO_WEIGHTS: VmWeights = new Map();

/**
 * Weighted rendezvous ranking of VMs for each role: weak VMs come last, and the
 * others are first in proportion to their weights. Cached while the VMs and
 * their weights are the same.
 */
export class VmRanking {
  readonly #hasher: KeyHasher;
  readonly #weights: () => VmWeights;
  readonly #rankings = new Map<string, CachedRanking>();

  /** `weights` returns the same map until a weight changes. */
  constructor(hasher: KeyHasher, weights: () => VmWeights = () => NO_WEIGHTS) {
    this.#hasher = hasher;
    this.#weights = weights;
  }

  /**
   * VMs in the order in which they take over a role; the first is the leader.
   */
  rank(
    role: string,
    vms: readonly contracts.VmId[],
  ): readonly contracts.VmId[] {
    const vmIds = vms.join();
    const weights = this.#weights();
    const cached = this.#rankings.get(role);
    if (cached?.vmIds === vmIds && cached.weights === weights) {
      return cached.vms;
    }
    const ranked = this.#rank(role, vms, weights);
    this.#rankings.set(role, { vmIds, weights, vms: ranked });
    return ranked;
  }

  #rank(
    role: string,
    vms: readonly contracts.VmId[],
    weights: VmWeights,
  ): readonly contracts.VmId[] {
    const ranked = rendezvousOrder(role, vms, { hasher: this.#hasher });
    const isEven = new Set(vms.map((vm) => weights.get(vm) ?? 1)).size <= 1;
    if (isEven) return ranked;
    const weak = weakVms(vms, weights);
    const scores = new Map(ranked.map((vm) => {
      const hash = this.#hasher.hash(`${vm}|${role}`);
      const score = (weights.get(vm) ?? 1) /
        -Math.log((hash + 0.5) / HASH_SPACE);
      return [vm, score];
    }));
    // Equal weights leave the order as it is: the score rises with the hash.
    return ranked.sort((a, b) =>
      Number(weak.has(a)) - Number(weak.has(b)) ||
      scores.get(b)! - scores.get(a)!
    );
  }

  /** Drops the cached rankings of roles that no longer exist. */
  keepOnly(roles: ReadonlySet<string>): void {
    for (const role of this.#rankings.keys()) {
      if (!roles.has(role)) this.#rankings.delete(role);
    }
  }
}
