/** Arrays of which single items may be unusable. */
import * as z from "zod";

/**
 * Schema of an array that another program supplies. Items that don't match
 * `schema` are left out, and the others hold.
 */
export function usableItems<Schema extends z.ZodType>(schema: Schema) {
  return z.array(z.unknown()).transform((items): z.output<Schema>[] =>
    items.flatMap((item) => {
      const parsed = schema.safeParse(item);
      return parsed.success ? [parsed.data] : [];
    })
  );
}
