#!/usr/bin/env node
/** Entry point of the `guavatidectl` binary. */
import * as clipanion from "clipanion";
import { runCli } from "./cli.ts";

process.exitCode = await runCli(
  process.argv.slice(2),
  clipanion.Cli.defaultContext,
);
