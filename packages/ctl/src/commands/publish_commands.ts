/** Commands on the whole set: check, diff, publish, history, config. */
import * as clipanion from "clipanion";
import * as neverthrow from "neverthrow";
import * as schemas from "../api_schemas.ts";
import { type CtlError, EXIT_CODES } from "../ctl_error.ts";
import { formatTable } from "../table.ts";
import { ApiCommand, type CommandResult } from "./api_command.ts";

const CATEGORY = "Publishing";

/** `check`. */
export class CheckCommand extends ApiCommand {
  static override paths = [["check"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description:
      "Validate the whole set of objects; exit code 4 when it is invalid",
  });

  protected override async run(): CommandResult {
    const checked = await this.call({
      method: "GET",
      path: "/v1/check",
      schema: schemas.checkSchema,
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
    description:
      "Show what a publish would change, and the tag to publish with",
  });

  protected override async run(): CommandResult {
    const diff = await this.call({
      method: "GET",
      path: "/v1/diff",
      schema: schemas.diffSchema,
    });
    return diff.map((json) => ({
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
    description: "Publish all objects to every entry VM as a new revision",
    details:
      "With the --tag that `diff` prints, the objects are published only if " +
      "none has been edited since. Without it, the current objects are " +
      "published. Exit code 3 means an edit in the meantime, 4 that the " +
      "objects are invalid, 7 an unknown result: check `history` then.",
  });

  tag = clipanion.Option.String("--tag", {
    description: "Tag of the objects to publish, as `diff` prints it",
  });

  protected override async run(): CommandResult {
    const tag = await this.#resolveTag();
    if (tag.isErr()) return neverthrow.err(tag.error);
    const published = await this.call({
      method: "POST",
      path: "/v1/publish",
      ifMatch: tag.value,
      schema: schemas.publishedRevisionSchema,
    });
    return published
      .map((json) => ({ json, text: `revision ${json.revision} published\n` }))
      .mapErr(appendFindings);
  }

  /** The option's tag, or that of the current objects. */
  async #resolveTag(): Promise<neverthrow.Result<string, CtlError>> {
    if (this.tag !== undefined) return neverthrow.ok(this.tag);
    const checked = await this.call({
      method: "GET",
      path: "/v1/check",
      schema: schemas.checkSchema,
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
    const response = await this.call({
      method: "GET",
      path: "/v1/history",
      schema: schemas.historySchema,
    });
    return response.map((json) => ({
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
    description: "Print the configuration that the contacted VM applies",
  });

  protected override async run(): CommandResult {
    const response = await this.call({
      method: "GET",
      path: "/v1/config",
      schema: schemas.configSchema,
    });
    return response.map((json) => ({
      json,
      text: `${JSON.stringify(json, null, 2)}\n`,
    }));
  }
}

function formatFindings(findings: readonly schemas.Finding[]): string {
  if (findings.length === 0) return "nothing stands against publishing\n";
  return findings.map(formatFinding).join("");
}

function formatFinding(finding: schemas.Finding): string {
  const { object, field, kind, message, remedy } = finding;
  const location = [object, field].filter((part) => part !== "").join(" ");
  return `${location || "(whole set)"}: ${kind}. ${message}. ${remedy}\n`;
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

/** Lists the changes; the API leaves some out when `count` is higher. */
function formatChangeSummary(
  changes: readonly string[],
  count: number,
): string {
  const omittedCount = count - changes.length;
  return changes.join(", ") +
    (omittedCount > 0 ? ` and ${omittedCount} more` : "");
}

/** Appends the findings, because the API's message doesn't list them. */
function appendFindings(error: CtlError): CtlError {
  if (error.exitCode !== EXIT_CODES.findings) return error;
  const { details } = error;
  const parsed = schemas.checkSchema.shape.findings
    .safeParse((details as { findings?: unknown }).findings);
  if (!parsed.success) return error;
  const message = `${error.message}\n${formatFindings(parsed.data).trimEnd()}`;
  return { ...error, message };
}
