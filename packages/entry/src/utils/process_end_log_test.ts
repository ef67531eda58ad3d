import { expect } from "earl";
import { test } from "node:test";
import { type LogFields, type Logger } from "./log.ts";
import { ProcessEndLog } from "./process_end_log.ts";

function createEndLog() {
  const lines: { level: string; sentence: string; fields: LogFields }[] = [];
  const write = (level: string) => (sentence: string, fields: LogFields = {}) =>
    lines.push({ level, sentence, fields });
  const syncLog: Logger = {
    debug: write("debug"),
    info: write("info"),
    warn: write("warn"),
    error: write("error"),
  };
  const endLog = new ProcessEndLog({
    syncLog,
    readStatus: () => ({
      pid: 17,
      uptimeMs: 5_000,
      residentMb: 90,
      heapMb: 30,
      heapLimitMb: 224,
    }),
    requestsInFlight: () => 4,
  });
  return { endLog, lines };
}

/** Guards against a process whose log doesn't say why it has ended. */
test("should write the reason of the end with memory and requests", () => {
  const { endLog, lines } = createEndLog();
  endLog.noteReason("uncaught-error");
  endLog.noteReason("stop");
  endLog.write(1);
  expect(lines).toEqual([{
    level: "error",
    sentence: "Entry process ends.",
    fields: {
      reason: "uncaught-error",
      exitStatus: 1,
      pid: 17,
      uptimeMs: 5_000,
      residentMb: 90,
      heapMb: 30,
      heapLimitMb: 224,
      requestsInFlight: 4,
    },
  }]);
});

test("should say that an exit without a reason is unknown", () => {
  const { endLog, lines } = createEndLog();
  endLog.write(0);
  expect(lines.map(({ level, fields }) => [level, fields.reason]))
    .toEqual([["info", "unknown"]]);
});
