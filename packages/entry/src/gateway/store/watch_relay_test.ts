import type * as contracts from "@guavatide/contracts";
import * as ownership from "@guavatide/decisions/ownership/mod";
import { expect } from "earl";
import { test } from "node:test";
import { decodeMessage, encodeMessage } from "../peers/peer_codec.ts";
import type { PeerGossip } from "../peers/peer_gossip.ts";
import { CHANGES_METHOD, type StoreChanges } from "../peers/peer_messages.ts";
import type { PeerRpc } from "../peers/peer_rpc.ts";
import type { SystemClock } from "../../utils/clock.ts";
import { createJumpingClock } from "../../utils/clock_test_support.ts";
import type { StoreHealth } from "./store_health.ts";
import { WatchRelay } from "./watch_relay.ts";

const PREFIX = "servers/";

/** A clock that stands still, unless it jumps. */
const createStandingClock = () => createJumpingClock(() => 0);

/** A relay whose messages go through a fake gossip. */
async function createRelay(
  gossip: object,
  { clock }: { readonly clock: SystemClock } = createStandingClock(),
): Promise<WatchRelay> {
  return new WatchRelay({
    self: { vm: "vm1" as contracts.VmId } as never,
    gossip: gossip as unknown as PeerGossip,
    rpc: { on: () => {} } as Partial<PeerRpc> as PeerRpc,
    health: {} as StoreHealth,
    hasher: await ownership.KeyHasher.create(),
    clock,
    log: { debug() {}, info() {}, warn() {}, error() {} },
    isSeed: false,
    isLeaving: () => false,
    probeStore: () => Promise.resolve(true),
  });
}

/** Publishes a change of one object; returns the message to the peers. */
async function publish(
  value: string,
  previousValue?: string,
  names?: readonly string[],
  clocks?: { readonly clock: SystemClock },
): Promise<StoreChanges> {
  const sent: { method: string; params: object }[] = [];
  const gossip: Partial<PeerGossip> = {
    on: () => {},
    onGuarded: () => {},
    broadcast: (method, params) => sent.push({ method, params }),
  };
  const relay = await createRelay(gossip, clocks);
  const object = { name: "servers/i-1", version: "2", value };
  const previous = previousValue === undefined
    ? undefined
    : { name: "servers/i-1", version: "1", value: previousValue };
  relay.publish(PREFIX, {
    fromPosition: 1,
    toPosition: 2,
    events: [{ name: object.name, object, previous }],
    ...(names === undefined ? {} : { names }),
    madeAfterMs: 0,
  });
  const { method, params } = sent[0]!;
  const received = decodeMessage(Buffer.from(encodeMessage(method, params)));
  expect(received !== undefined).toEqual(true);
  return received!.params as StoreChanges;
}

/**
 * Guards against messages that no peer can decode: each peer would request them
 * again and again.
 */
test("should leave changes out that peers can't decompress", async () => {
  const message = await publish("s".repeat(1_200_000));
  expect([message.events, message.toCursor]).toEqual([null, 2]);
  const quoted = await publish('"'.repeat(600_000));
  expect(quoted.events).toEqual(null);
});

test("should send the difference between large objects", async () => {
  const routes = Array.from(
    { length: 10_000 },
    (_, index) =>
      JSON.stringify({
        name: `route-${index}`,
        prefix: `/${index}/`.padEnd(60),
      }),
  )
    .join();
  const message = await publish(`[${routes},{"x":2}]`, `[${routes},{"x":1}]`);
  expect(message.events?.length).toEqual(1);
});

test("should send small changes whole", async () => {
  const message = await publish('{"service":"s"}');
  expect(message.events).toEqual([
    ["servers/i-1", ["2", '{"service":"s"}']],
  ]);
});

/** Guards against messages that no peer can decode, as they have long names. */
test("should leave names out that peers can't decompress", async () => {
  const names = Array.from(
    { length: 80 },
    (_, index) => `servers/${"n".repeat(16_000)}${index}`,
  );
  const message = await publish("{}", undefined, names);
  expect([message.events, message.names]).toEqual([null, null]);
});

/** Guards against messages that no peer can decode, as a character takes three bytes. */
test("should leave changes of wide characters out that peers can't decompress", async () => {
  const message = await publish("\u6f22".repeat(390_000));
  expect(message.events).toEqual(null);
});

/**
 * Guards against changes that are fetched again: the readers learn of different
 * versions, and one's difference to an older version is of no use to others.
 */
test("should apply the difference to an unknown version of a known change", async () => {
  const known = { name: "servers/i-1", version: "5", value: "{}" };
  const handlers = new Map<string, (params: StoreChanges) => void>();
  const applied: unknown[] = [];
  const gossip = {
    on: (method: string, _schema: unknown, handler: never) =>
      handlers.set(method, handler),
    onGuarded: () => {},
  };
  const relay = await createRelay(gossip);
  relay.add({
    prefix: PREFIX,
    position: 5,
    snapshot: undefined,
    object: () => known,
    applyRelayed: ({ events }) => applied.push(events),
    notePeerPosition: () => applied.push("behind"),
    noteStorePosition: () => {},
    renewWatch: () => {},
    onRoleChange: () => {},
  });
  handlers.get(CHANGES_METHOD)!({
    vm: "vm2" as contracts.VmId,
    prefix: PREFIX,
    fromCursor: 3,
    toCursor: 9,
    events: [[known.name, ["5", { base: "3", patch: [[0, 1]] }]]],
    names: null,
    ageMs: 0,
  });
  expect(applied).toEqual([
    [{ name: known.name, object: known, previous: known }],
  ]);
});

/**
 * Guards against peers that give a draining server its full grace, as the VM
 * that relays the change was suspended before it did.
 */
test("should tell the longest age that changes may have", async () => {
  const clocks = createStandingClock();
  expect((await publish("{}", undefined, undefined, clocks)).ageMs).toEqual(0);
  clocks.jumpWallClock(1_500);
  const message = await publish("{}", undefined, undefined, clocks);
  expect(message.ageMs).toEqual(1_500);
});
