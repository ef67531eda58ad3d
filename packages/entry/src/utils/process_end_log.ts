/**
 * The last line of a process: why it ends. An end by a signal or for lack of
 * memory leaves no such line.
 */
import type { Logger } from "./log.ts";
import type { ProcessStatus } from "./process_status.ts";

/** Why a process ends. */
export type EndReason =
  /** It was told to stop, and has. */
  | "stop"
  /** It was told to stop, and failed to. */
  | "stop-failed"
  /** It could not start. */
  | "start-failed"
  /** Nothing catches an error that was thrown. */
  | "uncaught-error"
  /** Something else has ended it with an exit status. */
  | "unknown";

/** Options of {@link ProcessEndLog}. */
export interface ProcessEndLogOptions {
  /** Writes its lines at once. */
  readonly syncLog: Logger;
  readonly readStatus: () => ProcessStatus;
  readonly requestsInFlight: () => number;
}

/** Writes the last line. */
export class ProcessEndLog {
  readonly #options: ProcessEndLogOptions;
  #reason: EndReason = "unknown";

  constructor(options: ProcessEndLogOptions) {
    this.#options = options;
  }

  /** Sets the reason, unless an earlier one is known. */
  noteReason(reason: EndReason): void {
    if (this.#reason === "unknown") this.#reason = reason;
  }

  /** Writes the line; called when the process exits. */
  write(exitStatus: number): void {
    const { syncLog, readStatus, requestsInFlight } = this.#options;
    const level = exitStatus === 0 ? "info" : "error";
    syncLog[level]("Entry process ends.", {
      reason: this.#reason,
      exitStatus,
      ...readStatus(),
      requestsInFlight: requestsInFlight(),
    });
  }
}
