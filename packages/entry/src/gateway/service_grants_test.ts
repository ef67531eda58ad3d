import type * as contracts from "@guavatide/contracts";
import * as grants from "@guavatide/decisions/grants/mod";
import * as ownership from "@guavatide/decisions/ownership/mod";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import { KEYED_SERVICE, serverEntryOf } from "./grant_test_support.ts";
import type { RangeMapStore } from "./range_map_store.ts";
import type { ServerRegistry } from "./server_registry.ts";
import { ServiceGrants } from "./service_grants.ts";

const KEEPER = "vm1" as contracts.VmId;
const OTHER = "vm2" as contracts.VmId;
const ASKED = "k1" as contracts.ServerId;
const SERVERS = [ASKED, "k2", "k3", "k4"] as contracts.ServerId[];
const RANGES_PER_SERVER = 4;
/** The first range moves away from the first server. */
const MOVED_FENCE = 1;
/** A VM that has started makes the moves by then. */
const MOVER_AFTER_MS = 900;
/** The regular work of a keeper. */
const TICK_MS = 40;

/** Guards against work for the square of the number of ranges. */
test("should look only at a server's own ranges when its grant has ended", async () => {
  const { sent, looked, ...keeper } = await createKeeper();
  await keeper.run(MOVER_AFTER_MS);
  keeper.holdAnswers();
  keeper.tick(grants.DEFAULT_GRANT_TIMINGS.renewMs);
  const [first] = sent.get(ASKED)!;

  sent.clear();
  looked.clear();
  keeper.answer(ASKED);
  await timers.setImmediate();

  expect([...looked]).toEqual([ASKED]);
  const [next] = sent.get(ASKED)!;
  expect(next!.fence !== first!.fence).toEqual(true);
});

/** Guards against callers of moved keys who wait for the mover's next tick. */
test("should grant a range as soon as its move is written", async () => {
  const { sent, ...keeper } = await createKeeper({ isMover: true });
  const isGranted = () =>
    [...sent.values()].flat().some(({ fence }) => fence === MOVED_FENCE);
  await keeper.run(MOVER_AFTER_MS);
  keeper.endRun(ASKED);
  keeper.tick(1);
  expect(isGranted()).toEqual(false);

  await timers.setImmediate();

  expect(isGranted()).toEqual(true);
});

/** Guards against a grant that leaves on evidence which was good once. */
test("should keep a grant back when its evidence is too old as it leaves", async () => {
  const keeper = await createKeeper();
  const { confirmationTtlMs: evidenceMs, renewMs } =
    grants.DEFAULT_GRANT_TIMINGS;
  await keeper.run(MOVER_AFTER_MS);
  keeper.holdAnswers();
  keeper.tick(renewMs);
  expect(keeper.mayLeave(ASKED)).toEqual(true);
  keeper.wait(evidenceMs);
  expect(keeper.mayLeave(ASKED)).toEqual(false);
});

/** A keeper with several ranges at each server. */
async function createKeeper({ isMover = false } = {}) {
  let nowMs = 0;
  let isHeld = false;
  const ended = new Set<contracts.ServerId>();
  /** Servers whose ranges were looked at. */
  const looked = new Set<contracts.ServerId>();
  const sent = new Map<contracts.ServerId, contracts.KeyGrant[]>();
  const answers = new Map<contracts.ServerId, () => void>();
  /** Whether the last grant to a server may leave now. */
  const leaves = new Map<contracts.ServerId, () => boolean>();
  const map = mapOf((server) => looked.add(server));
  const service = new ServiceGrants({
    service: KEYED_SERVICE,
    vm: KEEPER,
    timings: grants.DEFAULT_GRANT_TIMINGS,
    hasher: await ownership.KeyHasher.create(),
    maps: {
      read: () =>
        Promise.resolve({ kind: "found", stored: { map, version: "1" } }),
      write: (next: contracts.RangeMap) =>
        Promise.resolve({
          kind: "written",
          stored: { map: next, version: "2" },
        }),
    } as unknown as RangeMapStore,
    control: {
      grant: ({ server }, grant, options) => {
        leaves.set(server, options.maySend!);
        sent.set(server, [...sent.get(server) ?? [], grant]);
        const answered = new Promise<contracts.GrantAnswer>((resolve) => {
          answers.set(server, () => resolve("granted"));
          if (!isHeld) resolve("granted");
        });
        return neverthrow.ResultAsync.fromSafePromise(answered);
      },
      release: () => neverthrow.okAsync(undefined),
      close: () => Promise.resolve(),
    },
    registry: {
      entry: ({ server }: contracts.RangeOwner) => serverEntryOf(server),
      staying: () => SERVERS.map(serverEntryOf),
      hasEnded: ({ server }: contracts.RangeOwner) => ended.has(server),
      isListed: true,
    } as unknown as ServerRegistry,
    // The VM that reaches the store makes the moves.
    peers: () => [
      { vm: KEEPER, hasStore: isMover, processorCores: 1 },
      { vm: OTHER, hasStore: !isMover, processorCores: 1 },
    ],
    desiredLeaseMs: () => grants.DEFAULT_GRANT_TIMINGS.holdMs,
    sinceLastMessageMs: () => 0,
    fetchMap: () => Promise.resolve(undefined),
    publish: () => {},
    notifyVoters: () => {},
    onChange: () => {},
    clock: { nowMs: () => nowMs },
    log: { debug() {}, info() {}, warn() {}, error() {} },
    capacity: () => 10,
    isCold: () => false,
  });
  return {
    looked,
    sent,
    holdAnswers: () => {
      isHeld = true;
    },
    answer: (server: contracts.ServerId) => answers.get(server)!(),
    mayLeave: (server: contracts.ServerId) => leaves.get(server)!(),
    wait: (afterMs: number) => {
      nowMs += afterMs;
    },
    tick: (afterMs: number) => {
      nowMs += afterMs;
      service.tick();
    },
    endRun: (server: contracts.ServerId) => ended.add(server),
    run: async (untilMs: number) => {
      for (; nowMs < untilMs; nowMs += TICK_MS) {
        service.tick();
        await timers.setImmediate();
      }
    },
  };
}

const VACATING = { server: ASKED, bornMs: 1, fence: 99, revision: 1 };

/** Neighbouring ranges belong to different servers. */
function mapOf(
  onLook: (server: contracts.ServerId) => void,
): contracts.RangeMap {
  const count = SERVERS.length * RANGES_PER_SERVER;
  const ranges = Array.from({ length: count }, (_, index) => {
    const server = SERVERS[(index + 1) % SERVERS.length]!;
    return {
      fromKey: index * 100,
      toKey: index * 100 + 99,
      fence: index + 1,
      ...(index + 1 === MOVED_FENCE ? { vacating: VACATING } : {}),
      get owner() {
        onLook(server);
        return { server, bornMs: 1 };
      },
    };
  });
  return {
    service: KEYED_SERVICE,
    revision: 1,
    lastFence: count,
    keeperSets: [[KEEPER]],
    holdMs: grants.DEFAULT_GRANT_TIMINGS.holdMs,
    nonce: "n",
    ranges,
  };
}
