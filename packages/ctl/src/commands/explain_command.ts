/** Tells from log lines what became of one request. */
import * as clipanion from "clipanion";
import { EXIT_CODES } from "../ctl_error.ts";
import { historyOf } from "../request_history.ts";

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
    const chunks: Uint8Array[] = [];
    for await (const chunk of this.context.stdin) {
      chunks.push(Buffer.from(chunk as Uint8Array));
    }
    const lines = historyOf(this.id, Buffer.concat(chunks).toString());
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
