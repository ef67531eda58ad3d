import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as z from "zod";
import * as messages from "./peer_messages.ts";

const COMMON_FIELDS = {
  vm: "vm1",
  incarnation: "r1",
  sequence: 3,
  standsMs: 1_600,
  maps: { s: [4, true] },
};
const HELLO = {
  ...COMMON_FIELDS,
  host: "10.0.0.1",
  port: 7_200,
  zone: "z1",
  processorCores: 0.27,
  hasStore: true,
  isLeaving: false,
};
const STATUS = {
  ...HELLO,
  configVersion: -1,
  configCursor: 5,
  serversCursor: 6,
  loads: { a: 1 },
  waiting: {},
};
const VOTER_STATUS = {
  ...COMMON_FIELDS,
  echo: ["r2", 9],
  lifeMs: 12.5,
  grantAgesMs: { a: [0, null], b: [10, 5.5] },
  handoverGrantTimesMs: [["a", 3, 0, 9, null], ["b", 4, 10, 9, -5.5]],
  silentServers: ["a"],
};

const UNREACHED = { vm: "vm1", isCutOff: false, servers: ["a"] };
const unreachedSchema = z.object({
  vm: contracts.vmIdSchema,
  isCutOff: z.boolean(),
  servers: z.array(contracts.serverIdSchema),
});
const READER_STATUS = { vm: "vm1", storeCalmMs: 12.5, positions: { p: 7 } };
const readerStatusSchema = z.object({
  vm: contracts.vmIdSchema,
  storeCalmMs: z.number(),
  positions: z.record(z.string(), z.number().int()),
});
const BROADCAST = { method: "load", params: { vm: "vm1" } };
const broadcastSchema = z.object({ method: z.string(), params: z.unknown() });

/** Guards against a type guard that accepts what its schema rejects. */
for (
  const [name, isMessage, schema, good] of [
    ["hello", messages.isPeerHello, messages.peerHelloSchema, HELLO],
    ["status", messages.isPeerStatus, messages.peerStatusSchema, STATUS],
    [
      "list of unreached servers",
      messages.isUnreachedServers,
      unreachedSchema,
      UNREACHED,
    ],
    [
      "reader status",
      messages.isReaderStatus,
      readerStatusSchema,
      READER_STATUS,
    ],
    ["broadcast", messages.isBroadcastMessage, broadcastSchema, BROADCAST],
    [
      "voter status",
      messages.isVoterStatus,
      messages.voterStatusSchema,
      VOTER_STATUS,
    ],
  ] as const
) {
  test(`should accept a valid ${name} and none with a wrong field`, () => {
    expect(isMessage(good)).toEqual(true);
    for (const field of Object.keys(good)) {
      for (const wrong of [undefined, "x", -0.5, [], [7], { a: "x" }]) {
        const changed = { ...good, [field]: wrong };
        const isRefused = !schema.safeParse(changed).success;
        if (isRefused) expect(isMessage(changed)).toEqual(false);
      }
    }
    expect(isMessage(null)).toEqual(false);
    expect(isMessage([])).toEqual(false);
  });
}

/** Guards against VMs of two versions that drop each other's slot requests. */
test("should accept slot requests with and without a key", () => {
  const slot = [7, "s", "a", 1, 4, "lookup", 0, 834];
  const requestsOf = (...key: unknown[]) => ({
    vm: "vm1",
    wishes: [[[...slot, ...key], 800, 5_000]],
    ended: [],
    held: [[...slot, ...key]],
  });
  expect(messages.isSlotRequests(requestsOf())).toEqual(true);
  expect(messages.isSlotRequests(requestsOf(613))).toEqual(true);
  for (const wrong of ["613", 0.5, null]) {
    expect(messages.isSlotRequests(requestsOf(wrong))).toEqual(false);
  }
});

/** Guards against slot requests with a standing that no version sends. */
test("should accept slot requests with and without a standing", () => {
  const slot = [1, "keyed", "s1", 1, 2, "lookup", 0, 300];
  const requestsOf = (...standing: unknown[]) => ({
    vm: "vm1",
    wishes: [[slot, 100, 1_000, ...standing]],
    ended: [],
    held: null,
  });
  expect(messages.isSlotRequests(requestsOf())).toEqual(true);
  expect(messages.isSlotRequests(requestsOf("above-share"))).toEqual(true);
  expect(messages.isSlotRequests(requestsOf("first"))).toEqual(false);
});

/** VMs of a version without the bandwidth, or with it, must be understood. */
test("should accept statuses with and without a bandwidth", () => {
  for (const linkMbps of [undefined, 7, 8.4]) {
    const status = { ...STATUS, linkMbps };
    expect(messages.isPeerStatus(status)).toEqual(true);
    expect(messages.peerStatusSchema.safeParse(status).success).toEqual(true);
  }
  const wrong = { ...STATUS, linkMbps: "7" };
  expect(messages.isPeerStatus(wrong)).toEqual(false);
});

/** VMs of a version that does not tell handovers apart must be understood. */
test("should accept voter statuses with and without times by handover", () => {
  const { handoverGrantTimesMs: _, ...without } = VOTER_STATUS;
  expect(messages.isVoterStatus(without)).toEqual(true);
  expect(messages.voterStatusSchema.safeParse(without).success).toEqual(true);
  for (
    const wrong of [
      ["a", 3, 0, 9],
      ["a", 0.5, 0, 9, null],
      ["a", 3, null, 9, null],
      [7, 3, 0, 9, null],
    ]
  ) {
    const status = { ...VOTER_STATUS, handoverGrantTimesMs: [wrong] };
    expect(messages.isVoterStatus(status)).toEqual(false);
  }
});

/**
 * Guards against VMs that end as they send datagrams or calls to a peer whose
 * address no socket or URL accepts.
 */
test("should refuse hellos and requests whose address can't be used", () => {
  const request = { vm: "vm1", host: "10.0.0.1", port: 7_200, digest: 1 };
  expect(messages.peersRequestSchema.safeParse(request).success).toEqual(true);
  for (
    const wrong of [
      { host: "10.0.0.256" },
      { host: "" },
      { host: "vm1.example" },
      { host: "::1" },
      { port: 0 },
      { port: 65_536 },
      { port: 70_000 },
    ]
  ) {
    expect(messages.isPeerHello({ ...HELLO, ...wrong })).toEqual(false);
    expect(messages.isPeerStatus({ ...STATUS, ...wrong })).toEqual(false);
    expect(
      messages.peersRequestSchema.safeParse({ ...request, ...wrong }).success,
    ).toEqual(false);
  }
});

/** Guards against one such address that hides all other peers. */
test("should leave unusable addresses out of the peers that a VM knows", () => {
  const known = messages.knownPeersSchema.parse({
    peers: [
      ["vm1", "10.0.0.1", 7_200],
      ["vm2", "10.0.0.256", 7_200],
      ["vm3", "10.0.0.3", 70_000],
      ["vm 4", "10.0.0.4", 7_200],
      ["vm5"],
      ["vm6", "10.0.0.6", 7_200],
    ],
  });
  expect(known.peers.map(([vm]) => vm as string)).toEqual(["vm1", "vm6"]);
});
