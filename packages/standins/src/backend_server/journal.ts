/**
 * What a backend server ran, for counting afterwards: a request run twice,
 * two owners of a key at one moment, one told as not run that ran. Each line
 * is written before the next step, so that a killed server's journal is whole.
 */
import type { Clock, ServerRefusal } from "@guavatide/contracts";
import * as fs from "node:fs";

/**
 * A step of a request. `end` is the moment of its effect; `abandoned` ran
 * without effect; a `start` alone belongs to a server that was lost.
 */
export type JournalStep = "start" | "end" | "abandoned" | "refused";

/** What the journal notes of a request. */
export interface JournaledRequest {
  readonly requestId: string;
  /** The caller's name for the operation, the same for each attempt. */
  readonly operationId: string | undefined;
  readonly key: string | undefined;
  readonly slice: string | undefined;
  readonly fence: number | undefined;
}

/** One line of the journal. */
export interface JournalEntry extends JournaledRequest {
  readonly server: string;
  readonly step: JournalStep;
  readonly refusal?: ServerRefusal;
  /** CLOCK_MONOTONIC, the same for every process of the machine. */
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Options of {@link Journal}. */
export interface JournalOptions {
  readonly server: string;
  readonly file: string | undefined;
  readonly clock: Clock;
}

/** Options of {@link Journal.append}. */
export interface AppendOptions {
  /**
   * The very time by which the step was decided. A time read afresh could
   * come from after a pause that followed the decision.
   */
  readonly nowMs: number;
  readonly refusal?: ServerRefusal;
}

/** The journal of one server, in memory and, if wished, in a file. */
export class Journal {
  readonly #server: string;
  readonly #file: number | undefined;
  readonly #clockOffsetMs: number;
  readonly #entries: JournalEntry[] = [];

  constructor(options: JournalOptions) {
    const { server, file, clock } = options;
    this.#server = server;
    this.#file = file === undefined ? undefined : fs.openSync(file, "a");
    const machineMs = Number(process.hrtime.bigint()) / 1e6;
    this.#clockOffsetMs = machineMs - clock.nowMs();
  }

  /** Every entry of this run of the process. */
  get entries(): readonly JournalEntry[] {
    return this.#entries;
  }

  /** Notes one step. */
  append(
    step: JournalStep,
    request: JournaledRequest,
    options: AppendOptions,
  ): void {
    const entry: JournalEntry = {
      server: this.#server,
      step,
      refusal: options.refusal,
      ...request,
      monotonicMs: this.#clockOffsetMs + options.nowMs,
      wallMs: Date.now(),
    };
    this.#entries.push(entry);
    if (this.#file === undefined) return;
    fs.writeSync(this.#file, JSON.stringify(entry) + "\n");
  }
}

/** Reads a journal file; a last line that was cut is left out. */
export function readJournalFile(file: string): JournalEntry[] {
  if (!fs.existsSync(file)) return [];
  const lines = fs.readFileSync(file, "utf8").split("\n");
  lines.pop();
  return lines.map((line) => JSON.parse(line) as JournalEntry);
}
