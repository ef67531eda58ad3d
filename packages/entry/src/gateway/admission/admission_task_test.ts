import type * as contracts from "@guavatide/contracts";
import * as ownership from "@guavatide/decisions/ownership/mod";
import { expect } from "earl";
import { test } from "node:test";
import { LabelledCounts } from "../../metrics/labelled_counts.ts";
import { AdmissionTask } from "./admission_task.ts";
import { SharedAdmissionTask } from "./shared_admission_task.ts";

const SERVICE = "desk" as contracts.ServiceId;
const CAPACITY = 40;
const hasher = await ownership.KeyHasher.create();
const log = { info() {}, warn() {}, error() {}, debug() {} } as never;

/** Tasks of several VMs whose messages arrive at once. */
class Fixture {
  readonly sent: string[] = [];
  readonly live = ["vm1", "vm2"] as contracts.VmId[];
  readonly #handlers = new Map<string, (params: unknown) => void>();
  readonly vms: { task: AdmissionTask; shared: SharedAdmissionTask }[];
  isActive = true;
  nowMs = 1_000;

  constructor() {
    this.vms = this.live.map((vm) => this.#add(vm));
  }

  #deliver(method: string, params: object, to: readonly string[]): void {
    const text = JSON.stringify(params);
    for (const vm of to) {
      this.sent.push(`${method} to ${vm}`);
      if (!this.live.includes(vm as contracts.VmId)) continue;
      this.#handlers.get(`${vm} ${method}`)!(JSON.parse(text));
    }
  }

  #add(vm: contracts.VmId) {
    const vmCount = () => this.live.length;
    const common = {
      vm,
      isActive: () => this.isActive,
      clock: { nowMs: () => this.nowMs },
      log,
      gossip: {
        get vmCount() {
          return vmCount();
        },
        liveVmsIn: () => [...this.live],
        roleWeights: new Map(),
        onGuarded: <Params>(
          method: string,
          isParams: (params: unknown) => params is Params,
          handler: (params: Params) => void,
        ) => {
          this.#handlers.set(`${vm} ${method}`, (params) => {
            expect(isParams(params)).toEqual(true);
            handler(params as Params);
          });
        },
        send: (
          method: string,
          params: object,
          vms?: readonly contracts.VmId[],
        ) => this.#deliver(method, params, vms!),
        broadcast: (method: string, params: object) =>
          this.#deliver(method, params, this.live.filter((to) => to !== vm)),
      },
    };
    const shared = new SharedAdmissionTask({
      ...common,
      hasher,
      capacityPerSecond: () => CAPACITY,
      isLeaving: () => false,
    });
    const task = new AdmissionTask({
      ...common,
      shared,
      hash: (text) => hasher.hash(text),
      unixMs: () => this.nowMs,
      random: { next: () => 0.9 },
      counts: new LabelledCounts(),
    });
    task.sharesOf(SERVICE, () => 3);
    return { task, shared };
  }
}

function ask(task: AdmissionTask, caller: string, requests: number): void {
  const request = { caller, route: "filing" };
  for (let index = 0; index < requests; index++) {
    const judged = task.judge(SERVICE, request)!;
    const limits = {
      answerByMs: 2_000,
      serviceMs: 100,
      reservedAfterMs: undefined,
    };
    task.refuse(SERVICE, { ...request, ...limits, judged });
  }
}

/** Guards against callers that repeat their requests at other VMs. */
test("should know of a caller that asks a peer too often", () => {
  const { vms: [first, second] } = new Fixture() as Fixture & {
    vms: [Fixture["vms"][0], Fixture["vms"][0]];
  };
  ask(first.task, "a", 60);
  for (let caller = 0; caller < 20; caller++) {
    first.task.judge(SERVICE, { caller: `b${caller}`, route: "filing" });
  }
  first.task.sendCounts();
  second.task.recordWait(SERVICE);
  const judged = second.task.judge(SERVICE, { caller: "a", route: "filing" });
  expect(judged!.standing).toEqual("above-share");
});

/** Guards against new behaviour in deployments without bulk routes. */
test("should do nothing without bulk routes", () => {
  const fixture = new Fixture();
  fixture.isActive = false;
  const [{ task, shared }] = fixture.vms as [Fixture["vms"][0]];
  task.recordWait(SERVICE);
  const request = { caller: "a", route: "filing" };
  expect(task.judge(SERVICE, request)).toEqual(undefined);
  task.sendCounts();
  shared.sendReports();
  expect(fixture.sent).toEqual([]);
});

/** Guards against VMs that depend on the one that aggregates. */
test("should use an equal share, then the next VM, when one fails", () => {
  const fixture = new Fixture();
  const report = () => {
    for (const [index, { task, shared }] of fixture.vms.entries()) {
      if (!fixture.live.includes(`vm${index + 1}` as contracts.VmId)) continue;
      for (let caller = 0; caller < (index === 0 ? 1 : 3); caller++) {
        ask(task, `${index} ${caller}`, 1);
      }
      shared.sendReports();
    }
    fixture.nowMs += 200;
  };
  const sharesOf = () =>
    fixture.vms.map(({ shared }) => shared.share(SERVICE).perSecond);
  for (let turn = 0; turn < 20; turn++) report();
  const [small, large] = sharesOf() as [number, number];
  expect(large > 1.8 * small).toEqual(true);
  // No message arrives any more.
  fixture.nowMs += 1_000;
  expect(sharesOf()).toEqual([CAPACITY / 2, CAPACITY / 2]);
  const receiver = fixture.sent.find((line) => line.startsWith("admissions "))!;
  const failed = receiver.slice(-3) as contracts.VmId;
  fixture.live.splice(fixture.live.indexOf(failed), 1);
  const survivor = fixture.vms[failed === "vm1" ? 1 : 0]!;
  report();
  report();
  expect(survivor.shared.share(SERVICE).waiting).toEqual(3);
});
