import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as admission from "./mod.ts";

const SERVER: admission.SlotServer = {
  service: "keyed" as contracts.ServiceId,
  server: "s1" as contracts.ServerId,
  bornMs: 1,
  slots: 2,
};
const COORDINATOR = "coordinator" as contracts.VmId;
const OTHER_COORDINATOR = "other" as contracts.VmId;

class Request implements admission.WaitingRequest {
  readonly key = 7;
  readonly bodyBytes = 0;
  readonly tried = new Set<contracts.ServerId>();
  readonly route: admission.PrioritizedRoute;
  readonly targetMs: number;
  readonly answerByMs: number;
  refusal: admission.Refusal | undefined;

  constructor(nowMs: number, priority = 1, timeoutMs = 1_000) {
    this.route = { name: `r${priority}`, priority, targetLatencyMs: 300 };
    this.targetMs = nowMs + 300;
    this.answerByMs = nowMs + timeoutMs;
  }

  placed(): void {}

  refused(refusal: admission.Refusal): void {
    this.refusal = refusal;
  }
}

/** Entry VMs and coordinators; the test decides when messages are delivered. */
class Fixture {
  nowMs = 1_000;
  readonly coordinators = new Map<contracts.VmId, admission.SlotCoordinator>();
  readonly replies:
    (admission.SlotDecision & { coordinator: contracts.VmId })[] = [];
  readonly vms = new Map<contracts.VmId, admission.SlotClient>();
  /** Coordinators that receive no messages. */
  readonly unreachable = new Set<contracts.VmId>();
  /** Coordinators reported as unresponsive, in order. */
  readonly unresponsive: contracts.VmId[] = [];
  /** Number of replies to lose next. */
  repliesToLose = 0;
  readonly stallReports: admission.StallReport[] = [];
  /** Whether another server can take over the server's keys. */
  isReplaceable = false;

  constructor(vmCount: number) {
    for (const coordinator of [COORDINATOR, OTHER_COORDINATOR]) {
      this.coordinators.set(
        coordinator,
        new admission.SlotCoordinator({
          zone: "z1" as contracts.ZoneId,
          random: { next: () => 0.5 },
          onDecision: (decision) =>
            this.replies.push({ ...decision, coordinator }),
          isReplaceable: () => this.isReplaceable,
          onStallRefusal: (report) => this.stallReports.push(report),
        }),
      );
    }
    for (let index = 0; index < vmCount; index++) {
      const vm = `vm${index}` as contracts.VmId;
      this.vms.set(
        vm,
        new admission.SlotClient({
          vm,
          coordinatorOf: (_server, excluded) =>
            [COORDINATOR, OTHER_COORDINATOR].find((coordinator) =>
              !excluded.has(coordinator)
            ),
          onMessage: () => {},
          onGranted: () => {},
          onRefused: (request, refusal) => request.refused(refusal),
          onUnresponsive: (coordinator) => this.unresponsive.push(coordinator),
        }),
      );
    }
  }

  vm(index: number): admission.SlotClient {
    return this.vms.get(`vm${index}` as contracts.VmId)!;
  }

  /** Delivers all messages, then the replies to them. */
  deliver(): void {
    for (const [vm, client] of this.vms) {
      for (const [name, message] of client.drainMessages()) {
        if (this.unreachable.has(name)) continue;
        const coordinator = this.coordinators.get(name)!;
        for (const { id, tookMs } of message.ended) {
          coordinator.release(vm, id, { tookMs, nowMs: this.nowMs });
        }
        for (const it of message.requests) coordinator.request(it, this.nowMs);
        if (message.held !== undefined) {
          coordinator.reconcileHeld(vm, message.held, this.nowMs);
        }
      }
    }
    for (const { vm, coordinator, ...reply } of this.replies.splice(0)) {
      if (this.repliesToLose > 0) {
        this.repliesToLose--;
        continue;
      }
      this.vms.get(vm)!.handleReplies(coordinator, [reply], this.nowMs);
    }
  }

  tryAcquire(index: number, request: Request): boolean {
    const { nowMs } = this;
    return this.vm(index).tryAcquire(request, SERVER, {
      ownRequests: 0,
      nowMs,
    });
  }

  /** The first three VMs send one request each, which uses all slots. */
  useAllSlots(timeoutMs = 1_000): ((tookMs: number | undefined) => void)[] {
    return [0, 1, 2].map((index) => {
      const request = new Request(this.nowMs, 1, timeoutMs);
      this.tryAcquire(index, request);
      this.deliver();
      return this.vm(index).markInUse(request);
    });
  }

  /** Whether a new request of a VM is granted a slot at once. */
  isNextSent(index: number): boolean {
    const request = new Request(this.nowMs);
    this.tryAcquire(index, request);
    this.deliver();
    const isSent = this.tryAcquire(index, request);
    this.vm(index).cancel(request);
    this.deliver();
    return isSent;
  }

