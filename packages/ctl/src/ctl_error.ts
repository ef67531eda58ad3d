/** Errors of the command line and the exit codes that scripts read. */

/** Exit codes, one for each thing that a script would tell apart. */
export const EXIT_CODES = {
  ok: 0,
  /** The API refused the request for another reason than those below. */
  refused: 1,
  /** The command line itself was wrong. */
  usage: 2,
  /** Another operator was faster: get, look and redo. */
  conflict: 3,
  /** Something stands against publishing the set. */
  findings: 4,
  /** The token is unknown or lacks a right. */
  denied: 5,
  /** The API or the platform's store could not be reached; nothing was done. */
  unavailable: 6,
  /** Nobody said whether the change took effect: look before repeating it. */
  unknown: 7,
} as const;

/** An error that ends a command. */
export interface CtlError {
  readonly kind: string;
  /** What was seen and what to do. */
  readonly message: string;
  readonly exitCode: number;
  /** The API's own error, for `--json`. */
  readonly details?: unknown;
}

/** A mistake on the command line. */
export function usageError(message: string): CtlError {
  return { kind: "usage", message, exitCode: EXIT_CODES.usage };
}
