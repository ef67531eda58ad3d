/**
 * Conditional writes whose reply may be lost. A write without a reply may
 * still have taken effect. If it were reported as failed, the operator would
 * repeat an edit that is already stored, or believe that a published cost split
 * isn't in force. Therefore the object is read back, and the same conditional
 * write is retried while its condition still holds, up to the timeout or once
 * the outcome is known.
 */
import type * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import * as timers from "node:timers/promises";

/** Why a write failed. */
export type WriteFailure =
  /** Nothing was written: the condition didn't hold. */
  | {
    readonly kind: "conflict";
    readonly message: string;
    /** The object as it is now. Absent if it has been deleted. */
    readonly current?: contracts.StoredObject;
  }
  /** Nothing was written: the store rejected the value. */
  | { readonly kind: "refused"; readonly message: string }
  /** The timeout expired before the outcome was known. */
  | { readonly kind: "unknown"; readonly message: string };

/** Options of {@link writeWithReadBack}. */
export interface WriteWithReadBackOptions {
  readonly value: string;
  readonly condition: contracts.WriteCondition;
  /** Whether a stored value shows that this write took effect. */
  readonly isOwnWrite: (value: string) => boolean;
  readonly clock: contracts.Clock;
  /** Timeout of all attempts together. */
  readonly timeoutMs: number;
  /** Timeout of one store call. */
  readonly callTimeoutMs: number;
}

/** Options of {@link deleteWithReadBack}. */
export type DeleteWithReadBackOptions = Pick<
  WriteWithReadBackOptions,
  "condition" | "clock" | "timeoutMs" | "callTimeoutMs"
>;

const RETRY_DELAY_MS = 100;

/** Writes an object. Returns its new version. */
export async function writeWithReadBack(
  store: contracts.PlatformStore,
  name: string,
  options: WriteWithReadBackOptions,
): Promise<neverthrow.Result<string, WriteFailure>> {
  const deadlineMs = options.clock.nowMs() + options.timeoutMs;
  while (options.clock.nowMs() < deadlineMs) {
    const written = await store.put(name, options.value, {
      condition: options.condition,
      timeoutMs: options.callTimeoutMs,
    });
    if (written.isOk()) return neverthrow.ok(written.value);
    const { kind, message } = written.error;
    if (kind === "refused") return neverthrow.err({ kind, message });
    const found = await readBack(store, name, { deadlineMs, ...options });
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

/** Deletes an object. After a lost reply, a missing object means success. */
export async function deleteWithReadBack(
  store: contracts.PlatformStore,
  name: string,
  options: DeleteWithReadBackOptions,
): Promise<neverthrow.Result<void, WriteFailure>> {
  const deadlineMs = options.clock.nowMs() + options.timeoutMs;
  let mayHaveDeleted = false;
  while (options.clock.nowMs() < deadlineMs) {
    const deleted = await store.delete(name, {
      condition: options.condition,
      timeoutMs: options.callTimeoutMs,
    });
    if (deleted.isOk()) return neverthrow.ok(undefined);
    const { kind, message } = deleted.error;
    if (kind === "refused") return neverthrow.err({ kind, message });
    mayHaveDeleted ||= kind === "unavailable";
    const found = await readBack(store, name, { deadlineMs, ...options });
    if (found === undefined) break;
    if (found.object === undefined && mayHaveDeleted) {
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
  readonly deadlineMs: number;
  readonly clock: contracts.Clock;
  readonly callTimeoutMs: number;
}

/** Reads the object. Undefined if the deadline passes before a reply. */
async function readBack(
  store: contracts.PlatformStore,
  name: string,
  options: ReadBackOptions,
): Promise<{ readonly object?: contracts.StoredObject } | undefined> {
  while (options.clock.nowMs() < options.deadlineMs) {
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
