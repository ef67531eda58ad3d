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

/** The patch that turns one text into another. */
export function createPatch(before: string, after: string): ValuePatch {
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
  return patch;
}

/** The text that the patch makes of the one that it was created from. */
export function applyPatch(before: string, patch: ValuePatch): string {
  const oldParts = splitParts(before);
  return patch.map((part) =>
    typeof part === "string"
      ? part
      : oldParts.slice(part[0], part[0] + part[1]).join("")
  ).join("");
}
