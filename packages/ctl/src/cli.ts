/** The command line `guavatidectl`, without the process around it. */
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

/** Runs one command line and returns its exit code. */
export async function runCli(
  args: string[],
  context: clipanion.BaseContext,
): Promise<number> {
  const cli = new clipanion.Cli({
    binaryLabel: "guavatidectl, the operators' command line of guavatide",
    binaryName: "guavatidectl",
    binaryVersion: VERSION,
    // Escape codes in a file or a pipe hinder the script that reads it.
    enableColors: process.stdout.isTTY === true,
  });
  for (const command of COMMANDS) cli.register(command);
  try {
    // Parsed apart from the run, so that scripts can tell a mistyped command
    // from one that the API refused.
    const command = cli.process(args, context);
    return await cli.run(command, context);
  } catch (error) {
    context.stderr.write(formatUsageError(error, args));
    return EXIT_CODES.usage;
  }
}

/** One line, where the library would list every command there is. */
function formatUsageError(error: unknown, args: readonly string[]): string {
  const { name, message } = error as Error;
  const reason = name === "UnknownSyntaxError"
    ? `Cannot read "${args.join(" ")}"`
    : message;
  return `guavatidectl: ${reason}: see "guavatidectl --help", or ` +
    '"guavatidectl COMMAND --help"\n';
}
