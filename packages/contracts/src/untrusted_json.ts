/**
 * The boundary for JSON that another program supplies. Its text becomes a value
 * here alone, within limits, so that code behind it may recurse over values,
 * copy them and write them as text again.
 */
import * as neverthrow from "neverthrow";
import type * as z from "zod";

/** Limits on a value; what exceeds them is replaced by null. */
export interface JsonLimits {
  /** Levels of arrays and objects inside one another; 64 by default. */
  readonly maxDepth?: number;
  /** Characters of a string; unlimited by default. */
  readonly maxStringLength?: number;
}

/** Why text could not be decoded. */
export interface DecodeError {
  /** Field that is missing or has the wrong type. */
  readonly field: string;
  readonly message: string;
}

type Container = unknown[] | Record<string, unknown>;

const MAX_DEPTH = 64;
const WHOLE_TEXT = "(whole)";

/**
 * Parses JSON text. Values that are nested too deeply, strings that are too long
 * and numbers out of range become null, as a field that nobody reads must not
 * make the others unusable. Errors: the text is not JSON.
 */
export function parseJson(
  text: string,
  limits: JsonLimits = {},
): neverthrow.Result<unknown, DecodeError> {
  try {
    return neverthrow.ok(limitValue(JSON.parse(text), limits));
  } catch (error) {
    return neverthrow.err({ field: WHOLE_TEXT, message: String(error) });
  }
}

/** Parses JSON text by a schema. Errors: not JSON, or the first invalid field. */
export function decodeJson<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
  limits?: JsonLimits,
): neverthrow.Result<z.output<Schema>, DecodeError> {
  const value = parseJson(text, limits);
  if (value.isErr()) return neverthrow.err(value.error);
  const parsed = schema.safeParse(value.value);
  if (parsed.success) return neverthrow.ok(parsed.data);
  const { path, message } = parsed.error.issues[0]!;
  return neverthrow.err({ field: path.join(".") || WHOLE_TEXT, message });
}

/** Replaces what exceeds the limits, in place; level by level, not recursively. */
function limitValue(
  value: unknown,
  { maxDepth = MAX_DEPTH, maxStringLength = Number.POSITIVE_INFINITY }:
    JsonLimits,
): unknown {
  const root = [value];
  let level: Container[] = [root];
  for (let depth = 0; level.length > 0; depth++) {
    const nextLevel: Container[] = [];
    for (const container of level) {
      replaceMembers(container, (member) => {
        if (typeof member === "string") return member.length <= maxStringLength;
        if (typeof member === "number") return Number.isFinite(member);
        if (typeof member !== "object" || member === null) return true;
        nextLevel.push(member as Container);
        return depth < maxDepth;
      });
    }
    level = depth < maxDepth ? nextLevel : [];
  }
  return root[0];
}

/** Replaces the members of a container that are not allowed by null. */
function replaceMembers(
  container: Container,
  isAllowed: (member: unknown) => boolean,
): void {
  if (Array.isArray(container)) {
    for (let index = 0; index < container.length; index++) {
      if (!isAllowed(container[index])) container[index] = null;
    }
    return;
  }
  // As a member of its own, which only JSON.parse creates, it would become the
  // prototype of a copy.
  if (Object.hasOwn(container, "__proto__")) delete container["__proto__"];
  for (const name in container) {
    if (!isAllowed(container[name])) container[name] = null;
  }
}
