/** Canonical JSON text: equal values have equal text. */

/**
 * JSON text with the fields of each object sorted by name. Plain JSON text may
 * differ between a value just built and the same value read from the store, so
 * a comparison of it would find changes where there are none.
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
