/** Differences between two sets of configuration objects. */
import type * as contracts from "@guavatide/contracts";
import { canonicalText } from "./canonical_text.ts";
import { objectPath } from "./object_validation.ts";

/**
 * One changed field. Values are JSON text; an absent one means that the field
 * is missing.
 */
export interface FieldChange {
  readonly field: string;
  readonly from?: string;
  readonly to?: string;
}

/** One changed object. */
export interface ObjectChange {
  readonly change: "added" | "removed" | "edited";
  /** Path of the object, `kind/name`. */
  readonly object: string;
  /** The fields that differ when `edited`; else empty. */
  readonly fields: readonly FieldChange[];
  readonly before?: contracts.ConfigObject;
  readonly after?: contracts.ConfigObject;
}

type ObjectMap = ReadonlyMap<string, contracts.ConfigObject>;

/** Lists the changes from one set to another, sorted by object path. */
export function diffObjects(
  before: readonly contracts.ConfigObject[],
  after: readonly contracts.ConfigObject[],
): ObjectChange[] {
  const older = byPath(before);
  const newer = byPath(after);
  const paths = [...new Set([...older.keys(), ...newer.keys()])].sort();
  return paths.flatMap((path) => changeOf(path, older, newer));
}

function byPath(objects: readonly contracts.ConfigObject[]): ObjectMap {
  return new Map(objects.map((object) => [objectPath(object), object]));
}

function changeOf(
  path: string,
  older: ObjectMap,
  newer: ObjectMap,
): ObjectChange[] {
  const before = older.get(path);
  const after = newer.get(path);
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
  const older = new Map(Object.entries(before));
  const newer = new Map(Object.entries(after));
  const names = [...new Set([...older.keys(), ...newer.keys()])].sort();
  return names.flatMap((field) => {
    const from = textOf(older.get(field));
    const to = textOf(newer.get(field));
    return from === to ? [] : [{ field, from, to }];
  });
}

function textOf(value: unknown): string | undefined {
  return value === undefined ? undefined : canonicalText(value);
}
