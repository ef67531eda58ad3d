/** The last known objects of one prefix of the platform's store. */
import type * as contracts from "@guavatide/contracts";

/** A change of one object; without the object when it was deleted. */
export type ObjectChange = Pick<contracts.WatchEvent, "name" | "object"> & {
  /** The object before the change, where it is known. */
  readonly previous?: contracts.StoredObject | undefined;
};

/** Objects by name. */
export class ObjectTable {
  readonly #objects = new Map<string, contracts.StoredObject>();

  /** All objects. */
  get all(): contracts.StoredObject[] {
    return [...this.#objects.values()];
  }

  /** Names of all objects. */
  get names(): string[] {
    return [...this.#objects.keys()];
  }

  /** An object by its name. */
  get(name: string): contracts.StoredObject | undefined {
    return this.#objects.get(name);
  }

  /** Whether an object is known in the version of a change. */
  knows({ name, object }: ObjectChange): boolean {
    return object !== undefined &&
      this.#objects.get(name)?.version === object.version;
  }

  /**
   * Applies changes up to a position, in their order; returns those that were
   * applied, with the objects before. An object that is known in this or a later
   * version stays: a list may be newer than its position in parts.
   */
  apply(changes: readonly ObjectChange[], position: number): ObjectChange[] {
    const applied: ObjectChange[] = [];
    for (const change of changes) {
      const { name, object } = change;
      const previous = this.#objects.get(name);
      const changedAt = object === undefined ? position : positionOf(object);
      if (previous !== undefined && positionOf(previous) > changedAt) continue;
      if (this.knows(change)) continue;
      if (object === undefined) this.#objects.delete(name);
      else this.#objects.set(name, object);
      applied.push({ ...change, previous });
    }
    return applied;
  }

  /** Changes that make this table equal to a complete list. */
  diff(objects: readonly contracts.StoredObject[]): ObjectChange[] {
    const changes: ObjectChange[] = objects
      .filter(({ name, version }) =>
        this.#objects.get(name)?.version !== version
      )
      .map((object) => ({ name: object.name, object }));
    return [
      ...changes,
      ...this.deletionsExcept(objects.map(({ name }) => name)),
    ];
  }

  /** Deletions of all objects whose names are not listed. */
  deletionsExcept(names: readonly string[]): ObjectChange[] {
    const listed = new Set(names);
    return this.names.filter((name) => !listed.has(name))
      .map((name) => ({ name }));
  }
}

/** Position of an object's last change. */
function positionOf({ version }: contracts.StoredObject): number {
  return Number(version);
}
