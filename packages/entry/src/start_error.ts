/** Why an entry process did not start, in words with a remedy. */

/** Why an entry process did not start. */
export interface StartError {
  readonly kind: "settings-file" | "address-in-use" | "start";
  readonly message: string;
}

/** Names the remedy for what `startEntry` met. */
export function toStartError(error: unknown): StartError {
  if ((error as { code?: string }).code === "EADDRINUSE") {
    const message = `${String(error)}: choose another port in the settings, ` +
      "or stop the process that holds it";
    return { kind: "address-in-use", message };
  }
  const message = `The process did not start (${String(error)}): ` +
    "check the settings with `guavatide check FILE`";
  return { kind: "start", message };
}
