/** What log lines say of an error. */

/** Longest stack in a log line. */
const MAX_STACK_LENGTH = 4_000;

/** The stack of an error; the text of anything else that was thrown. */
export function stackOf(error: unknown): string {
  const stack = error instanceof Error ? error.stack : undefined;
  return (stack ?? String(error)).slice(0, MAX_STACK_LENGTH);
}
