/**
 * Stops the process once: when it is told to, or after an error that nothing
 * has caught. The state that the error leaves is not trusted for long, but
 * requests in flight may end first, as after a signal.
 */
import { stackOf } from "../utils/error_text.ts";
import type { Logger } from "../utils/log.ts";
import type { EndReason } from "../utils/process_end_log.ts";
import type { Gateway } from "./wire_gateway.ts";

/** Options of {@link ProcessStop}. */
export interface ProcessStopOptions {
  readonly log: Logger;
  /** Longest time for the stop after an uncaught error. */
  readonly graceMs: number;
  /** Ends the process; called once. */
  readonly exit: (reason: EndReason, status: number) => void;
}

/** Further uncaught errors are not logged: one could come with each event. */
const MAX_LOGGED_ERRORS = 20;

/** Decides when and how the process ends. */
export class ProcessStop {
  readonly #options: ProcessStopOptions;
  #gateway: Pick<Gateway, "stop"> | undefined;
  #isStopping = false;
  #hasExited = false;
  #uncaughtErrors = 0;

  constructor(options: ProcessStopOptions) {
    this.#options = options;
  }

  /** Notes that the gateway accepts requests from now on. */
  noteStarted(gateway: Pick<Gateway, "stop">): void {
    this.#gateway = gateway;
  }

  /** Handles an error of the start. */
  onStartFailed(error: unknown): void {
    this.#options.log.error("Entry process can't start.", {
      error: stackOf(error),
    });
    this.#exit("start-failed", 1);
  }

  /** Handles the signal to stop; further ones have no effect. */
  onSignal(): void {
    this.#stop("stop", 0);
  }

  /**
   * Handles an error that nothing has caught, also the reason of a rejected
   * promise. Requests in flight may end within the grace time.
   */
  onUncaughtError(error: unknown): void {
    if (this.#gateway === undefined) return this.onStartFailed(error);
    this.#uncaughtErrors++;
    if (this.#uncaughtErrors <= MAX_LOGGED_ERRORS) {
      this.#options.log.error("Uncaught error: the process stops.", {
        error: stackOf(error),
        isStopping: this.#isStopping,
      });
    }
    if (this.#isStopping) return;
    // The error may have left a part that never stops.
    setTimeout(
      () => this.#exit("uncaught-error", 1),
      this.#options.graceMs,
    ).unref();
    this.#stop("uncaught-error", 1);
  }

  #stop(reason: EndReason, status: number): void {
    if (this.#isStopping || this.#gateway === undefined) return;
    this.#isStopping = true;
    this.#gateway.stop().then(
      () => this.#exit(reason, status),
      (error) => {
        this.#options.log.error("Stop failed.", { error: stackOf(error) });
        this.#exit("stop-failed", 1);
      },
    );
  }

  #exit(reason: EndReason, status: number): void {
    if (this.#hasExited) return;
    this.#hasExited = true;
    this.#options.exit(reason, status);
  }
}
