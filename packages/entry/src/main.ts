#!/usr/bin/env node
/** The `guavatide` binary. */
import * as clipanion from "clipanion";
import { CheckCommand } from "./commands/check_command.ts";
import { PrintDefaultsCommand } from "./commands/print_defaults_command.ts";
import { RunCommand } from "./commands/run_command.ts";

const VERSION = "0.1.0";

const cli = new clipanion.Cli({
  binaryLabel: "guavatide, a router for servers that own keys exclusively",
  binaryName: "guavatide",
  binaryVersion: VERSION,
});
cli.register(RunCommand);
cli.register(CheckCommand);
cli.register(PrintDefaultsCommand);
cli.register(clipanion.Builtins.HelpCommand);
cli.register(clipanion.Builtins.VersionCommand);
process.exitCode = await cli.run(process.argv.slice(2));
// Clean-up has finished or timed out by now: exit even if a handle is still open.
process.exit();
