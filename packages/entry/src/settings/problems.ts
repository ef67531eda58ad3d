/** Turns what the schema refuses into problems that name their remedy. */
import * as z from "zod";
import { settingsSchema } from "./schema.ts";

/** What is wrong with one field. */
export type SettingsProblemKind =
  | "not-json"
  | "unknown-field"
  | "missing"
  | "wrong-type"
  | "wrong-unit"
  | "out-of-range"
  | "bad-address"
  | "bad-value"
  | "port-clash"
  | "contradiction";

/** One refused field: where it is, what was seen and what to do. */
export interface SettingsProblem {
  readonly kind: SettingsProblemKind;
  /** Path of the field, for example `timings.leaseMs`. */
  readonly path: string;
  /** The value as JSON; hidden for secrets. */
  readonly seen: string;
  /** What to do, a sentence without closing full stop. */
  readonly remedy: string;
}

const UNIT_NAMES: readonly (readonly [suffix: string, words: string])[] = [
  ["Ms", "milliseconds"],
  ["Bytes", "bytes"],
  ["Percent", "percent"],
];
const UNIT_SUFFIX =
  /(Ms|Msec|Millis|Milliseconds|Secs?|Seconds?|Mins?|Minutes?|S|Bytes|Kb|KB|Mb|MB|Percent)$/;
const SECRET_NAME = /(secret|password|token|sha256)$/i;
const MAX_ACTUAL_LENGTH = 80;

type Path = readonly PropertyKey[];

/** Lists the problems that zod found in `raw`. */
export function toProblems(error: z.ZodError, raw: unknown): SettingsProblem[] {
  return error.issues.flatMap((issue) => issueToProblems(issue, raw));
}

/** A path as operators write it. */
export function formatPath(path: Path): string {
  let text = "";
  for (const part of path) {
    if (typeof part === "number") text += `[${part}]`;
    else text += text === "" ? String(part) : `.${String(part)}`;
  }
  return text === "" ? "(whole file)" : text;
}

function issueToProblems(
  issue: z.core.$ZodIssue,
  raw: unknown,
): SettingsProblem[] {
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) =>
      toUnknownFieldProblem([...issue.path, key], raw)
    );
  }
  const path = issue.path;
  const base = { path: formatPath(path), seen: formatActual(raw, path) };
  if (valueAt(raw, path) === undefined) {
    const remedy = `Add the field "${base.path}"`;
    return [{ ...base, kind: "missing", remedy }];
  }
  const { kind, remedy } = diagnose(issue, valueAt(raw, path));
  return [{ ...base, kind, remedy }];
}

type Diagnosis = Pick<SettingsProblem, "kind" | "remedy">;

function diagnose(issue: z.core.$ZodIssue, value: unknown): Diagnosis {
  const unit = unitOfField(issue.path);
  switch (issue.code) {
    case "invalid_type":
      return diagnoseType(issue, value, unit);
    case "too_small":
      return {
        kind: "out-of-range",
        remedy: `Use at least ${issue.minimum}${formatUnit(unit)}`,
      };
    case "too_big":
      return {
        kind: "out-of-range",
        remedy: `Use at most ${issue.maximum}${formatUnit(unit)}`,
      };
    case "invalid_value":
      return {
        kind: "bad-value",
        remedy: `Use one of ${issue.values.map(String).join(", ")}`,
      };
    case "invalid_format":
      return { kind: "bad-value", remedy: formatRemedy(issue.path) };
    case "invalid_union":
      return { kind: "bad-value", remedy: 'Use "*" or a list of names' };
    default:
      return { kind: "bad-address", remedy: addressRemedy(issue.path) };
  }
}

function diagnoseType(
  issue: z.core.$ZodIssueInvalidType,
  value: unknown,
  unit: string | undefined,
): Diagnosis {
  if (unit !== undefined && (issue.expected as string) !== "object") {
    // A duration written as "1200ms" or 0.25 would otherwise be read in
    // another unit, and leases would end at a time nobody meant.
    return {
      kind: typeof value === "string" || typeof value === "number"
        ? "wrong-unit"
        : "wrong-type",
      remedy: `Write a whole number of ${unit} without quotes, such as 1200`,
    };
  }
  return {
    kind: "wrong-type",
    remedy: `Use a value of type ${issue.expected}`,
  };
}

function formatRemedy(path: Path): string {
  if (path.at(-1) === "tokenSha256") {
    return "Use the 64 hexadecimal digits that `printf %s TOKEN | sha256sum` prints";
  }
  return "Use letters, digits, dots, dashes and underscores only";
}

function addressRemedy(path: Path): string {
  if (path.at(-1) === "host") {
    return "Use the VM's own IP number, such as 10.0.0.7, not a name";
  }
  return "Use a whole URL, such as http://10.0.0.2:7300";
}

function toUnknownFieldProblem(path: Path, raw: unknown): SettingsProblem {
  const base = { path: formatPath(path), seen: formatActual(raw, path) };
  const known = knownFields(path);
  const near = known.find((name) =>
    normalizeFieldName(name) === normalizeFieldName(String(path.at(-1)))
  );
  if (near === undefined) {
    const remedy = `Remove it; known fields here are ${known.join(", ")}`;
    return { ...base, kind: "unknown-field", remedy };
  }
  const unit = unitOfField([near]);
  const inUnit = unit === undefined ? "" : ` and give it in ${unit}`;
  const kind = unit === undefined ? "unknown-field" : "wrong-unit";
  return { ...base, kind, remedy: `Name the field "${near}"${inUnit}` };
}

function normalizeFieldName(name: string): string {
  return name.replace(UNIT_SUFFIX, "").replaceAll(/[-_]/g, "").toLowerCase();
}

function knownFields(path: Path): string[] {
  let schema: unknown = settingsSchema;
  for (const part of path.slice(0, -1)) schema = childSchema(schema, part);
  schema = unwrapSchema(schema);
  return schema instanceof z.ZodObject ? Object.keys(schema.shape) : [];
}

function childSchema(schema: unknown, part: PropertyKey): unknown {
  const inner = unwrapSchema(schema);
  if (inner instanceof z.ZodArray) return inner.element;
  if (inner instanceof z.ZodObject) return inner.shape[String(part)];
  return undefined;
}

function unwrapSchema(schema: unknown): unknown {
  let inner = schema;
  while (
    inner instanceof z.ZodDefault || inner instanceof z.ZodPrefault ||
    inner instanceof z.ZodOptional
  ) {
    inner = inner.unwrap();
  }
  return inner;
}

function unitOfField(path: Path): string | undefined {
  const name = String(path.at(-1));
  return UNIT_NAMES.find(([suffix]) => name.endsWith(suffix))?.[1];
}

function formatUnit(unit: string | undefined): string {
  return unit === undefined ? "" : ` ${unit}`;
}

function valueAt(raw: unknown, path: Path): unknown {
  let value = raw;
  for (const part of path) {
    if (typeof value !== "object" || value === null) return undefined;
    value = (value as Record<PropertyKey, unknown>)[part];
  }
  return value;
}

function formatActual(raw: unknown, path: Path): string {
  // A refused file is often pasted into a ticket: secrets stay out of it.
  if (SECRET_NAME.test(String(path.at(-1)))) return "(hidden)";
  const text = JSON.stringify(valueAt(raw, path)) ?? "nothing";
  return text.length <= MAX_ACTUAL_LENGTH
    ? text
    : `${text.slice(0, MAX_ACTUAL_LENGTH)}...`;
}