  /** Advances time, with ticks and sweeps every 25 ms. */
  advance(ms: number): void {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs += 25;
      for (const client of this.vms.values()) client.tick(this.nowMs);
      for (const coordinator of this.coordinators.values()) {
        coordinator.sweep(this.nowMs);
      }
      this.deliver();
    }
  }
}

/** Guards against VMs that together overload the server of a hot key. */
test("should grant no more than the slots and one prefetched request", () => {
  const fixture = new Fixture(80);
  const requests = Array.from({ length: 80 }, () => new Request(1_000));
  for (const [index, request] of requests.entries()) {
    expect(fixture.tryAcquire(index, request)).toEqual(false);
  }
  fixture.deliver();
  const sent = requests.filter((request, index) =>
    fixture.tryAcquire(index, request)
  );
  expect(sent.length).toEqual(SERVER.slots + 1);
  // Of the rest, those that can't be answered in time are refused at once.
  const refused = requests.filter(({ refusal }) => refusal !== undefined);
  expect(refused.length > 60).toEqual(true);
});

test("should grant a freed slot to the most urgent request of any VM", () => {
  const fixture = new Fixture(6);
  const first = [0, 1, 2].map(() => new Request(1_000));
  for (const [index, it] of first.entries()) fixture.tryAcquire(index, it);
  const patient = new Request(1_000, 2);
  const urgent = new Request(1_000, 1);
  fixture.tryAcquire(3, patient);
  fixture.tryAcquire(4, urgent);
  fixture.deliver();
  const end = fixture.vm(0).markInUse(first[0]!);
  fixture.nowMs += 90;
  end(90);
  fixture.deliver();
  expect(fixture.tryAcquire(4, urgent)).toEqual(true);
  expect(fixture.tryAcquire(3, patient)).toEqual(false);
});

/** Guards against a slot that stays idle because the datagram was lost. */
test("should recover a lost reply within 100 ms", () => {
  const fixture = new Fixture(1);
  const request = new Request(1_000);
  fixture.tryAcquire(0, request);
  fixture.repliesToLose = 1;
  fixture.deliver();
  expect(fixture.tryAcquire(0, request)).toEqual(false);
  fixture.advance(100);
  expect(fixture.tryAcquire(0, request)).toEqual(true);
});

/** Guards against requests that wait for a failed coordinator. */
test("should fail over to another coordinator when one is unresponsive", () => {
  const fixture = new Fixture(1);
  const request = new Request(1_000);
  fixture.unreachable.add(COORDINATOR);
  fixture.tryAcquire(0, request);
  fixture.advance(250);
  fixture.tryAcquire(0, request);
  fixture.deliver();
  expect(fixture.tryAcquire(0, request)).toEqual(true);
  expect(fixture.unresponsive).toEqual([COORDINATOR]);
});

test("should send a VM's only request when no coordinator responds", () => {
  const fixture = new Fixture(1);
  const request = new Request(1_000);
  fixture.unreachable.add(COORDINATOR).add(OTHER_COORDINATOR);
  fixture.tryAcquire(0, request);
  fixture.advance(250);
  fixture.tryAcquire(0, request);
  fixture.advance(250);
  expect(fixture.tryAcquire(0, request)).toEqual(true);
});

/** Guards against slots that stay in use after their VM has failed. */
test("should free the slots of a failed VM", () => {
  const fixture = new Fixture(4);
  fixture.useAllSlots();
  for (const index of [0, 1, 2]) {
    fixture.vms.delete(`vm${index}` as contracts.VmId);
  }
  fixture.advance(2_100);
  const request = new Request(fixture.nowMs);
  fixture.tryAcquire(3, request);
  fixture.deliver();
  expect(fixture.tryAcquire(3, request)).toEqual(true);
});

/** Guards against slots granted twice by a restarted coordinator. */
test("should learn from the VMs which slots are in use", () => {
  const fixture = new Fixture(4);
  fixture.useAllSlots();
  fixture.coordinators.set(
    COORDINATOR,
    new admission.SlotCoordinator({
      zone: "z1" as contracts.ZoneId,
      random: { next: () => 0.5 },
      onDecision: (decision) =>
        fixture.replies.push({ ...decision, coordinator: COORDINATOR }),
    }),
  );
  fixture.advance(525);
  const request = new Request(fixture.nowMs);
  fixture.tryAcquire(3, request);
  fixture.deliver();
  expect(fixture.tryAcquire(3, request)).toEqual(false);
});

test("should grant the slot of a cancelled request to the next", () => {
  const fixture = new Fixture(4);
  const requests = [0, 1, 2, 3].map(() => new Request(1_000));
  for (const [index, request] of requests.entries()) {
    fixture.tryAcquire(index, request);
  }
  fixture.deliver();
  fixture.vm(1).cancel(requests[1]!);
  fixture.deliver();
  expect(fixture.tryAcquire(3, requests[3]!)).toEqual(true);
});

