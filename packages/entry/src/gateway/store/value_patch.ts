/**
 * Difference between two versions of an object's JSON text. A configuration has
 * thousands of routes, of which a change affects a few.
 */

/**
 * Parts of the new text, in order: text, or the index of the first and the
 * number of parts of the old text that are copied.
 */
export type ValuePatch = readonly (string | readonly [number, number])[];

/** Splits JSON text before each object, so that equal objects are equal parts. */
function splitParts(text: string): string[] {
  return text.split(/(?=\{)/);
}

/**
 * Texts of more parts are sent whole: a part takes a hundred bytes while texts
 * are compared, and other writers may store a million braces.
 */
const MAX_PARTS = 32_768;
/** Typical size of a copied range in a message. */
const COPY_CHARACTERS = 10;

function hasTooManyParts(text: string): boolean {
  let count = 1;
  let index = text.indexOf("{");
  while (index >= 0 && count <= MAX_PARTS) {
    count++;
    index = text.indexOf("{", index + 1);
  }
  return count > MAX_PARTS;
}

/**
 * The patch that turns one text into another; undefined if the text is to be
 * sent whole, as it has too many parts or is shorter than its patch.
 */
export function createPatch(
  before: string,
  after: string,
): ValuePatch | undefined {
  if (hasTooManyParts(before) || hasTooManyParts(after)) return undefined;
  const oldParts = splitParts(before);
  const indexes = new Map(oldParts.map((part, index) => [part, index]));
  const patch: (string | [number, number])[] = [];
  for (const part of splitParts(after)) {
    const last = patch.at(-1);
    const next = Array.isArray(last) ? last[0] + last[1] : undefined;
    if (next !== undefined && oldParts[next] === part) {
      (last as [number, number])[1]++;
      continue;
    }
    const index = indexes.get(part);
    if (index !== undefined) patch.push([index, 1]);
    else if (typeof last === "string") patch[patch.length - 1] = last + part;
    else patch.push(part);
  }
  const characters = patch.reduce(
    (total, part) =>
      total + (typeof part === "string" ? part.length : COPY_CHARACTERS),
    0,
  );
  return characters < after.length ? patch : undefined;
}

/**
 * The text that the patch makes of the one that it was created from; undefined
 * if that has too many parts, of which only older VMs create patches.
 */
export function applyPatch(
  before: string,
  patch: ValuePatch,
): string | undefined {
  if (hasTooManyParts(before)) return undefined;
  const oldParts = splitParts(before);
  return patch.map((part) =>
    typeof part === "string"
      ? part
      : oldParts.slice(part[0], part[0] + part[1]).join("")
  ).join("");
}
