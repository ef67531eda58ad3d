/** Errors and exit codes of the command line. */

/** Exit codes, one for each failure that a script handles differently. */
export const EXIT_CODES = {
  ok: 0,
  /** The API refused the request for a reason not listed below. */
  refused: 1,
  /** Invalid command, option or input file. */
  usage: 2,
  /** The version or tag is outdated: fetch it again and redo the change. */
  conflict: 3,
  /** The set of objects is invalid and can't be published. */
  findings: 4,
  /** The token is unknown or lacks a permission. */
  denied: 5,
  /** The API or the platform's store is unreachable; nothing was changed. */
  unavailable: 6,
  /**
   * The change may have been applied: check before retrying it. `explain` exits
   * with this code when no log line has the request.
   */
  unknown: 7,
} as const;

/** An error that ends a command. `kind` is the API's or the client's own. */
export interface CtlError {
  readonly kind: string;
  /** What failed, and the remedy. */
  readonly message: string;
  readonly exitCode: number;
  /** The API's error object, printed with `--json`. */
  readonly details?: unknown;
}

/** Creates an error for an invalid command line. */
export function usageError(message: string): CtlError {
  return { kind: "usage", message, exitCode: EXIT_CODES.usage };
}