/** Guards against requests held behind others at a server that stands still. */
test("should refuse requests that wait for a server that ends none", () => {
  for (const isReplaceable of [false, true]) {
    const fixture = new Fixture(4);
    fixture.isReplaceable = isReplaceable;
    fixture.useAllSlots();
    const request = new Request(fixture.nowMs, 1, 3_000);
    fixture.tryAcquire(3, request);
    fixture.advance(1_200);
    // Keys of a server that can be replaced soon have another owner.
    expect(request.refusal === undefined).toEqual(isReplaceable);
    const later = new Request(fixture.nowMs, 1, 1_000);
    fixture.tryAcquire(3, later);
    fixture.deliver();
    expect(later.refusal === undefined).toEqual(isReplaceable);
  }
});

/** Guards against callers that take an owner's slots by asking more often. */
test("should grant slots to callers within their share first", () => {
  const granted: number[] = [];
  const coordinator = new admission.SlotCoordinator({
    zone: "z1" as contracts.ZoneId,
    random: { next: () => 0.5 },
    onDecision: ({ kind, id }) => {
      if (kind === "given") granted.push(id);
    },
    hasShares: () => true,
  });
  const vm = "vm1" as contracts.VmId;
  const standings = [
    undefined,
    undefined,
    undefined,
    "above-share",
    undefined,
    "returning",
  ] as const;
  for (const [id, standing] of standings.entries()) {
    const { route } = new Request(1_000);
    const times = { targetMs: 1_300, answerByMs: 2_000 };
    const request = { ...SERVER, ...times, id, vm, route, standing };
    coordinator.request(request, 1_000);
  }
  // Two slots and one request beyond them.
  expect(granted).toEqual([0, 1, 2]);
  for (const id of [0, 1, 2]) coordinator.release(vm, id, { nowMs: 1_050 });
  expect(granted.slice(3)).toEqual([5, 4, 3]);
});

/**
 * Guards against slots that never end: a list of held slots was sent together
 * with the releases of the same slots, and the coordinator adopted them again.
 * A VM without slots sends no list, so they stayed, and every request was
 * refused for good.
 */
test("should free slots that end right after the tick that lists them", () => {
  const fixture = new Fixture(4);
  const ends = fixture.useAllSlots();
  fixture.advance(500);
  fixture.nowMs += 25;
  for (const client of fixture.vms.values()) client.tick(fixture.nowMs);
  for (const end of ends) end(20);
  fixture.deliver();
  expect(fixture.isNextSent(3)).toEqual(true);
});

/** Guards against a server that gets no request again after lost releases. */
test("should free slots whose releases were lost when their VMs have no others", () => {
  const fixture = new Fixture(4);
  const ends = fixture.useAllSlots();
  fixture.advance(600);
  for (const end of ends) end(20);
  for (const client of fixture.vms.values()) client.drainMessages();
  let sentAfterMs = 0;
  // Each VM keeps sending requests, so that none counts as failed.
  while (sentAfterMs < 10_000 && !fixture.isNextSent(sentAfterMs / 100 % 4)) {
    fixture.advance(100);
    sentAfterMs += 100;
  }
  expect(sentAfterMs <= 2_000).toEqual(true);
});

/** Guards against a stalled server's state that outlasts one stuck slot. */
test("should send requests at a server of which one slot never ends", () => {
  const fixture = new Fixture(4);
  const [, ...ends] = fixture.useAllSlots(60_000);
  for (const end of ends) end(20);
  fixture.deliver();
  for (let turn = 0; turn < 10; turn++) {
    fixture.advance(1_000);
    expect(fixture.isNextSent(3)).toEqual(true);
  }
});

/** Guards against a VM that lists a slot for good that it failed to release. */
test("should release a slot that is in use long after its deadline", () => {
  const fixture = new Fixture(4);
  fixture.useAllSlots(1_000);
  fixture.advance(900);
  expect(fixture.isNextSent(3)).toEqual(false);
  fixture.advance(1_200);
  expect(fixture.isNextSent(3)).toEqual(true);
});

/** An owner that was refused everywhere left no trace of who had its slots. */
test("should report who holds the slots of a stalled server", () => {
  const fixture = new Fixture(4);
  fixture.useAllSlots(60_000);
  fixture.advance(600);
  expect(fixture.isNextSent(3)).toEqual(false);
  const [report] = fixture.stallReports;
  expect(report!.server.server).toEqual(SERVER.server);
  expect(report!.unansweredMs).toEqual(600);
  expect(report!.held.map(({ vm }) => vm as string)).toEqual([
    "vm0",
    "vm1",
    "vm2",
  ]);
});
