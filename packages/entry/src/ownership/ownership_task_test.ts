import * as contracts from "@guavatide/contracts";
import * as ownership from "@guavatide/decisions/ownership/mod";
import { expect } from "earl";
import { test, type TestContext } from "node:test";
import * as timers from "node:timers/promises";
import { FakeStore } from "../configuration/fake_store_test.ts";
import { SystemRandom } from "../utils/clock.ts";
import { createJumpingClock } from "../utils/clock_test_support.ts";
import { LifeCycle } from "../utils/life_cycle.ts";
import { createLog } from "../utils/log.ts";
import { FakeServer } from "./fake_servers_test.ts";
import { NO_LOAD_SOURCE } from "./assignment_controller_task.ts";
import { OwnershipTask } from "./ownership_task.ts";

const SERVICE = "availability" as contracts.ServiceId;
const SELF = {
  vm: "entry-1" as contracts.VmId,
  incarnation: "run-1" as contracts.Incarnation,
};
const OTHER_VMS = ["entry-2", "entry-3"] as contracts.VmId[];
const DEADLINE_MS = 10_000;

const TIMINGS = {
  ...ownership.DEFAULT_OWNERSHIP_SETTINGS,
  storeTimeoutMs: 100,
  dutyLeaseMs: 2_000,
  dutyRenewMs: 500,
  vmGoneGraceMs: 30_000,
  planMs: 60_000,
};

/** One entry process with in-memory servers and an in-memory store. */
class Fixture {
  readonly store = new FakeStore();
  readonly servers = new Map<string, FakeServer>();
  /** Entry VMs that membership reports as alive. */
  liveVms: contracts.VmId[] = [SELF.vm];
  readonly clocks = createJumpingClock();
  readonly #lifeCycle = new LifeCycle();
  readonly task: OwnershipTask;

