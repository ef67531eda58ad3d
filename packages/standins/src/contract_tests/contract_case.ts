/** One row of a contract-test table, and the checks that rows share. */
import { expect } from "earl";
import type { Result } from "neverthrow";

/** A row: a sentence of behaviour and how to see it. */
export interface ContractCase<Fixture> {
  readonly name: string;
  run(fixture: Fixture): Promise<void>;
}

/** The value of a call that must succeed. */
export function expectOk<T>(result: Result<T, { message: string }>): T {
  if (result.isErr()) throw new Error(result.error.message);
  return result.value;
}

/** Checks that a call failed with this kind. */
export function expectErrorKind(
  result: Result<unknown, { kind: string }>,
  kind: string,
): void {
  expect(result.isErr() ? result.error.kind : "ok").toEqual(kind);
}
