import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import { LifeCycle } from "../utils/life_cycle.ts";
import { createLog } from "../utils/log.ts";
import { ServerDirectory } from "./server_directory.ts";

const SERVER = "server-1" as contracts.ServerId;

const LISTED = contracts.listedVmSchema.parse({
  kind: "backend",
  server: SERVER,
  service: "availability",
  zone: "zone-1",
  host: "127.0.0.1",
  port: 7000,
  state: "live",
});

// A server drains, ends and is started again under its id. No VM that does not
// send it orders is told, and would have kept its keys waiting for good.
test("should give a server work again when its word to drain is old", async (t) => {
  let nowMs = 0;
  const directory = new ServerDirectory({
    vmList: { fetch: () => neverthrow.okAsync({ vms: [LISTED] }) },
    pollIntervalMs: 5,
    clock: { nowMs: () => nowMs },
    log: createLog({ format: "text", level: "silent" }).part("member"),
  });
  const lifeCycle = new LifeCycle();
  t.after(() => lifeCycle.stop());
  await directory.start(lifeCycle);
  directory.noteDraining(SERVER);
  expect(directory.server(SERVER)?.state).toEqual("draining");
  nowMs = 10_000;
  directory.noteDraining(SERVER);
  nowMs = 20_000;
  await waitForNextList(directory);
  expect(directory.server(SERVER)?.state).toEqual("draining");
  nowMs = 30_000;
  await waitForNextList(directory);
  expect(directory.server(SERVER)?.state).toEqual("live");
});

function waitForNextList(directory: ServerDirectory): Promise<void> {
  return new Promise((resolve) => directory.onVmList(() => resolve()));
}
