/** Commands that show the current state: vms, servers, owners, moves, audit. */
import * as clipanion from "clipanion";
import * as schemas from "../api_schemas.ts";
import { formatTable } from "../table.ts";
import { ApiCommand, type CommandResult } from "./api_command.ts";

const CATEGORY = "State";

/** `vms`. */
export class VmsCommand extends ApiCommand {
  static override paths = [["vms"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Show the revision that each entry VM applies",
  });

  protected override async run(): CommandResult {
    const response = await this.call({
      method: "GET",
      path: "/v1/vms",
      schema: schemas.vmsSchema,
    });
    return response.map((json) => ({
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
    const response = await this.call({
      method: "GET",
      path: "/v1/servers",
      schema: schemas.serversSchema,
    });
    return response.map((json) => ({
      json,
      text: formatTable(
        ["SERVER", "SERVICE", "ZONE", "ADDRESS", "STATE", "DRAINED BY"],
        json.servers.map((server) => [
          server.server,
          server.service,
          server.zone,
          `${server.host}:${server.port}`,
          server.state,
          server.drain?.operator,
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
    description: "Show the owner of each slice of a service, or of one key",
    examples: [["One key", "guavatidectl owners availability --key booth-7"]],
  });

  service = clipanion.Option.String({ name: "service" });
  key = clipanion.Option.String("--key", {
    description: "Show only this key's owner",
  });

  protected override run(): CommandResult {
    const path = `/v1/owners/${encodeURIComponent(this.service)}`;
    return this.key === undefined
      ? this.#listSlices(path)
      : this.#showKeyOwner(`${path}?${new URLSearchParams({ key: this.key })}`);
  }

  async #listSlices(path: string): CommandResult {
    const schema = schemas.slicesSchema;
    const response = await this.call({ method: "GET", path, schema });
    return response.map((json) => ({
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

  async #showKeyOwner(path: string): CommandResult {
    const schema = schemas.keyOwnerSchema;
    const response = await this.call({ method: "GET", path, schema });
    return response.map((json) => {
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

/** A command that prints the newest entries of a journal. */
abstract class JournalCommand extends ApiCommand {
  limit = clipanion.Option.String("--limit", "100", {
    description: "Number of entries (default: 100)",
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
    description: "Show handovers of slices and their reasons, newest first",
  });

  protected override async run(): CommandResult {
    const response = await this.call({
      method: "GET",
      path: `/v1/moves${this.limitQuery()}`,
      schema: schemas.handoverStepsSchema,
    });
    return response.map((json) => ({
      json,
      text: formatTable(
        ["AT", "SERVICE", "REVISION", "SLICE", "STEP", "FROM", "TO", "REASON"],
        json.lines.map((entry) => [
          entry.at,
          entry.service,
          entry.revision,
          entry.slice,
          entry.step,
          entry.from.join(","),
          entry.to,
          entry.reason,
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
    description: "Show the audit log of operators' changes, newest first",
  });

  protected override async run(): CommandResult {
    const response = await this.call({
      method: "GET",
      path: `/v1/audit${this.limitQuery()}`,
      schema: schemas.auditLogSchema,
    });
    return response.map((json) => ({
      json,
      text: formatTable(
        ["AT", "OPERATOR", "ACTION", "OBJECT", "RESULT", "DETAIL", "VM"],
        json.lines.map((entry) => [
          entry.at,
          entry.operator,
          entry.action,
          entry.object,
          entry.result,
          entry.detail,
          entry.vm,
        ]),
      ),
    }));
  }
}
