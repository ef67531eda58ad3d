/** Keeps the steps of moves and their reasons, for operators to look up. */
import type * as contracts from "@guavatide/contracts";
import * as crypto from "node:crypto";
import type { AssignmentSteps } from "../ownership/service_context.ts";
import {
  type MoveLine,
  moveLineSchema,
  MOVES_PREFIX,
} from "./journal_lines.ts";
import { StoreJournal, type StoreJournalOptions } from "./store_journal.ts";

/** Options of {@link MoveJournal}. */
export type MoveJournalOptions = Omit<
  StoreJournalOptions<MoveLine>,
  "prefix" | "schema"
>;

/** Journal of moves; the task that moves slices notes each update's steps. */
export class MoveJournal extends StoreJournal<MoveLine> {
  readonly #vm: contracts.VmId;

  constructor(options: MoveJournalOptions) {
    super({ ...options, prefix: MOVES_PREFIX, schema: moveLineSchema });
    this.#vm = options.vm;
  }

  /** Takes note of an update that the store has acknowledged. */
  noteSteps({ service, revision, steps }: AssignmentSteps): void {
    for (const step of steps) {
      this.append({
        ...step,
        id: crypto.randomUUID(),
        at: new Date().toISOString(),
        vm: this.#vm,
        service,
        revision,
        from: [...step.from],
      });
    }
  }
}
