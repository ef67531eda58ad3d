/**
 * `guavatide run FILE`: runs one entry process until SIGTERM or SIGINT. When
 * it is ready it prints one JSON line with the ports it listens on.
 */
import * as clipanion from "clipanion";
import * as fs from "node:fs";
import * as settings from "../settings/mod.ts";
import * as wire from "../wire.ts";

/** Exit code when settings are refused. */
const INVALID_SETTINGS_EXIT_CODE = 2;
/** Exit code when the process could not start. */
const START_FAILED_EXIT_CODE = 1;

/** Runs the entry process. */
export class RunCommand extends clipanion.Command {
  static override paths = [["run"]];
  static override usage = clipanion.Command.Usage({
    description: "Run an entry process with a settings file",
    details: "Stops gracefully on SIGTERM or SIGINT: requests in flight end.",
    examples: [["Run", "guavatide run settings.json"]],
  });

  file = clipanion.Option.String({ name: "file" });

  override async execute(): Promise<number> {
    let text: string;
    try {
      text = fs.readFileSync(this.file, "utf8");
    } catch (error) {
      return this.#fail(
        `Cannot read "${this.file}" (${String(error)}): check the path`,
        INVALID_SETTINGS_EXIT_CODE,
      );
    }
    const loaded = settings.loadSettings(text);
    if (loaded.isErr()) {
      return this.#fail(loaded.error.message, INVALID_SETTINGS_EXIT_CODE);
    }
    const started = await wire.startEntry(loaded.value);
    if (started.isErr()) {
      return this.#fail(started.error.message, START_FAILED_EXIT_CODE);
    }
    const entry = started.value;
    this.context.stdout.write(JSON.stringify({ ready: entry.ports }) + "\n");
    await waitForStopSignal();
    await entry.stop();
    return 0;
  }

  #fail(message: string, code: number): number {
    this.context.stderr.write(`${message}\n`);
    return code;
  }
}

function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
}
