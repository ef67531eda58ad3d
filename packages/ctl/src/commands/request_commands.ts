/** Tell from log lines what became of requests. */
import * as clipanion from "clipanion";
import { EXIT_CODES } from "../ctl_error.ts";
import { explainRequest } from "../request_explanation.ts";
import { summarizeFailures } from "../request_failures.ts";
import { formatTable } from "../table.ts";

/** `explain ID < logs`. */
export class ExplainCommand extends clipanion.Command {
  static override paths = [["explain"]];
  static override usage = clipanion.Command.Usage({
    category: "Requests",
    description: "Print what the log lines on standard input say of a request",
    examples: [[
      "Explain a request from the logs of all entry VMs",
      "cat vm-*.log | guavatidectl explain 9c41d07be2a35f68",
    ]],
  });

  id = clipanion.Option.String({ name: "id" });

  override async execute(): Promise<number> {
    const lines = explainRequest(this.id, await readAll(this.context.stdin));
    if (lines.length === 0) {
      this.context.stderr.write(
        `guavatidectl: no line names request "${this.id}"; give the logs of ` +
          "all entry VMs of that time; ordinary answers are sampled\n",
      );
      return EXIT_CODES.unknown;
    }
    for (const { text } of lines) this.context.stdout.write(`${text}\n`);
    return 0;
  }
}

/** `losses < logs`. */
export class LossesCommand extends clipanion.Command {
  static override paths = [["losses"]];
  static override usage = clipanion.Command.Usage({
    category: "Requests",
    description: "Count requests that ended badly, by second, route and reason",
    examples: [[
      "Say what the logs of all entry VMs tell of lost requests",
      "cat vm-*.log | guavatidectl losses",
    ]],
  });

  override async execute(): Promise<number> {
    const { groups: losses, omittedCount: unlisted } = summarizeFailures(
      await readAll(this.context.stdin),
    );
    this.context.stdout.write(formatTable(
      ["SECOND", "COUNT", "ROUTE", "STATUS", "MEAN MS", "REASON"],
      losses.map(({ second, count, route, status, meanTookMs, reason }) => [
        second,
        count,
        route,
        status,
        Math.round(meanTookMs),
        reason,
      ]),
    ));
    if (unlisted > 0) {
      this.context.stdout.write(
        `${unlisted} more ended badly without a line of their own\n`,
      );
    }
    return 0;
  }
}

async function readAll(stream: AsyncIterable<unknown>): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of stream) {
    chunks.push(Buffer.from(chunk as Uint8Array));
  }
  return Buffer.concat(chunks).toString();
}
