/** Startup errors of an entry process. */

/** Error that kept an entry process from starting; the message ends with a remedy. */
export interface StartError {
  readonly kind: "settings-file" | "address-in-use" | "start";
  readonly message: string;
}

/** Converts an exception thrown during startup and adds a remedy. */
export function toStartError(error: unknown): StartError {
  if ((error as { code?: string }).code === "EADDRINUSE") {
    const message = `${String(error)}: choose another port in the settings, ` +
      "or stop the process that uses it";
    return { kind: "address-in-use", message };
  }
  const message = `The process did not start (${String(error)}): ` +
    "check the settings with `guavatide check FILE`";
  return { kind: "start", message };
}
