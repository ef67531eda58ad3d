/** Commands on single objects: list, get, create, edit, delete. */
import * as clipanion from "clipanion";
import * as neverthrow from "neverthrow";
import * as z from "zod";
import * as answers from "../api_schemas.ts";
import { type CtlError, usageError } from "../ctl_error.ts";
import { formatTable } from "../table.ts";
import { ApiCommand, type CommandResult, readJsonFile } from "./api_command.ts";

const CATEGORY = "Objects";
const FILE_DESCRIPTION = 'JSON file with the object, "-" for standard input';

/** `list [KIND]`. */
export class ListCommand extends ApiCommand {
  static override paths = [["list"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "List the objects with their versions",
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
      schema: answers.objectListSchema,
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

/** A command on one object. */
abstract class ObjectCommand extends ApiCommand {
  object = clipanion.Option.String({ name: "KIND/NAME" });

  protected objectPath(): neverthrow.Result<string, CtlError> {
    const [kind, name, ...rest] = this.object.split("/");
    if (!kind || !name || rest.length > 0) {
      const message = `"${this.object}": name an object as KIND/NAME, such ` +
        "as cost-share/availability-split";
      return neverthrow.err(usageError(message));
    }
    const parts = [kind, name].map(encodeURIComponent);
    return neverthrow.ok(`/v1/objects/${parts.join("/")}`);
  }

  protected async fetchObject(
    path: string,
  ): Promise<
    neverthrow.Result<z.infer<typeof answers.draftSchema>, CtlError>
  > {
    return await this.call({
      method: "GET",
      path,
      schema: answers.draftSchema,
    });
  }
}

/** `get KIND/NAME`. */
export class GetCommand extends ObjectCommand {
  static override paths = [["get"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Print an object; its version goes to standard error",
    examples: [["Get a split", "guavatidectl get cost-share/split"]],
  });

  protected override async run(): CommandResult {
    const path = this.objectPath();
    if (path.isErr()) return neverthrow.err(path.error);
    const read = await this.fetchObject(path.value);
    return read.map((json) => {
      // Kept off standard output, so that it can be saved, edited and sent
      // back as it is.
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
    description: "Create an object that is not there yet",
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
      schema: answers.draftSchema,
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
    description: "Edit an object on the version you have seen",
    details: "With --set, the fields are set on the object as it stands; " +
      "name --version as well to be sure that it is the one you have seen. " +
      "Exit code 3 says that another operator was faster.",
    examples: [[
      "Set one field",
      "guavatidectl edit service/availability --set timeoutMs=1500",
    ]],
  });

  file = clipanion.Option.String("--file", { description: FILE_DESCRIPTION });
  set = clipanion.Option.Array("--set", [], {
    description: "FIELD=JSON, may be repeated",
  });
  version = clipanion.Option.String("--version", {
    description: "Version that the edit is made on",
  });

  protected override async run(): CommandResult {
    const path = this.objectPath();
    if (path.isErr()) return neverthrow.err(path.error);
    const edit = await this.#prepare(path.value);
    if (edit.isErr()) return neverthrow.err(edit.error);
    const edited = await this.call({
      method: "PUT",
      path: path.value,
      body: edit.value.body,
      ifMatch: edit.value.version,
      schema: answers.draftSchema,
    });
    return edited.map((json) => ({
      json,
      text: `${this.object} edited, version ${json.version}\n`,
    }));
  }

  async #prepare(
    path: string,
  ): Promise<neverthrow.Result<{ body: unknown; version: string }, CtlError>> {
    if ((this.file === undefined) === (this.set.length === 0)) {
      return neverthrow.err(usageError("Use either --file or --set"));
    }
    if (this.file !== undefined) {
      const { version } = this;
      if (version === undefined) {
        const message = "Name --version, as `get` has printed it";
        return neverthrow.err(usageError(message));
      }
      return readJsonFile(this.file).map((body) => ({ body, version }));
    }
    const fields = parseFields(this.set);
    if (fields.isErr()) return neverthrow.err(fields.error);
    const read = await this.fetchObject(path);
    return read.map(({ object, version }) => ({
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
    description: "Delete an object on the version you have seen",
  });

  version = clipanion.Option.String("--version", {
    required: true,
    description: "Version that `get` has printed",
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

function parseFields(
  pairs: readonly string[],
): neverthrow.Result<Record<string, unknown>, CtlError> {
  const fields: Record<string, unknown> = {};
  for (const pair of pairs) {
    const at = pair.indexOf("=");
    try {
      if (at < 1) throw new Error("no field name");
      fields[pair.slice(0, at)] = JSON.parse(pair.slice(at + 1));
    } catch {
      const message = `--set "${pair}": write FIELD=JSON, with texts in ` +
        "double quotes";
      return neverthrow.err(usageError(message));
    }
  }
  return neverthrow.ok(fields);
}
