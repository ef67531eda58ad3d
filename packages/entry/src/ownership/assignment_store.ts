/** Reads and writes one service's assignment object in the platform store. */
import * as contracts from "@guavatide/contracts";
import type * as ownership from "@guavatide/decisions/ownership/mod";

/** Result of a read. A confirmation by the store counts from `sentAtMs`. */
export interface TimedRead {
  readonly read: ownership.AssignmentReadResult;
  readonly sentAtMs: number;
}

/** Result of a write. A confirmation by the store counts from `sentAtMs`. */
export interface TimedWrite {
  readonly write: ownership.AssignmentWriteResult;
  readonly sentAtMs: number;
}

/** Options of {@link AssignmentStore}. */
export interface AssignmentStoreOptions {
  readonly service: contracts.ServiceId;
  readonly store: contracts.PlatformStore;
  readonly clock: contracts.Clock;
  /** Timeout of one store call. */
  readonly timeoutMs: number;
}

/** Store access for the assignment of one service. */
export class AssignmentStore {
  readonly #options: AssignmentStoreOptions;
  readonly #name: string;

  constructor(options: AssignmentStoreOptions) {
    this.#options = options;
    this.#name = `assignments/${options.service}`;
  }

  /** Reads the object. A value that fails to parse counts as unavailable. */
  async read(): Promise<TimedRead> {
    const { store, clock, timeoutMs } = this.#options;
    const sentAtMs = clock.nowMs();
    const result = await store.get(this.#name, { timeoutMs });
    if (result.isErr()) {
      const isAbsent = result.error.kind === "not-found";
      const kind = isAbsent ? "absent" : "unavailable";
      return { read: { kind }, sentAtMs };
    }
    const assignment = parseAssignment(result.value.value);
    if (assignment === undefined) {
      return { read: { kind: "unavailable" }, sentAtMs };
    }
    const { version } = result.value;
    return { read: { kind: "found", assignment, version }, sentAtMs };
  }

  /** Writes the object if the condition holds. */
  async write(
    assignment: contracts.Assignment,
    condition: contracts.WriteCondition,
  ): Promise<TimedWrite> {
    const { store, clock, timeoutMs } = this.#options;
    const sentAtMs = clock.nowMs();
    const value = JSON.stringify(assignment);
    const result = await store.put(this.#name, value, { timeoutMs, condition });
    if (result.isOk()) {
      return {
        write: { kind: "acknowledged", version: result.value },
        sentAtMs,
      };
    }
    return { write: { kind: WRITE_RESULT_KINDS[result.error.kind] }, sentAtMs };
  }
}

const WRITE_RESULT_KINDS = {
  "conflict": "conflict",
  "not-found": "conflict",
  "refused": "refused",
  "unavailable": "unknown",
} as const;

function parseAssignment(text: string): contracts.Assignment | undefined {
  return contracts.decodeJson(text, contracts.assignmentSchema)
    .unwrapOr(undefined);
}
