/** Row type of the contract-test tables, and assertions that rows share. */
import { expect } from "earl";
import type { Result } from "neverthrow";

/** A row: the expected behaviour and the function that checks it. */
export interface ContractCase<Fixture> {
  readonly name: string;
  run(fixture: Fixture): Promise<void>;
}

/** Returns the value of a call. Errors: throws when the call failed. */
export function expectOk<T>(result: Result<T, { message: string }>): T {
  if (result.isErr()) throw new Error(result.error.message);
  return result.value;
}

/** Asserts that a call failed with an error of this kind. */
export function expectErrorKind(
  result: Result<unknown, { kind: string }>,
  kind: string,
): void {
  expect(result.isErr() ? result.error.kind : "ok").toEqual(kind);
}
