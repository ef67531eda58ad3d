import { expect } from "earl";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import { test } from "node:test";
import { createNonBlockingLog } from "./non_blocking_log.ts";

function withLogFile(
  run: (fd: number, sentences: () => string[]) => Promise<void> | void,
) {
  return async () => {
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), "log-"));
    const file = path.join(directory, "lines");
    const fd = fs.openSync(file, "a");
    try {
      await run(fd, () =>
        fs.readFileSync(file, "utf8").split("\n").slice(0, -1)
          .map((line) => JSON.parse(line).sentence));
    } finally {
      fs.closeSync(fd);
      fs.rmSync(directory, { recursive: true });
    }
  };
}

/** Guards against last lines that are lost with a process that exits. */
test(
  "should write a line at once, after those that wait",
  withLogFile(async (fd, sentences) => {
    const log = createNonBlockingLog({ level: "info", fd });
    log.part("main").info("First.");
    await log.flush(1_000);
    log.syncPart("main").error("Last.", { reason: "stop" });
    expect(sentences()).toEqual(["First.", "Last."]);
  }),
);

/** Guards against lines that are lost although the end of the log was awaited. */
test(
  "should have written all lines when the log is flushed",
  withLogFile(async (fd, sentences) => {
    const log = createNonBlockingLog({ level: "info", fd });
    const expected = Array.from({ length: 200 }, (_, line) => `Line ${line}.`);
    for (const sentence of expected) log.part("main").info(sentence);
    await log.flush(5_000);
    expect(sentences()).toEqual(expected);
  }),
);

test(
  "should write no line below the level of the log",
  withLogFile((fd, sentences) => {
    const log = createNonBlockingLog({ level: "warn", fd });
    log.syncPart("main").info("Left out.");
    log.syncPart("main").warn("Written.");
    expect(sentences()).toEqual(["Written."]);
  }),
);
