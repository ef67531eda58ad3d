/** Commands on configuration objects: list, get, create, edit, delete. */
import * as contracts from "@guavatide/contracts";
import * as clipanion from "clipanion";
import * as neverthrow from "neverthrow";
import * as z from "zod";
import * as schemas from "../api_schemas.ts";
import { type CtlError, usageError } from "../ctl_error.ts";
import { formatTable } from "../table.ts";
import { ApiCommand, type CommandResult, readJsonFile } from "./api_command.ts";

const CATEGORY = "Objects";
const FILE_DESCRIPTION = 'JSON file with the object, or "-" for standard input';

/** `list [KIND]`. */
export class ListCommand extends ApiCommand {
  static override paths = [["list"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "List the configuration objects with their versions",
    examples: [["List the cost shares", "guavatidectl list cost-share"]],
  });

  kind = clipanion.Option.String({ name: "kind", required: false });

  protected override async run(): CommandResult {
    const query = this.kind === undefined
      ? ""
      : `?${new URLSearchParams({ kind: this.kind })}`;
    const listed = await this.call({
      method: "GET",
      path: `/v1/objects${query}`,
      schema: schemas.objectListSchema,
    });
    return listed.map((json) => ({
      json,
      text: formatTable(
        ["OBJECT", "VERSION", "EDITED BY", "AT"],
        json.objects.map(({ object, version, lastEdit }) => [
          `${object.kind}/${object.name}`,
          version,
          lastEdit.operator,
          lastEdit.at,
        ]),
      ),
    }));
  }
}

/** A command on a single object. */
abstract class ObjectCommand extends ApiCommand {
  object = clipanion.Option.String({ name: "KIND/NAME" });

  /** The object's API path; a usage error unless it reads KIND/NAME. */
  protected objectPath(): neverthrow.Result<string, CtlError> {
    const [kind, name, ...rest] = this.object.split("/");
    if (!kind || !name || rest.length > 0) {
      const message = `Invalid object "${this.object}": use KIND/NAME, such ` +
        "as cost-share/availability-split";
      return neverthrow.err(usageError(message));
    }
    const segments = [kind, name].map(encodeURIComponent);
    return neverthrow.ok(`/v1/objects/${segments.join("/")}`);
  }

  /** Fetches the object with its version. */
  protected async fetchObject(
    path: string,
  ): Promise<
    neverthrow.Result<z.infer<typeof schemas.draftSchema>, CtlError>
  > {
    return await this.call({
      method: "GET",
      path,
      schema: schemas.draftSchema,
    });
  }
}

/** `get KIND/NAME`. */
export class GetCommand extends ObjectCommand {
  static override paths = [["get"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Print an object, and its version to standard error",
    examples: [["Get a split", "guavatidectl get cost-share/split"]],
  });

  protected override async run(): CommandResult {
    const path = this.objectPath();
    if (path.isErr()) return neverthrow.err(path.error);
    const fetched = await this.fetchObject(path.value);
    return fetched.map((json) => {
      // On standard error, so that standard output holds only the object and
      // can be edited and passed back to `edit --file`.
      if (!this.isJson) this.context.stderr.write(`version ${json.version}\n`);
      return { json, text: `${JSON.stringify(json.object, null, 2)}\n` };
    });
  }
}

/** `create KIND/NAME --file FILE`. */
export class CreateCommand extends ObjectCommand {
  static override paths = [["create"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Create an object; refused when it exists already",
    examples: [[
      "Create an availability zone",
      'echo \'{"region":"dakar"}\' | guavatidectl create place/yoff --file -',
    ]],
  });

  file = clipanion.Option.String("--file", {
    required: true,
    description: FILE_DESCRIPTION,
  });

