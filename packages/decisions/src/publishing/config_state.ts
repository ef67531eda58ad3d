/**
 * The configuration that one entry VM applies. It only ever moves to a higher
 * revision, whoever offers it.
 */
import type * as contracts from "@guavatide/contracts";
import { canonicalText } from "./canonical_text.ts";

/** Origin of a configuration. */
export type ConfigSource = "store" | "peer" | "publisher";

/** Result of an offer. */
export type OfferResult =
  | { readonly kind: "applied"; readonly from: number; readonly to: number }
  | { readonly kind: "same" }
  | { readonly kind: "older"; readonly inForce: number }
  /**
   * The same revision with other objects. Two publishers can both have written
   * it only if the store lost an acknowledged write.
   */
  | { readonly kind: "mismatch"; readonly inForce: number };

/** Options of {@link ConfigState}. */
export interface ConfigStateOptions {
  /**
   * Time in milliseconds that a process without a configuration waits for
   * reports of its peers before it fetches from one.
   */
  readonly peerDiscoveryMs: number;
  readonly startedMs: number;
}

/**
 * Holds the current configuration and decides which peer to fetch a newer one
 * from.
 */
export class ConfigState {
  readonly #options: ConfigStateOptions;
  #config: contracts.PublishedConfig | undefined;
  #text = "";
  #peerRevisions = new Map<contracts.VmId, number>();

  constructor(options: ConfigStateOptions) {
    this.#options = options;
  }

  /** The current configuration; undefined until the first one arrives. */
  get config(): contracts.PublishedConfig | undefined {
    return this.#config;
  }

  /** Current revision; 0 when there is none. */
  get revision(): number {
    return this.#config?.revision ?? 0;
  }

  /** Applies a configuration if its revision is higher than the current one. */
  offer(config: contracts.PublishedConfig): OfferResult {
    const from = this.revision;
    if (config.revision < from) return { kind: "older", inForce: from };
    const text = canonicalText([config.objects, config.drains ?? []]);
    if (config.revision === from) {
      return text === this.#text
        ? { kind: "same" }
        : { kind: "mismatch", inForce: from };
    }
    this.#config = config;
    this.#text = text;
    this.#dropReachedRevisions();
    return { kind: "applied", from, to: config.revision };
  }

  /** A peer reported its current revision. */
  notePeerRevision(vm: contracts.VmId, revision: number): void {
    if (revision > this.revision) this.#peerRevisions.set(vm, revision);
    else this.#peerRevisions.delete(vm);
  }

  /** The fetch from the peer failed. */
  noteFetchFailed(vm: contracts.VmId): void {
    this.#peerRevisions.delete(vm);
  }

  /**
   * The peer to fetch a newer configuration from now, if any.
   *
   * A process that starts without a configuration first waits
   * `peerDiscoveryMs`. If the first peer to report had been disconnected, an
   * older agreement would otherwise apply here again for a moment, although
   * this VM had replaced it before the restart.
   */
  nextFetch(nowMs: number): contracts.VmId | undefined {
    const hasWaited = this.revision > 0 ||
      nowMs - this.#options.startedMs >= this.#options.peerDiscoveryMs;
    if (!hasWaited) return undefined;
    let best: contracts.VmId | undefined;
    let bestRevision = this.revision;
    for (const [vm, revision] of this.#peerRevisions) {
      if (revision <= bestRevision) continue;
      best = vm;
      bestRevision = revision;
    }
    return best;
  }

  #dropReachedRevisions(): void {
    for (const [vm, revision] of this.#peerRevisions) {
      if (revision <= this.revision) this.#peerRevisions.delete(vm);
    }
  }
}
