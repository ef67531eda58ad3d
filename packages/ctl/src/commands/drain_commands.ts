/** Commands that drain servers and return them to service. */
import * as clipanion from "clipanion";
import * as answers from "../api_schemas.ts";
import { formatTable } from "../table.ts";
import { ApiCommand, type CommandResult } from "./api_command.ts";

const CATEGORY = "Servers";

/** `drains`. */
export class DrainsCommand extends ApiCommand {
  static override paths = [["drains"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "List the servers that operators drain",
  });

  protected override async run(): CommandResult {
    const read = await this.call({
      method: "GET",
      path: "/v1/drains",
      schema: answers.drainsSchema,
    });
    return read.map((json) => ({
      json,
      text: formatTable(
        ["SERVER", "BY", "AT", "REASON"],
        json.drains.map((drain) => [
          drain.server,
          drain.operator,
          drain.at,
          drain.reason,
        ]),
      ),
    }));
  }
}

/** `drain SERVER [--reason TEXT]`. */
export class DrainCommand extends ApiCommand {
  static override paths = [["drain"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Give a server no new work until it is returned",
    examples: [[
      "Drain a server",
      'guavatidectl drain availability-3 --reason "new disk"',
    ]],
  });

  server = clipanion.Option.String({ name: "server" });
  reason = clipanion.Option.String("--reason", "", {
    description: "Why, for the audit",
  });

  protected override async run(): CommandResult {
    const drained = await this.call({
      method: "PUT",
      path: `/v1/drains/${encodeURIComponent(this.server)}`,
      body: { reason: this.reason },
      schema: answers.drainsSchema,
    });
    return drained.map((json) => ({
      json,
      text: `${this.server} gets no new work\n`,
    }));
  }
}

/** `return SERVER`. */
export class ReturnCommand extends ApiCommand {
  static override paths = [["return"]];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: "Return a drained server to service",
  });

  server = clipanion.Option.String({ name: "server" });

  protected override async run(): CommandResult {
    const returned = await this.call({
      method: "DELETE",
      path: `/v1/drains/${encodeURIComponent(this.server)}`,
      schema: answers.drainsSchema,
    });
    return returned.map((json) => ({
      json,
      text: `${this.server} may get work again\n`,
    }));
  }
}
