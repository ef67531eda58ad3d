/** Registers and runs the commands of `guavatidectl`. */
import * as clipanion from "clipanion";
import * as drains from "./commands/drain_commands.ts";
import { ExplainCommand, LossesCommand } from "./commands/request_commands.ts";
import * as objects from "./commands/object_commands.ts";
import * as publishing from "./commands/publish_commands.ts";
import * as state from "./commands/state_commands.ts";
import { EXIT_CODES } from "./ctl_error.ts";

const VERSION = "0.1.0";

const COMMANDS = [
  objects.ListCommand,
  objects.GetCommand,
  objects.CreateCommand,
  objects.EditCommand,
  objects.DeleteCommand,
  publishing.CheckCommand,
  publishing.DiffCommand,
  publishing.PublishCommand,
  publishing.HistoryCommand,
  publishing.ConfigCommand,
  drains.DrainsCommand,
  drains.DrainCommand,
  drains.ReturnCommand,
  state.VmsCommand,
  state.ServersCommand,
  state.OwnersCommand,
  state.MovesCommand,
  state.AuditCommand,
  ExplainCommand,
  LossesCommand,
  clipanion.Builtins.HelpCommand,
  clipanion.Builtins.VersionCommand,
];

/** Runs a command, given its arguments, and resolves to the exit code. */
export async function runCli(
  args: string[],
  context: clipanion.BaseContext,
): Promise<number> {
  const cli = new clipanion.Cli({
    binaryLabel: "guavatidectl, the operators' command line of guavatide",
    binaryName: "guavatidectl",
    binaryVersion: VERSION,
    // Scripts that read a file or a pipe can't handle color escape codes.
    enableColors: process.stdout.isTTY === true,
  });
  for (const command of COMMANDS) cli.register(command);
  try {
    // Parses before running, so that a mistyped command gets its own exit code
    // and scripts can tell it from one that the API refused.
    const command = cli.process(args, context);
    return await cli.run(command, context);
  } catch (error) {
    context.stderr.write(formatUsageError(error, args));
    return EXIT_CODES.usage;
  }
}

/** One line, because the library's own message lists every command. */
function formatUsageError(error: unknown, args: readonly string[]): string {
  const { name, message } = error as Error;
  const reason = name === "UnknownSyntaxError"
    ? `Cannot parse "${args.join(" ")}"`
    : message;
  return `guavatidectl: ${reason}: see "guavatidectl --help", or ` +
    '"guavatidectl COMMAND --help"\n';
}
