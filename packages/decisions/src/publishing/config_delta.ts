/**
 * Deltas that bring a peer from its revision to a newer one. A whole set may be
 * megabytes while one edit is a few hundred bytes; at tens of thousands of
 * publishes a day only the latter fits a node's control traffic.
 */
import type * as contracts from "@guavatide/contracts";
import { objectPath } from "./object_validation.ts";
import { diffObjects } from "./object_diff.ts";

/** Changes from one revision to another. */
export interface ConfigDelta {
  /** Revision the delta applies to; 0 when it contains the whole set. */
  readonly baseRevision: number;
  readonly revision: number;
  readonly publishedBy: string;
  readonly publishedAt: string;
  /** Objects that were added or edited. */
  readonly objects: readonly contracts.ConfigObject[];
  /** Removed objects, as `kind/name`. */
  readonly removed: readonly string[];
  /** All drained servers, whatever the base revision. */
  readonly drains?: readonly contracts.Drain[];
}

/** Earlier configurations kept besides the current one. */
const MAX_EARLIER_CONFIGS = 16;

/** A copy sorted by object path, the order of every published set. */
export function sortObjects(
  objects: readonly contracts.ConfigObject[],
): contracts.ConfigObject[] {
  return [...objects].sort((a, b) => objectPath(a) < objectPath(b) ? -1 : 1);
}

/** Applies a delta; undefined when it was made for another base revision. */
export function applyDelta(
  base: contracts.PublishedConfig | undefined,
  delta: ConfigDelta,
): contracts.PublishedConfig | undefined {
  if (delta.baseRevision !== 0 && delta.baseRevision !== base?.revision) {
    return undefined;
  }
  const before = delta.baseRevision === 0 ? [] : base?.objects ?? [];
  const byPath = new Map(before.map((each) => [objectPath(each), each]));
  for (const path of delta.removed) byPath.delete(path);
  for (const object of delta.objects) byPath.set(objectPath(object), object);
  return {
    revision: delta.revision,
    publishedBy: delta.publishedBy,
    publishedAt: delta.publishedAt,
    objects: sortObjects([...byPath.values()]),
    drains: [...(delta.drains ?? [])],
  };
}

/** Keeps the latest configurations, to send deltas to peers that lag behind. */
export class ConfigHistory {
  readonly #sets = new Map<number, contracts.PublishedConfig>();
  #latest: contracts.PublishedConfig | undefined;

  /** Adds a configuration that has just been applied. */
  add(config: contracts.PublishedConfig): void {
    this.#latest = config;
    this.#sets.set(config.revision, config);
    const [oldest] = this.#sets.keys();
    if (this.#sets.size > MAX_EARLIER_CONFIGS + 1 && oldest !== undefined) {
      this.#sets.delete(oldest);
    }
  }

  /**
   * The delta from `haveRevision` to the current configuration: the whole set
   * when that revision is no longer kept, undefined when there is nothing
   * newer.
   */
  since(haveRevision: number): ConfigDelta | undefined {
    const latest = this.#latest;
    if (latest === undefined || haveRevision >= latest.revision) {
      return undefined;
    }
    const { revision, publishedBy, publishedAt, drains } = latest;
    const head = { revision, publishedBy, publishedAt, drains };
    const base = this.#sets.get(haveRevision);
    if (base === undefined) {
      return { ...head, baseRevision: 0, objects: latest.objects, removed: [] };
    }
    const changes = diffObjects(base.objects, latest.objects);
    const removed = changes.filter((each) => each.change === "removed");
    return {
      ...head,
      baseRevision: haveRevision,
      objects: changes.flatMap((each) => each.after ?? []),
      removed: removed.map((each) => each.object),
    };
  }
}
