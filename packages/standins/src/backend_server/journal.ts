/**
 * Journal of the requests that a backend server ran. Tests read it to find a
 * request that ran twice, a key with two owners at the same time, or a request
 * that ran although the caller was told that it did not. Each line is written
 * synchronously before the next step, so that the journal of a killed server
 * is complete.
 */
import type { Clock, ServerRefusal } from "@guavatide/contracts";
import * as fs from "node:fs";

/**
 * A step in the processing of a request. `end`: its effect was committed.
 * `abandoned`: it ran without effect. A `start` without a later step means
 * that the server failed while the request was running.
 */
export type JournalStep = "start" | "end" | "abandoned" | "refused";

/** Request fields that the journal records. */
export interface JournaledRequest {
  readonly requestId: string;
  /** The caller's operation id, the same for every attempt. */
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
  /** CLOCK_MONOTONIC, shared by all processes of the machine. */
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
   * The clock reading on which the step was decided. A later reading could
   * include a pause of the process after the decision.
   */
  readonly nowMs: number;
  readonly refusal?: ServerRefusal;
}

/** The journal of one server, in memory and optionally in a file. */
export class Journal {
  readonly #server: string;
  readonly #file: number | undefined;
  readonly #clockOffsetMs: number;
  readonly #entries: JournalEntry[] = [];

  constructor(options: JournalOptions) {
    const { server, file, clock } = options;
    this.#server = server;
    this.#file = file === undefined ? undefined : fs.openSync(file, "a");
    const monotonicMs = Number(process.hrtime.bigint()) / 1e6;
    this.#clockOffsetMs = monotonicMs - clock.nowMs();
  }

  /** All entries of this incarnation of the process. */
  get entries(): readonly JournalEntry[] {
    return this.#entries;
  }

  /** Appends one step. */
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

/** Reads a journal file; skips a last line that is incomplete. */
export function readJournalFile(file: string): JournalEntry[] {
  if (!fs.existsSync(file)) return [];
  const lines = fs.readFileSync(file, "utf8").split("\n");
  lines.pop();
  return lines.map((line) => JSON.parse(line) as JournalEntry);
}