  constructor(names: readonly string[], context: TestContext) {
    for (const name of names) {
      this.servers.set(name, new FakeServer(name, SERVICE));
    }
    this.task = this.#createTask();
    context.after(() => this.#lifeCycle.stop());
  }

  start(): void {
    this.task.start(this.#lifeCycle);
  }

  server(name: string): FakeServer {
    return this.servers.get(name)!;
  }

  get assignment(): contracts.Assignment | undefined {
    const text = this.store.objects.get(`assignments/${SERVICE}`)?.value;
    return text === undefined
      ? undefined
      : contracts.assignmentSchema.parse(JSON.parse(text));
  }

  /** Whether every slice is owned by a server under a valid lease. */
  isFullyLeased(): boolean {
    const slices = this.assignment?.slices ?? [];
    return slices.length > 0 && slices.every((slice) => {
      const held = this.servers.get(slice.server)?.leasedSlices ?? [];
      return slice.state === "owned" &&
        held.some(({ fromHash }) => fromHash === slice.fromHash);
    });
  }

  /** Delivers a heartbeat of an entry VM that has read the store. */
  receiveHeartbeat(vm: contracts.VmId): void {
    const heartbeat = {
      vm,
      incarnation: `${vm}-run`,
      known: [{ service: SERVICE, revision: 0, settled: true }],
    } as unknown as contracts.PeerHeartbeat;
    const reply = { known: [], newer: [] };
    this.task.answer(
      heartbeat,
      reply as unknown as contracts.PeerHeartbeatReply,
    );
  }

  #createTask(): OwnershipTask {
    const addresses = () =>
      [...this.servers.values()].map(({ address }) => address);
    const config = contracts.serviceSchema.parse({
      kind: "service",
      name: SERVICE,
      partner: "kayfa",
      places: ["zone-1"],
      keyed: true,
      slotsPerServer: 3,
      connectionsPerServer: 110,
    });
    return new OwnershipTask({
      timings: TIMINGS,
      clock: this.clocks.clock,
      random: new SystemRandom(),
      hasher: HASHER,
      log: createLog({ format: "text", level: "silent" }),
      store: this.store,
      config: { services: () => [config], service: () => config },
      load: () => NO_LOAD_SOURCE,
      moveRecorder: { noteSteps: () => {} },
      connect: ({ server }) => this.server(server),
      servers: {
        servers: addresses,
        server: (id) => addresses().find(({ server }) => server === id),
        noteDraining: () => {},
        noteNotDraining: () => {},
        saysDraining: () => false,
      },
      peers: {
        self: SELF,
        live: () => this.liveVms,
        all: () => this.liveVms,
        isLost: () => false,
        listed: () => new Set(this.liveVms),
        pin: () => {},
        push: () => Promise.resolve(undefined),
        fetchKnownRevision: () => Promise.resolve(undefined),
      },
    });
  }
}

const HASHER = await ownership.KeyHasher.create();

async function until(condition: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + DEADLINE_MS;
  while (!condition()) {
    if (performance.now() > deadlineMs) throw new Error(`Not ${condition}`);
    await timers.setTimeout(10);
  }
}

test("should assign and grant every slice of a new service", async (t) => {
  const fixture = new Fixture(["a", "b"], t);
  fixture.start();
  await until(() => fixture.isFullyLeased());
  const owners = new Set(fixture.assignment?.slices.map((s) => s.server));
  expect([...owners].sort() as string[]).toEqual(["a", "b"]);
});

// The whole cluster has just started, and the first leader has replies from all
// servers but none from its peers. If it named itself as the only voter and
// then failed, no quorum could hand over a key, and the keys of a failed server
// would stay unserved until the leader came back.
test("should make all listed entry VMs the initial voters", async (t) => {
  const fixture = new Fixture(["a", "b"], t);
  fixture.liveVms = [SELF.vm, ...OTHER_VMS];
  fixture.start();
  await until(() => fixture.server("a").commandCount > 4);
  await until(() => fixture.server("b").commandCount > 4);
  expect(fixture.assignment).toEqual(undefined);
  for (const vm of OTHER_VMS) fixture.receiveHeartbeat(vm);
  await until(() => fixture.assignment !== undefined);
  const [first] = fixture.assignment!.keeperSets;
  expect(first!.map(({ vm }) => vm).sort()).toEqual([SELF.vm, ...OTHER_VMS]);
});

// A server drains while a booking is still in progress on it. The booking's key
// must be handed over as soon as the booking has finished, and not earlier.
test("should hand over a draining server's slices once they are idle", async (t) => {
  const fixture = new Fixture(["a", "b"], t);
  fixture.start();
  await until(() => fixture.isFullyLeased());
  const leaving = fixture.server("a");
  leaving.requestsInFlight = 1;
  leaving.isDraining = true;
  await until(() =>
    fixture.assignment!.slices.some(({ state }) => state === "vacating")
  );
  const commandsBefore = leaving.commandCount;
  await until(() => leaving.commandCount > commandsBefore + 3);
  const vacating = fixture.assignment!.slices
    .filter(({ state }) => state === "vacating");
  expect(vacating.every(({ from }) => from[0] === leaving.address.server))
    .toEqual(true);
  leaving.requestsInFlight = 0;
  await until(() => fixture.isFullyLeased());
  expect(
    fixture.assignment!.slices.every(({ server }) =>
      server === fixture.server("b").address.server
    ),
  ).toEqual(true);
});

// The store is unavailable for several lease durations. Hosts must keep seeing
// the available slots.
test("should renew every lease while the store is unavailable", async (t) => {
  const fixture = new Fixture(["a", "b"], t);
  fixture.start();
  await until(() => fixture.isFullyLeased());
  fixture.store.fault = () => "down";
  const leases = 4;
  const endMs = performance.now() + leases * TIMINGS.leaseMs;
  while (performance.now() < endMs) {
    expect(fixture.isFullyLeased()).toEqual(true);
    await timers.setTimeout(50);
  }
});

test("should hand over the slices of a server that stops responding", async (t) => {
  const fixture = new Fixture(["a", "b"], t);
  fixture.start();
  await until(() => fixture.isFullyLeased());
  fixture.server("a").isUnresponsive = true;
  await until(() =>
    fixture.isFullyLeased() &&
    fixture.assignment!.slices.every(({ server }) => server !== "a")
  );
});

// The lagging list drops a server that is alive. If lease commands to it ended
// at once, its lease would expire and an error of the list would leave its keys
// unserved.
test("should drain and not abandon a server that the list drops", async (t) => {
  const fixture = new Fixture(["a", "b"], t);
  fixture.start();
  await until(() => fixture.isFullyLeased());
  const dropped = fixture.server("a");
  fixture.servers.delete("a");
  await until(() => fixture.isFullyLeased());
  expect(dropped.leasedSlices.length).toEqual(0);
  const fences = fixture.assignment!.slices.map(({ fence }) => fence);
  expect(Math.max(...fences) > 1).toEqual(true);
});

// This VM is cut off from the store and from all voters, so the slice may have
// another owner by now. A server that checks no fencing tokens would accept the
// request all the same, and the booking would be made twice.
test("should not forward to an unfenced server without confirmation", async (t) => {
  const fixture = new Fixture(["a"], t);
  const server = fixture.server("a").address.server;
  fixture.server("a").checksFences = false;
  const assignment: contracts.Assignment = {
    service: SERVICE,
    revision: 3,
    writer: OTHER_VMS[0]!,
    writerIncarnation: SELF.incarnation,
    nonce: "n",
    keeperSets: [[SELF.vm, ...OTHER_VMS].map((vm) => ({ vm }))],
    slices: ownership.equalSlices([server], 1, { fence: 2 }),
    unfencedServers: [server],
  };
  const name = `assignments/${SERVICE}`;
  await fixture.store.put(name, JSON.stringify(assignment), {
    condition: { kind: "absent" },
  });
  const slice = contracts.sliceIdOf(assignment.slices[0]!);
  const mayForward = () => fixture.task.mayForward(SERVICE, server, slice, 2);
  fixture.start();
  await until(mayForward);
  fixture.store.fault = () => "down";
  await until(() => !mayForward());
  fixture.store.fault = () => "none";
  await until(mayForward);
  expect(fixture.task.mayForward(SERVICE, server, slice, 1)).toEqual(false);
});

/**
 * Guards against a request that leaves after a suspension of the machine, and
 * before its first tick, by a confirmation from before it.
 */
test("should not forward to an unfenced server when the machine may have been suspended", async (t) => {
  const fixture = new Fixture(["a"], t);
  fixture.server("a").checksFences = false;
  fixture.start();
  await until(() => fixture.isFullyLeased());
  const slice = fixture.assignment!.slices[0]!;
  const { server, fence } = slice;
  const id = contracts.sliceIdOf(slice);
  const mayForward = () => fixture.task.mayForward(SERVICE, server, id, fence);
  await until(mayForward);
  fixture.clocks.jumpWallClock(10_000);
  expect(mayForward()).toEqual(false);
  await until(mayForward);
});
