/**
 * Conditional writes whose reply may be lost. A write that was not answered
 * may still have taken effect: told as failed, the operator would repeat an
 * edit that is already there, or believe that a published split is not. The
 * object is therefore read back, and the same conditional write is sent again
 * while its condition still holds, until its fate is known or time is up.
 */
import type * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import * as timers from "node:timers/promises";

/** Why a write did not succeed. */
export type WriteFailure =
  /** Nothing was written: the condition no longer held. */
  | {
    readonly kind: "conflict";
    readonly message: string;
    /** The object as it stands; absent when it is gone. */
    readonly current?: contracts.StoredObject;
  }
  /** Nothing was written: the store refused the value. */
  | { readonly kind: "refused"; readonly message: string }
  /** Time ran out before the fate of the write was known. */
  | { readonly kind: "unknown"; readonly message: string };

/** Options of {@link writeWithReadBack}. */
export interface WriteWithReadBackOptions {
  readonly value: string;
  readonly condition: contracts.WriteCondition;
  /** Whether an object's text shows that this write took effect. */
  readonly isOwnWrite: (value: string) => boolean;
  readonly clock: contracts.Clock;
  /** Time for all attempts together. */
  readonly timeoutMs: number;
  /** Time for one call to the store. */
  readonly callTimeoutMs: number;
}

/** Options of {@link deleteWithReadBack}. */
export type DeleteWithReadBackOptions = Pick<
  WriteWithReadBackOptions,
  "condition" | "clock" | "timeoutMs" | "callTimeoutMs"
>;

const RETRY_DELAY_MS = 100;

/** Writes an object and returns its new version. */
export async function writeWithReadBack(
  store: contracts.PlatformStore,
  name: string,
  options: WriteWithReadBackOptions,
): Promise<neverthrow.Result<string, WriteFailure>> {
  const until = options.clock.nowMs() + options.timeoutMs;
  while (options.clock.nowMs() < until) {
    const written = await store.put(name, options.value, {
      condition: options.condition,
      timeoutMs: options.callTimeoutMs,
    });
    if (written.isOk()) return neverthrow.ok(written.value);
    const { kind, message } = written.error;
    if (kind === "refused") return neverthrow.err({ kind, message });
    const found = await readBack(store, name, { until, ...options });
    if (found === undefined) break;
    if (found.object !== undefined && options.isOwnWrite(found.object.value)) {
      return neverthrow.ok(found.object.version);
    }
    if (
      kind !== "unavailable" || !conditionHolds(options.condition, found.object)
    ) {
      return neverthrow.err(conflictFailure(name, found.object));
    }
    await timers.setTimeout(RETRY_DELAY_MS);
  }
  return neverthrow.err(unknownOutcomeFailure(name));
}

/** Deletes an object. A lost reply counts as done once the object is gone. */
export async function deleteWithReadBack(
  store: contracts.PlatformStore,
  name: string,
  options: DeleteWithReadBackOptions,
): Promise<neverthrow.Result<void, WriteFailure>> {
  const until = options.clock.nowMs() + options.timeoutMs;
  let mayHaveTakenEffect = false;
  while (options.clock.nowMs() < until) {
    const deleted = await store.delete(name, {
      condition: options.condition,
      timeoutMs: options.callTimeoutMs,
    });
    if (deleted.isOk()) return neverthrow.ok(undefined);
    const { kind, message } = deleted.error;
    if (kind === "refused") return neverthrow.err({ kind, message });
    mayHaveTakenEffect ||= kind === "unavailable";
    const found = await readBack(store, name, { until, ...options });
    if (found === undefined) break;
    if (found.object === undefined && mayHaveTakenEffect) {
      return neverthrow.ok(undefined);
    }
    if (
      kind !== "unavailable" || !conditionHolds(options.condition, found.object)
    ) {
      return neverthrow.err(conflictFailure(name, found.object));
    }
    await timers.setTimeout(RETRY_DELAY_MS);
  }
  return neverthrow.err(unknownOutcomeFailure(name));
}

interface ReadBackOptions {
  readonly until: number;
  readonly clock: contracts.Clock;
  readonly callTimeoutMs: number;
}

/** The object as it stands; undefined when time ran out before an answer. */
async function readBack(
  store: contracts.PlatformStore,
  name: string,
  options: ReadBackOptions,
): Promise<{ readonly object?: contracts.StoredObject } | undefined> {
  while (options.clock.nowMs() < options.until) {
    const read = await store.get(name, { timeoutMs: options.callTimeoutMs });
    if (read.isOk()) return { object: read.value };
    if (read.error.kind === "not-found") return {};
    await timers.setTimeout(RETRY_DELAY_MS);
  }
  return undefined;
}

function conditionHolds(
  condition: contracts.WriteCondition,
  object: contracts.StoredObject | undefined,
): boolean {
  switch (condition.kind) {
    case "any":
      return true;
    case "absent":
      return object === undefined;
    case "version":
      return object?.version === condition.version;
  }
}

function conflictFailure(
  name: string,
  current: contracts.StoredObject | undefined,
): WriteFailure {
  const state = current === undefined
    ? "is gone"
    : `now has version "${current.version}"`;
  const message = `"${name}" ${state}: read it again and redo the change`;
  return { kind: "conflict", message, current };
}

function unknownOutcomeFailure(name: string): WriteFailure {
  const message = `The platform's store did not say whether "${name}" was ` +
    "written: read it again before you repeat the change";
  return { kind: "unknown", message };
}
