/**
 * The configuration in force at one entry VM. It only moves to a higher
 * revision, whoever offers it.
 */
import type * as contracts from "@guavatide/contracts";
import { canonicalText } from "./canonical_text.ts";

/** Who offers a configuration. */
export type ConfigSource = "store" | "peer" | "publisher";

/** What became of an offer. */
export type OfferResult =
  | { readonly kind: "applied"; readonly from: number; readonly to: number }
  | { readonly kind: "same" }
  | { readonly kind: "older"; readonly inForce: number }
  /**
   * The same revision with other objects. Two publishers can only both have
   * written it if the store lost a write that it had acknowledged.
   */
  | { readonly kind: "mismatch"; readonly inForce: number };

/** Options of {@link ConfigState}. */
export interface ConfigStateOptions {
  /** How long a fresh start listens before it takes a peer's word. */
  readonly peerDiscoveryMs: number;
  readonly startedMs: number;
}

/** Keeps the configuration in force and decides when to ask whom for more. */
export class ConfigState {
  readonly #options: ConfigStateOptions;
  #config: contracts.PublishedConfig | undefined;
  #text = "";
  #heard = new Map<contracts.VmId, number>();

  constructor(options: ConfigStateOptions) {
    this.#options = options;
  }

  /** The configuration in force; undefined until the first one arrives. */
  get config(): contracts.PublishedConfig | undefined {
    return this.#config;
  }

  /** Revision in force; 0 when there is none. */
  get revision(): number {
    return this.#config?.revision ?? 0;
  }

  /** Takes a configuration when its revision is higher than that in force. */
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
    this.#forgetReached();
    return { kind: "applied", from, to: config.revision };
  }

  /** A peer said which revision it has in force. */
  notePeerRevision(vm: contracts.VmId, revision: number): void {
    if (revision > this.revision) this.#heard.set(vm, revision);
    else this.#heard.delete(vm);
  }

  /** The peer did not give what it had announced. */
  noteFetchFailed(vm: contracts.VmId): void {
    this.#heard.delete(vm);
  }

  /**
   * The peer to ask for its configuration now, if any.
   *
   * A process that has just restarted with nothing waits `settleMs` for its
   * peers first: if the peer heard first were one that had been cut off, an
   * older agreement would be in force here again for a moment, which this VM
   * had already left behind before the restart.
   */
  nextFetch(nowMs: number): contracts.VmId | undefined {
    const settled = this.revision > 0 ||
      nowMs - this.#options.startedMs >= this.#options.peerDiscoveryMs;
    if (!settled) return undefined;
    let best: contracts.VmId | undefined;
    let bestRevision = this.revision;
    for (const [vm, revision] of this.#heard) {
      if (revision <= bestRevision) continue;
      best = vm;
      bestRevision = revision;
    }
    return best;
  }

  #forgetReached(): void {
    for (const [vm, revision] of this.#heard) {
      if (revision <= this.revision) this.#heard.delete(vm);
    }
  }
}
