/** Commands on the whole set: check, diff, publish, history, config. */
import * as clipanion from "clipanion";
import * as neverthrow from "neverthrow";
import * as answers from "../api_schemas.ts";
import { type CtlError, EXIT_CODES } from "../ctl_error.ts";
import { formatTable } from "../table.ts";
import { ApiCommand, type CommandResult } from "./api_command.ts";

const CATEGORY = "Publishing";

/** `check`. */
export class CheckCommand extends ApiCommand {
  static override paths = [["check"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Check the whole set; exit code 4 when something is wrong",
  });

  protected override async run(): CommandResult {
    const checked = await this.call({
      method: "GET",
      path: "/v1/check",
      schema: answers.checkSchema,
    });
    return checked.map((json) => ({
      json,
      text: formatFindings(json.findings),
      exitCode: json.findings.length === 0
        ? EXIT_CODES.ok
        : EXIT_CODES.findings,
    }));
  }
}

/** `diff`. */
export class DiffCommand extends ApiCommand {
  static override paths = [["diff"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Show what a publish would change, with the tag to publish",
  });

  protected override async run(): CommandResult {
    const compared = await this.call({
      method: "GET",
      path: "/v1/diff",
      schema: answers.diffSchema,
    });
    return compared.map((json) => ({
      json,
      text: `from revision ${json.currentRevision}\n` +
        json.changes.map(formatChange).join("") +
        formatFindings(json.findings) + `tag ${json.tag}\n`,
    }));
  }
}

/** `publish [--tag TAG]`. */
export class PublishCommand extends ApiCommand {
  static override paths = [["publish"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Put the whole set in force at every entry VM",
    details: "With --tag, as `diff` has printed it, the set is published " +
      "only if nobody has edited it since. Without, it is published as it " +
      "stands. Exit code 3 says that somebody was faster, 4 that the set " +
      "was refused, 7 that nobody knows: look at `history` then.",
  });

  tag = clipanion.Option.String("--tag", {
    description: "Tag that `diff` has printed",
  });

  protected override async run(): CommandResult {
    const tag = await this.#tag();
    if (tag.isErr()) return neverthrow.err(tag.error);
    const published = await this.call({
      method: "POST",
      path: "/v1/publish",
      ifMatch: tag.value,
      schema: answers.publishedRevisionSchema,
    });
    return published
      .map((json) => ({ json, text: `revision ${json.revision} published\n` }))
      .mapErr(appendFindings);
  }

  async #tag(): Promise<neverthrow.Result<string, CtlError>> {
    if (this.tag !== undefined) return neverthrow.ok(this.tag);
    const checked = await this.call({
      method: "GET",
      path: "/v1/check",
      schema: answers.checkSchema,
    });
    return checked.map(({ tag }) => tag);
  }
}

/** `history`. */
export class HistoryCommand extends ApiCommand {
  static override paths = [["history"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Show past publishes and drains, newest first",
  });

  protected override async run(): CommandResult {
    const read = await this.call({
      method: "GET",
      path: "/v1/history",
      schema: answers.historySchema,
    });
    return read.map((json) => ({
      json,
      text: formatTable(
        ["REVISION", "BY", "AT", "CHANGES"],
        json.history.map((entry) => [
          entry.revision,
          entry.publishedBy,
          entry.publishedAt,
          formatChangeSummary(entry.changes, entry.changeCount),
        ]),
      ),
    }));
  }
}

/** `config`. */
export class ConfigCommand extends ApiCommand {
  static override paths = [["config"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Print the configuration in force at the VM that is asked",
  });

  protected override async run(): CommandResult {
    const read = await this.call({
      method: "GET",
      path: "/v1/config",
      schema: answers.configSchema,
    });
    return read.map((json) => ({
      json,
      text: `${JSON.stringify(json, null, 2)}\n`,
    }));
  }
}

function formatFindings(findings: readonly answers.Finding[]): string {
  if (findings.length === 0) return "nothing stands against publishing\n";
  return findings.map(formatFinding).join("");
}

function formatFinding(finding: answers.Finding): string {
  const { object, field, kind, message, remedy } = finding;
  const place = [object, field].filter((part) => part !== "").join(" ");
  return `${place || "(whole set)"}: ${kind}. ${message}. ${remedy}\n`;
}

type ObjectChange = {
  change: string;
  object: string;
  fields: readonly FieldChange[];
};
type FieldChange = { field: string; from?: string; to?: string };

function formatChange({ change, object, fields }: ObjectChange): string {
  const lines = fields.map(({ field, from, to }) =>
    `  ${field}: ${from ?? "(none)"} -> ${to ?? "(none)"}\n`
  );
  return `${change} ${object}\n${lines.join("")}`;
}

function formatChangeSummary(
  changes: readonly string[],
  count: number,
): string {
  const more = count - changes.length;
  return changes.join(", ") + (more > 0 ? ` and ${more} more` : "");
}

/** Appends the findings to the message, as the refusal alone helps nobody. */
function appendFindings(error: CtlError): CtlError {
  if (error.exitCode !== EXIT_CODES.findings) return error;
  const { details } = error;
  const parsed = answers.checkSchema.shape.findings
    .safeParse((details as { findings?: unknown }).findings);
  if (!parsed.success) return error;
  const message = `${error.message}\n${formatFindings(parsed.data).trimEnd()}`;
  return { ...error, message };
}
