import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import { expect } from "earl";
import { test } from "node:test";
import { LabelledCounts } from "../../metrics/labelled_counts.ts";
import { AdmissionTask } from "./admission_task.ts";

const SERVICE = "desk" as contracts.ServiceId;

class Fixture {
  readonly sent: { method: string; params: object }[] = [];
  readonly handlers = new Map<string, (params: unknown) => void>();
  readonly counts = new LabelledCounts();
  isActive = true;

  task(name: string): AdmissionTask {
    return new AdmissionTask({
      vm: name as contracts.VmId,
      isActive: () => this.isActive,
      capacityOf: () => 10,
      registry: { servers: () => [] },
      gossip: {
        vmCount: 2,
        onGuarded: (method, isParams, handler) => {
          this.handlers.set(
            `${name} ${method}`,
            (params) => isParams(params) && handler(params),
          );
        },
        broadcast: (method, params) => void this.sent.push({ method, params }),
      },
      hash: (text) => text.length,
      clock: { nowMs: () => 1_000 },
      unixMs: () => 1_000,
      random: { next: () => 0.9 },
      log: { info() {}, warn() {}, error() {}, debug() {} } as never,
      counts: this.counts,
    });
  }
}

function refuse(task: AdmissionTask, judged: admission.JudgedRequest): void {
  task.refuse(SERVICE, {
    caller: "a",
    route: "filing",
    judged,
    answerByMs: 2_000,
    serviceMs: 100,
    minWaitMs: 0,
  });
}

/** Guards against callers that repeat their requests at other VMs. */
test("should know of a caller that asks a peer too often", () => {
  const fixture = new Fixture();
  const [first, second] = [fixture.task("vm1"), fixture.task("vm2")];
  const heavy = { caller: "a", route: "filing" };
  for (let request = 0; request < 60; request++) {
    refuse(first, first.judge(SERVICE, heavy)!);
  }
  for (let caller = 0; caller < 20; caller++) {
    first.judge(SERVICE, { caller: "b".repeat(2 + caller), route: "filing" });
  }
  first.sendCounts();
  const [{ method, params }] = fixture.sent as [typeof fixture.sent[0]];
  second.recordWait(SERVICE);
  fixture.handlers.get(`vm2 ${method}`)!(JSON.parse(JSON.stringify(params)));
  expect(second.judge(SERVICE, heavy)!.standing).toEqual("above-share");
});

/** Guards against new behaviour in deployments without bulk routes. */
test("should do nothing without bulk routes", () => {
  const fixture = new Fixture();
  fixture.isActive = false;
  const task = fixture.task("vm1");
  task.recordWait(SERVICE);
  const request = { caller: "a", route: "filing" };
  expect(task.judge(SERVICE, request)).toEqual(undefined);
  task.sendCounts();
  expect(fixture.sent).toEqual([]);
  expect(task.sharesOf(SERVICE).isActive).toEqual(false);
});
