/**
 * What a peer needs to get from its revision to a newer one. A whole set may
 * measure megabytes while one edit is a few hundred bytes; at tens of
 * thousands of publishes a day only the latter fits a node's control traffic.
 */
import type * as contracts from "@guavatide/contracts";
import { objectPath } from "./object_validation.ts";
import { diffObjects } from "./object_diff.ts";

/** The way from one revision to another. */
export interface ConfigDelta {
  /** Revision the delta applies to; 0 means that it holds the whole set. */
  readonly baseRevision: number;
  readonly revision: number;
  readonly publishedBy: string;
  readonly publishedAt: string;
  /** Objects that are new or edited. */
  readonly objects: readonly contracts.ConfigObject[];
  /** Removed objects, as `kind/name`. */
  readonly removed: readonly string[];
  /** All drained servers, whatever the base. */
  readonly drains?: readonly contracts.Drain[];
}

/** Sets remembered besides the one in force. */
const MAX_EARLIER_CONFIGS = 16;

/** A copy in order of object name: the order of every published set. */
export function sortObjects(
  objects: readonly contracts.ConfigObject[],
): contracts.ConfigObject[] {
  return [...objects].sort((a, b) => objectPath(a) < objectPath(b) ? -1 : 1);
}

/** Applies a delta; undefined when it was made for another revision. */
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

/** Remembers the last sets in force, to answer peers that lag behind. */
export class ConfigHistory {
  readonly #sets = new Map<number, contracts.PublishedConfig>();
  #latest: contracts.PublishedConfig | undefined;

  /** Takes note of a set that came into force. */
  add(config: contracts.PublishedConfig): void {
    this.#latest = config;
    this.#sets.set(config.revision, config);
    const [oldest] = this.#sets.keys();
    if (this.#sets.size > MAX_EARLIER_CONFIGS + 1 && oldest !== undefined) {
      this.#sets.delete(oldest);
    }
  }

  /**
   * The way from `haveRevision` to the set in force: whole when that revision
   * is unknown here, undefined when there is nothing newer.
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
