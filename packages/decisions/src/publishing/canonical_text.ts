/** JSON text that depends on a value's content, not on how it was built. */

/**
 * JSON text with the fields of each object in order of name. Plain JSON text
 * differs between a value just built and the same value read from the store,
 * so that a comparison would find a change where there is none.
 */
export function canonicalText(value: unknown): string {
  return JSON.stringify(value, (_name, inner) => sortFields(inner));
}

function sortFields(value: unknown): unknown {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    return value;
  }
  const fields = Object.entries(value);
  return Object.fromEntries(fields.sort(([a], [b]) => a < b ? -1 : 1));
}
