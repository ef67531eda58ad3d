/** `guavatide check FILE`: says whether settings would be accepted. */
import * as clipanion from "clipanion";
import * as fs from "node:fs";
import * as settings from "../settings/mod.ts";

/** Exit code when settings are refused. */
const INVALID_SETTINGS_EXIT_CODE = 2;

/** Checks a settings file without starting anything. */
export class CheckCommand extends clipanion.Command {
  static override paths = [["check"]];
  static override usage = clipanion.Command.Usage({
    description: "Check a settings file and name each problem",
    examples: [["Check a file", "guavatide check settings.json"]],
  });

  file = clipanion.Option.String({ name: "file" });

  override execute(): Promise<number> {
    let text: string;
    try {
      text = fs.readFileSync(this.file, "utf8");
    } catch (error) {
      this.context.stderr.write(
        `Cannot read "${this.file}" (${String(error)}): check the path\n`,
      );
      return Promise.resolve(INVALID_SETTINGS_EXIT_CODE);
    }
    const loaded = settings.loadSettings(text);
    if (loaded.isErr()) {
      this.context.stderr.write(`${loaded.error.message}\n`);
      return Promise.resolve(INVALID_SETTINGS_EXIT_CODE);
    }
    this.context.stdout.write(`${this.file}: accepted\n`);
    return Promise.resolve(0);
  }
}
