/**
 * Measures inside one process how cost grows with size: bytes and time for
 * each slice, key, member and message. The capacity page is calculated from
 * these slopes. Run by `npm run measure:slopes`; the last line is JSON.
 */
import * as contracts from "@guavatide/contracts";
import * as membership from "@guavatide/decisions/membership/mod";
import * as ownership from "@guavatide/decisions/ownership/mod";
import * as placement from "@guavatide/decisions/placement/mod";
import { SeededRandom } from "./placement/trace.ts";

/** One measured figure. */
interface Slope {
  readonly what: string;
  /** Size at which it was measured. */
  readonly size: number;
  readonly value: number;
  readonly unit: string;
}

const SERVICE = "service" as contracts.ServiceId;
const SELF = {
  vm: "entry-1" as contracts.VmId,
  incarnation: "3f0c2a52-9d5b-4a43-8d0f-0d6a3c4f7a11" as contracts.Incarnation,
};
const REPEATS = 5;

function heapBytes(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Heap bytes that the created value holds; needs `--expose-gc`. */
function heapBytesOf(make: () => unknown): number {
  const before = heapBytes();
  const value = make();
  const after = heapBytes();
  return value === undefined ? 0 : after - before;
}

/**
 * Median processor time of one call in microseconds. Wall-clock time would
 * include waits for a processor on a busy machine.
 */
function medianCpuUs(calls: number, run: () => void): number {
  for (let i = 0; i < calls; i++) run();
  const times: number[] = [];
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    const before = process.cpuUsage();
    for (let i = 0; i < calls; i++) run();
    const used = process.cpuUsage(before);
    times.push((used.user + used.system) / calls);
  }
  return times.sort((a, b) => a - b)[REPEATS >> 1]!;
}

function makeAssignment(servers: number, slices: number): contracts.Assignment {
  const names = Array.from(
    { length: servers },
    (_, index) => `service-${index}` as contracts.ServerId,
  );
  const voters = Array.from({ length: 9 }, (_, index) => ({
    vm: `entry-${index}` as contracts.VmId,
  }));
  return {
    service: SERVICE,
    revision: 12_345,
    writer: SELF.vm,
    writerIncarnation: SELF.incarnation,
    nonce: SELF.incarnation,
    keeperSets: [voters],
    slices: ownership.equalSlices(names, slices, { fence: 12_345 }),
  };
}

function measureSlices(): Slope[] {
  return [160, 1_600, 16_000, 126_400].flatMap((size) => {
    const json = JSON.stringify(makeAssignment(size / 16, size));
    const parse = () => contracts.assignmentSchema.parse(JSON.parse(json));
    const parseCalls = Math.max(1, Math.round(4_000 / size));
    const slices = parse().slices;
    const random = new SeededRandom(1);
    const lookUp = () =>
      void placement.findSlice(slices, random.below(contracts.HASH_SPACE));
    return [
      slope("assignment JSON a slice", size, json.length / size, "B"),
      slope("assignment heap a slice", size, heapBytesOf(parse) / size, "B"),
      slope(
        "parse and check a slice",
        size,
        medianCpuUs(parseCalls, () => void parse()) / size,
        "µs",
      ),
      slope("look up a key's slice", size, medianCpuUs(100_000, lookUp), "µs"),
    ];
  });
}

function measureTracker(): Slope[] {
  return [128, 512].flatMap((trackedKeys) => {
    const options = { ...placement.DEFAULT_LOAD_TRACKER, trackedKeys };
    const random = new SeededRandom(2);
    const slices = makeAssignment(100, 1_600).slices;
    const fill = () => {
      const tracker = new placement.LoadTracker(options);
      for (let i = 0; i < 50_000; i++) recordRandom(tracker, slices, random);
      return tracker;
    };
    const tracker = fill();
    return [
      slope("load tracker heap", trackedKeys, heapBytesOf(fill) / 1000, "kB"),
      slope(
        "count one request",
        trackedKeys,
        medianCpuUs(50_000, () => recordRandom(tracker, slices, random)),
        "µs",
      ),
      slope(
        "make a load report",
        trackedKeys,
        medianCpuUs(
          20,
          () => void tracker.report({ ...SELF, service: SERVICE }, 0),
        ),
        "µs",
      ),
    ];
  });
}

/** Draws a key skewed like Zipf's law: the eighth power of a uniform draw. */
function recordRandom(
  tracker: placement.LoadTracker,
  slices: readonly contracts.Slice[],
  random: SeededRandom,
): void {
  const keyHash = Math.floor(random.next() ** 8 * 1e6) * 4099;
  const slice = slices[placement.findSlice(slices, keyHash)]!;
  const { fromHash, toHash } = slice;
  tracker.record({ fromHash, toHash, keyHash });
}

function listedVms(vms: number): contracts.ListedVm[] {
  return Array.from({ length: vms }, (_, index) => ({
    kind: "entry" as const,
    vm: `entry-${index + 2}` as contracts.VmId,
    zone: `zone-${index % 9}` as contracts.ZoneId,
    host: `10.0.${index >> 8}.${index & 255}`,
    port: 7401,
    state: "live" as const,
  }));
}

function makeMembership(vms: number): membership.Membership {
  const created = new membership.Membership({
    ...membership.DEFAULT_MEMBERSHIP,
    vm: SELF.vm,
    random: new SeededRandom(3),
  });
  created.noteVmList(listedVms(vms), 0);
  for (const { vm } of listedVms(vms)) {
    const incarnation = `${vm}-3f0c2a52-9d5b` as contracts.Incarnation;
    created.noteReply(vm!, incarnation, { askedAtMs: 0, nowMs: 0 });
  }
  return created;
}

