/** `guavatide print-defaults`: prints a complete settings file as a template. */
import * as clipanion from "clipanion";
import * as settings from "../settings/mod.ts";

/** Prints settings with every default filled in. */
export class PrintDefaultsCommand extends clipanion.Command {
  static override paths = [["print-defaults"]];
  static override usage = clipanion.Command.Usage({
    description: "Print settings with every default filled in",
  });

  override execute(): Promise<number> {
    this.context.stdout.write(settings.printDefaults());
    return Promise.resolve(0);
  }
}
