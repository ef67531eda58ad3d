/** Commands that analyze the entry VMs' request logs from standard input. */
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
    description: "Print the log lines on standard input that explain a request",
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
        `guavatidectl: no line has request "${this.id}": pass the logs of ` +
          "all entry VMs of that time; successful requests are sampled\n",
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
    description: "Count failed requests by second, route and reason",
    examples: [[
      "Count failed requests in the logs of all entry VMs",
      "cat vm-*.log | guavatidectl losses",
    ]],
  });

  override async execute(): Promise<number> {
    const { groups, omittedCount } = summarizeFailures(
      await readAll(this.context.stdin),
    );
    this.context.stdout.write(formatTable(
      ["SECOND", "COUNT", "ROUTE", "STATUS", "MEAN MS", "REASON"],
      groups.map(({ second, count, route, status, meanTookMs, reason }) => [
        second,
        count,
        route,
        status,
        Math.round(meanTookMs),
        reason,
      ]),
    ));
    if (omittedCount > 0) {
      this.context.stdout.write(
        `${omittedCount} more ended badly without a line of their own\n`,
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
