import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import { GivenUpRequests } from "./given_up_requests.ts";

const SERVER = {
  server: "s1" as contracts.ServerId,
  bornMs: 1,
  host: "127.0.0.1",
  port: 1,
};
/** Longer than the delay before the first check. */
const CHECKED_AFTER_MS = 500;

/** Guards against a process that ends when the check of a server fails. */
test("should log a check that fails, and watch the server again later", async () => {
  const failed: unknown[] = [];
  let checks = 0;
  const log = {
    debug() {},
    info() {},
    warn() {},
    error: (_message: string, fields?: { readonly name?: unknown }) =>
      void failed.push(fields?.name),
  };
  const requests = new GivenUpRequests<string, typeof SERVER>({
    log,
    endCheck: {
      check: () => {
        checks++;
        return Promise.reject(new RangeError("Too deep"));
      },
    },
    unixMs: () => Date.now(),
    onEnded: () => {},
  });
  // Its own timers don't keep the process.
  for (let round = 1; round <= 2; round++) {
    requests.note("r", SERVER);
    await timers.setTimeout(CHECKED_AFTER_MS);
    expect(checks).toEqual(round);
  }
  expect(failed.length >= 1).toEqual(true);
});
