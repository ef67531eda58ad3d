/** Results of calls to the store, for tests. */
import * as neverthrow from "neverthrow";

/** A call that the store has not answered in time. */
export const NO_ANSWER = neverthrow.err(
  { kind: "unavailable", message: "No answer" } as const,
);