  protected override async run(): CommandResult {
    const path = this.objectPath();
    if (path.isErr()) return neverthrow.err(path.error);
    const body = readJsonFile(this.file);
    if (body.isErr()) return neverthrow.err(body.error);
    const created = await this.call({
      method: "PUT",
      path: path.value,
      body: body.value,
      isCreation: true,
      schema: schemas.draftSchema,
    });
    return created.map((json) => ({
      json,
      text: `${this.object} created, version ${json.version}\n`,
    }));
  }
}

/** `edit KIND/NAME (--file FILE --version V | --set FIELD=JSON)`. */
export class EditCommand extends ObjectCommand {
  static override paths = [["edit"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Edit an object, unless its version has changed",
    details:
      "With --set, the fields are set on the current object; add --version " +
      "to refuse the edit when the object has changed since you read it. " +
      "Exit code 3 means that the object has changed in the meantime.",
    examples: [[
      "Set one field",
      "guavatidectl edit service/availability --set timeoutMs=1500",
    ]],
  });

  file = clipanion.Option.String("--file", { description: FILE_DESCRIPTION });
  set = clipanion.Option.Array("--set", [], {
    description: "Field to set, as FIELD=JSON; may be repeated",
  });
  version = clipanion.Option.String("--version", {
    description: "Version that the edit is based on, as `get` prints it",
  });

  protected override async run(): CommandResult {
    const path = this.objectPath();
    if (path.isErr()) return neverthrow.err(path.error);
    const edit = await this.#prepareEdit(path.value);
    if (edit.isErr()) return neverthrow.err(edit.error);
    const edited = await this.call({
      method: "PUT",
      path: path.value,
      body: edit.value.body,
      ifMatch: edit.value.version,
      schema: schemas.draftSchema,
    });
    return edited.map((json) => ({
      json,
      text: `${this.object} edited, version ${json.version}\n`,
    }));
  }

  async #prepareEdit(
    path: string,
  ): Promise<neverthrow.Result<{ body: unknown; version: string }, CtlError>> {
    if ((this.file === undefined) === (this.set.length === 0)) {
      return neverthrow.err(usageError("Use either --file or --set"));
    }
    if (this.file !== undefined) {
      const { version } = this;
      if (version === undefined) {
        const message =
          "--version is missing: use the version that `get` prints";
        return neverthrow.err(usageError(message));
      }
      return readJsonFile(this.file).map((body) => ({ body, version }));
    }
    const fields = parseFields(this.set);
    if (fields.isErr()) return neverthrow.err(fields.error);
    const fetched = await this.fetchObject(path);
    return fetched.map(({ object, version }) => ({
      body: { ...object, ...fields.value },
      version: this.version ?? version,
    }));
  }
}

/** `delete KIND/NAME --version V`. */
export class DeleteCommand extends ObjectCommand {
  static override paths = [["delete"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Delete an object, unless its version has changed",
  });

  version = clipanion.Option.String("--version", {
    required: true,
    description: "Version of the object, as `get` prints it",
  });

  protected override async run(): CommandResult {
    const path = this.objectPath();
    if (path.isErr()) return neverthrow.err(path.error);
    const deleted = await this.call({
      method: "DELETE",
      path: path.value,
      ifMatch: this.version,
      schema: z.undefined(),
    });
    return deleted.map(() => ({
      json: { deleted: this.object },
      text: `${this.object} deleted\n`,
    }));
  }
}

/** Parses `FIELD=JSON` pairs; a usage error for the first invalid one. */
function parseFields(
  pairs: readonly string[],
): neverthrow.Result<Record<string, unknown>, CtlError> {
  const fields: Record<string, unknown> = {};
  for (const pair of pairs) {
    const separator = pair.indexOf("=");
    const value = contracts.parseJson(pair.slice(separator + 1));
    if (separator < 1 || value.isErr()) {
      const message = `Invalid --set "${pair}": use FIELD=JSON, with strings ` +
        "in double quotes";
      return neverthrow.err(usageError(message));
    }
    fields[pair.slice(0, separator)] = value.value;
  }
  return neverthrow.ok(fields);
}