/** Below 1000 VMs, noise of the heap size exceeds the members' memory. */
function heapSlope(size: number): Slope[] {
  if (size < 1_000) return [];
  const bytes = heapBytesOf(() => makeMembership(size)) / size;
  return [slope("membership heap a VM", size, bytes, "B")];
}

function measureMembership(): Slope[] {
  return [9, 36, 100, 1_000, 7_900].flatMap((size) => {
    const members = makeMembership(size);
    let nowMs = 0;
    let targetCount = 0;
    const heartbeats = 400;
    const sendHeartbeats = () => {
      nowMs += membership.DEFAULT_MEMBERSHIP.heartbeatIntervalMs;
      const { targets } = members.heartbeat(nowMs);
      targetCount += targets.length;
      for (const vm of targets) {
        const incarnation = `${vm}-3f0c2a52-9d5b` as contracts.Incarnation;
        members.noteReply(vm, incarnation, { askedAtMs: nowMs, nowMs });
      }
    };
    const heartbeatUs = medianCpuUs(heartbeats, sendHeartbeats);
    return [
      ...heapSlope(size),
      slope("one beat's decisions", size, heartbeatUs, "µs"),
      slope("peers asked in a beat", size, targetCount / (heartbeats * 6), ""),
      slope(
        "VM list JSON a VM",
        size,
        JSON.stringify(listedVms(size)).length /
          size,
        "B",
      ),
    ];
  });
}

function heartbeat(services: number): contracts.PeerHeartbeat {
  return {
    ...SELF,
    zone: "almadies" as contracts.ZoneId,
    host: "10.0.12.34",
    peerPort: 7401,
    leaving: false,
    known: Array.from({ length: services }, (_, index) => ({
      service: `service-${index}` as contracts.ServiceId,
      revision: 12_345,
      settled: true,
    })),
    configRevision: 678,
    news: [],
  };
}

function measureMessages(): Slope[] {
  const call = (services: number) =>
    JSON.stringify({
      jsonrpc: "2.0",
      id: 123_456,
      method: "heartbeat",
      params: heartbeat(services),
    });
  const sizes = [1, 3, 30].map((services) =>
    slope("heartbeat's JSON-RPC text", services, call(services).length, "B")
  );
  const text = call(3);
  const handle = () => {
    const { params } = JSON.parse(text) as { params: unknown };
    JSON.stringify(contracts.peerHeartbeatSchema.parse(params));
  };
  return [
    ...sizes,
    slope("heartbeat: text, check, text", 3, medianCpuUs(2_000, handle), "µs"),
    slope("largest load report", 1, largestReport(), "B"),
  ];
}

function largestReport(): number {
  const limits = contracts.SERVICE_LOAD_LIMITS;
  const load: contracts.ServiceLoad = {
    ...SELF,
    service: SERVICE,
    requestsPerSecond: 11_265.82,
    slices: Array.from({ length: limits.slices }, () => ({
      fromHash: 3_221_225_472,
      toHash: 3_221_259_451,
      requestsPerSecond: 123.456,
    })),
    keys: Array.from({ length: limits.keys }, () => ({
      hash: 3_221_225_472,
      requestsPerSecond: 123.456,
    })),
    servers: Array.from({ length: limits.servers }, (_, index) => ({
      server: `service-${index}` as contracts.ServerId,
      workMs: 12.345,
    })),
  };
  return JSON.stringify(contracts.serviceLoadSchema.parse(load)).length;
}

function measureLeaseCommands(): Slope[] {
  return [16, 48].flatMap((size) => {
    const command: contracts.LeaseCommand = {
      service: SERVICE,
      server: "service-1" as contracts.ServerId,
      revision: 12_345,
      stampMs: 123_456.789,
      stampInstance: SELF.incarnation,
      leaseMs: 1_000,
      slices: makeAssignment(1, size).slices.map((slice) => ({
        slice: contracts.sliceIdOf(slice),
        fromHash: slice.fromHash,
        toHash: slice.toHash,
        fence: slice.fence,
      })),
    };
    return [
      slope("ownership order", size, JSON.stringify(command).length, "B"),
    ];
  });
}

function measureConfig(): Slope[] {
  return [10, 1_000].flatMap((size) => {
    const config: contracts.PublishedConfig = {
      revision: 1,
      publishedBy: "operator",
      publishedAt: "2026-12-03T00:00:00.000Z",
      objects: Array.from({ length: size }, (_, index) => ({
        kind: "cost-share" as const,
        name: `service-${index}-split`,
        service: `service-${index}` as contracts.ServiceId,
        shares: [
          { partner: "kayfa" as contracts.PartnerId, percent: 60 },
          { partner: "bitacora" as contracts.PartnerId, percent: 40 },
        ],
      })),
    };
    const json = JSON.stringify(config);
    const parse = () => contracts.publishedConfigSchema.parse(JSON.parse(json));
    const calls = Math.max(1, 4_000 / size);
    return [
      slope("configuration JSON an object", size, json.length / size, "B"),
      slope(
        "configuration heap an object",
        size,
        heapBytesOf(parse) / size,
        "B",
      ),
      slope(
        "parse and check an object",
        size,
        medianCpuUs(calls, () => void parse()) / size,
        "µs",
      ),
    ];
  });
}

function slope(
  what: string,
  size: number,
  value: number,
  unit: string,
): Slope {
  return { what, size, value: Number(value.toPrecision(4)), unit };
}

const slopes = [
  ...measureSlices(),
  ...measureTracker(),
  ...measureMembership(),
  ...measureMessages(),
  ...measureLeaseCommands(),
  ...measureConfig(),
];
console.table(slopes);
console.log(JSON.stringify(slopes));
