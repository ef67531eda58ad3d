/** What changes between two sets of configuration objects. */
import type * as contracts from "@guavatide/contracts";
import { canonicalText } from "./canonical_text.ts";
import { objectPath } from "./object_validation.ts";

/** One changed field. Values are JSON text; absent means "not there". */
export interface FieldChange {
  readonly field: string;
  readonly from?: string;
  readonly to?: string;
}

/** One changed object. */
export interface ObjectChange {
  readonly change: "added" | "removed" | "edited";
  /** The object, as `kind/name`. */
  readonly object: string;
  /** The fields that differ when `edited`; empty otherwise. */
  readonly fields: readonly FieldChange[];
  readonly before?: contracts.ConfigObject;
  readonly after?: contracts.ConfigObject;
}

type ObjectMap = ReadonlyMap<string, contracts.ConfigObject>;

/** Lists the changes from one set to another, in order of object name. */
export function diffObjects(
  before: readonly contracts.ConfigObject[],
  after: readonly contracts.ConfigObject[],
): ObjectChange[] {
  const old = byPath(before);
  const young = byPath(after);
  const paths = [...new Set([...old.keys(), ...young.keys()])].sort();
  return paths.flatMap((path) => changeOf(path, old, young));
}

function byPath(objects: readonly contracts.ConfigObject[]): ObjectMap {
  return new Map(objects.map((object) => [objectPath(object), object]));
}

function changeOf(
  path: string,
  old: ObjectMap,
  young: ObjectMap,
): ObjectChange[] {
  const before = old.get(path);
  const after = young.get(path);
  if (before === undefined) {
    return [{ change: "added", object: path, fields: [], after }];
  }
  if (after === undefined) {
    return [{ change: "removed", object: path, fields: [], before }];
  }
  const fields = fieldChanges(before, after);
  if (fields.length === 0) return [];
  return [{ change: "edited", object: path, fields, before, after }];
}

function fieldChanges(before: object, after: object): FieldChange[] {
  const old = new Map(Object.entries(before));
  const young = new Map(Object.entries(after));
  const names = [...new Set([...old.keys(), ...young.keys()])].sort();
  return names.flatMap((field) => {
    const from = textOf(old.get(field));
    const to = textOf(young.get(field));
    return from === to ? [] : [{ field, from, to }];
  });
}

function textOf(value: unknown): string | undefined {
  return value === undefined ? undefined : canonicalText(value);
}
