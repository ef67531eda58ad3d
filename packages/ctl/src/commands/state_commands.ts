/** Commands that show what is in force: vms, servers, owners, moves, audit. */
import * as clipanion from "clipanion";
import * as answers from "../api_schemas.ts";
import { formatTable } from "../table.ts";
import { ApiCommand, type CommandResult } from "./api_command.ts";

const CATEGORY = "State";

/** `vms`. */
export class VmsCommand extends ApiCommand {
  static override paths = [["vms"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Show the revision that each entry VM has in force",
  });

  protected override async run(): CommandResult {
    const read = await this.call({
      method: "GET",
      path: "/v1/vms",
      schema: answers.vmsSchema,
    });
    return read.map((json) => ({
      json,
      text: formatTable(
        ["VM", "REVISION", "HEARD MS AGO"],
        json.vms.map(({ vm, revision, ageMs }) => [vm, revision, ageMs]),
      ),
    }));
  }
}

/** `servers`. */
export class ServersCommand extends ApiCommand {
  static override paths = [["servers"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Show the backend servers and their states",
  });

  protected override async run(): CommandResult {
    const read = await this.call({
      method: "GET",
      path: "/v1/servers",
      schema: answers.serversSchema,
    });
    return read.map((json) => ({
      json,
      text: formatTable(
        ["SERVER", "SERVICE", "ZONE", "ADDRESS", "STATE", "DRAINED BY"],
        json.servers.map((each) => [
          each.server,
          each.service,
          each.zone,
          `${each.host}:${each.port}`,
          each.state,
          each.drain?.operator,
        ]),
      ),
    }));
  }
}

/** `owners SERVICE [--key KEY]`. */
export class OwnersCommand extends ApiCommand {
  static override paths = [["owners"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Show which server owns which slice, or one key",
    examples: [["One key", "guavatidectl owners availability --key booth-7"]],
  });

  service = clipanion.Option.String({ name: "service" });
  key = clipanion.Option.String("--key", { description: "Only this key" });

  protected override run(): CommandResult {
    const path = `/v1/owners/${encodeURIComponent(this.service)}`;
    return this.key === undefined
      ? this.#slices(path)
      : this.#owner(`${path}?${new URLSearchParams({ key: this.key })}`);
  }

  async #slices(path: string): CommandResult {
    const schema = answers.slicesSchema;
    const read = await this.call({ method: "GET", path, schema });
    return read.map((json) => ({
      json,
      text: `revision ${json.revision}\n` + formatTable(
        ["SLICE", "STATE", "SERVER", "FENCE", "FROM"],
        json.slices.map((slice) => [
          slice.id,
          slice.state,
          slice.server,
          slice.fence,
          slice.from.join(","),
        ]),
      ),
    }));
  }

  async #owner(path: string): CommandResult {
    const schema = answers.keyOwnerSchema;
    const read = await this.call({ method: "GET", path, schema });
    return read.map((json) => {
      const { kind, server, slice, fence } = json.owner;
      return {
        json,
        text: formatTable(
          ["KEY", "STATE", "SERVER", "SLICE", "FENCE"],
          [[json.key, kind, server, slice, fence]],
        ),
      };
    });
  }
}

/** A command that prints the newest lines of a journal. */
abstract class JournalCommand extends ApiCommand {
  limit = clipanion.Option.String("--limit", "100", {
    description: "Number of lines (100)",
  });

  protected limitQuery(): string {
    return `?${new URLSearchParams({ limit: this.limit })}`;
  }
}

/** `moves`. */
export class MovesCommand extends JournalCommand {
  static override paths = [["moves"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Show moves of slices and their reasons, newest first",
  });

  protected override async run(): CommandResult {
    const read = await this.call({
      method: "GET",
      path: `/v1/moves${this.limitQuery()}`,
      schema: answers.handoverStepsSchema,
    });
    return read.map((json) => ({
      json,
      text: formatTable(
        ["AT", "SERVICE", "REVISION", "SLICE", "STEP", "FROM", "TO", "REASON"],
        json.lines.map((line) => [
          line.at,
          line.service,
          line.revision,
          line.slice,
          line.step,
          line.from.join(","),
          line.to,
          line.reason,
        ]),
      ),
    }));
  }
}

/** `audit`. */
export class AuditCommand extends JournalCommand {
  static override paths = [["audit"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Show changes by operators, newest first",
  });

  protected override async run(): CommandResult {
    const read = await this.call({
      method: "GET",
      path: `/v1/audit${this.limitQuery()}`,
      schema: answers.auditLogSchema,
    });
    return read.map((json) => ({
      json,
      text: formatTable(
        ["AT", "OPERATOR", "ACTION", "OBJECT", "RESULT", "DETAIL", "VM"],
        json.lines.map((line) => [
          line.at,
          line.operator,
          line.action,
          line.object,
          line.result,
          line.detail,
          line.vm,
        ]),
      ),
    }));
  }
}
