/**
 * Random interleavings of ownership by grants under faults of keepers, servers,
 * messages and the store: no key may ever have two holders.
 */
import type * as contracts from "@guavatide/contracts";
import { KEY_COUNT } from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import * as grants from "./mod.ts";

const STEP_MS = 10;
const RUN_MS = 14_000;
const TIMINGS = grants.DEFAULT_GRANT_TIMINGS;
const LONG_HOLD_MS = 2_600;
const STATUS_MS = 200;
const QUARTER = KEY_COUNT / 4;
const SAMPLE_KEYS = [0, 1, 2, 3].map((index) => index * QUARTER + 7);
const SLOW_CLOCK = 1.02;

/** Rules that a trap switches off, to show that the model sees their lack. */
interface Traps {
  readonly noEvidenceEnd?: boolean;
  readonly noWait?: boolean;
  readonly noPromise?: boolean;
  readonly unansweredForgotten?: boolean;
  /** No rule: the first keeper alone reaches the store, and nobody else. */
  readonly isFirstApart?: boolean;
  /** No rule: the last keeper reaches the servers, and nobody else. */
  readonly isLastApart?: boolean;
}

class ModelServer {
  readonly owner: contracts.RangeOwner;
  /** By sampled key. */
  readonly fences = SAMPLE_KEYS.map(() => 0);
  readonly heldUntilMs = SAMPLE_KEYS.map(() => 0);
  silentUntilMs = 0;

  constructor(name: string) {
    this.owner = { server: name as contracts.ServerId, bornMs: 1 };
  }

  grant(
    range: contracts.RangeState,
    { arrivedMs, holdMs }: { arrivedMs: number; holdMs: number },
  ): boolean {
    const held = indexesOf(range);
    if (held.some((index) => this.fences[index]! > range.fence)) return false;
    for (const index of held) {
      this.fences[index] = range.fence;
      this.heldUntilMs[index] = arrivedMs + holdMs * SLOW_CLOCK;
    }
    return true;
  }

  release(range: contracts.KeyRange): void {
    for (const index of indexesOf(range)) this.heldUntilMs[index] = 0;
  }
}

function indexesOf({ fromKey, toKey }: contracts.KeyRange): number[] {
  return SAMPLE_KEYS.flatMap((key, index) =>
    fromKey <= key && key <= toKey ? [index] : []
  );
}

interface SentGrant {
  isUnderWay: boolean;
  endMs: number;
  unansweredMs: number | undefined;
}

class ModelKeeper {
  readonly vm: contracts.VmId;
  book = new grants.VoterReports();
  mover: grants.HandoverController;
  map: contracts.RangeMap | undefined;
  isSettled = false;
  startedMs = 0;
  frozenUntilMs = 0;
  hasStore = true;
  hasPeers = true;
  statusMs = 0;
  readMs = 0;
  /** When the last status heard of each peer had left. */
  readonly echoes = new Map<contracts.VmId, number>();
  readonly sent = new Map<contracts.ServerId, SentGrant>();
  readonly renewedMs = new Map<string, number>();

  constructor(vm: string) {
    this.vm = vm as contracts.VmId;
    this.mover = this.#newMover();
  }

  #newMover(): grants.HandoverController {
    const service = "s" as contracts.ServiceId;
    return new grants.HandoverController(service, this.book, TIMINGS);
  }

  restart(nowMs: number): void {
    this.book = new grants.VoterReports();
    this.mover = this.#newMover();
    this.map = undefined;
    this.isSettled = false;
    this.startedMs = nowMs;
    this.echoes.clear();
    this.sent.clear();
    this.renewedMs.clear();
  }

  adopt(map: contracts.RangeMap): void {
    if (map.revision <= (this.map?.revision ?? 0)) return;
    this.map = map;
    this.mover.noteNewerRevision(map.revision);
  }
}

/** The world of one run. */
class Model {
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  readonly #traps: Traps;
  readonly servers = ["a", "b", "c"].map((name) => new ModelServer(name));
  readonly keepers = ["k1", "k2", "k3"].map((vm) => new ModelKeeper(vm));
  #events: { readonly atMs: number; readonly run: () => void }[] = [];
  #stored: grants.StoredRangeMap | undefined;
  #version = 0;
  nowMs = 0;
  moves = 0;
  violations = 0;

  constructor(seed: number, traps: Traps) {
    this.#random = xoroshiro128plus(seed);
    this.#traps = traps;
  }

  run(): void {
    for (; this.nowMs < RUN_MS; this.nowMs += STEP_MS) {
      this.#disturb();
      const due = this.#events.filter(({ atMs }) => atMs <= this.nowMs);
      this.#events = this.#events.filter(({ atMs }) => atMs > this.nowMs);
      for (const { run } of due) run();
      for (const keeper of this.keepers) this.#keep(keeper);
      this.#check();
    }
  }

  #chance(probability: number): boolean {
    return uniformFloat64(this.#random) < probability;
  }

  #between(low: number, high: number): number {
    return low + uniformFloat64(this.#random) * (high - low);
  }

  #pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.#between(0, items.length))]!;
  }

  #after(delayMs: number, run: () => void): void {
    this.#events.push({ atMs: this.nowMs + delayMs, run });
  }

  #check(): void {
    for (const index of SAMPLE_KEYS.keys()) {
      const holders = this.servers.filter((server) =>
        server.heldUntilMs[index]! > this.nowMs
      );
      if (holders.length > 1) this.violations++;
    }
  }

  #disturb(): void {
    if (this.nowMs < 1_500) return;
    if (this.#traps.isFirstApart) {
      const [first, ...others] = this.keepers;
      first!.hasPeers = false;
      for (const other of others) other.hasStore = false;
      return;
    }
    if (this.#traps.isLastApart) {
      const last = this.keepers.at(-1)!;
      last.hasPeers = false;
      last.hasStore = false;
      return;
    }
    const keeper = this.#pick(this.keepers);
    if (this.#chance(0.002)) keeper.restart(this.nowMs);
    if (this.#chance(0.002)) {
      keeper.frozenUntilMs = this.nowMs + this.#between(500, 3_000);
    }
    if (this.#chance(0.003)) keeper.hasStore = !keeper.hasStore;
    if (this.#chance(0.003)) keeper.hasPeers = !keeper.hasPeers;
    if (this.#chance(0.002)) {
      const server = this.#pick(this.servers);
      server.silentUntilMs = this.nowMs + this.#between(500, 4_000);
    }
  }

  #keep(keeper: ModelKeeper): void {
    if (keeper.frozenUntilMs > this.nowMs) return;
    if (keeper.frozenUntilMs > 0) {
      keeper.frozenUntilMs = 0;
      keeper.book.clearConfirmations();
      keeper.mover.requireRead();
      keeper.isSettled = false;
    }
    this.#noteOwnWord(keeper);
    if (this.nowMs - keeper.statusMs >= STATUS_MS) this.#tellStatus(keeper);
    if (!keeper.isSettled) this.#read(keeper);
    this.#renew(keeper);
    if (this.#isMover(keeper)) this.#move(keeper);
  }

  #isMover(keeper: ModelKeeper): boolean {
    return keeper.hasStore &&
      this.keepers.every((other) =>
        other === keeper || !other.hasStore || !other.hasPeers ||
        !keeper.hasPeers || keeper.vm < other.vm
      );
  }

  #word(keeper: ModelKeeper, askedAtMs: number): grants.VoterReport {
    const last = new Map<contracts.ServerId, number>();
    const unanswered = new Map<contracts.ServerId, number>();
    for (const [server, grant] of keeper.sent) {
      last.set(server, grant.isUnderWay ? this.nowMs : grant.endMs);
      if (this.#traps.unansweredForgotten) continue;
      if (grant.isUnderWay) unanswered.set(server, this.nowMs);
      else if (grant.unansweredMs !== undefined) {
        unanswered.set(server, grant.unansweredMs);
      }
    }
    return {
      vm: keeper.vm,
      revision: keeper.map?.revision ?? 0,
      hasReadMap: keeper.isSettled,
      requestedAtMs: askedAtMs,
      receivedAtMs: this.nowMs,
      startedAtMs: keeper.startedMs,
      lastGrantMs: last,
      lastUnansweredMs: unanswered,
    };
  }

  #noteOwnWord(keeper: ModelKeeper): void {
    keeper.book.noteReport(this.#word(keeper, this.nowMs));
  }

  #tellStatus(keeper: ModelKeeper): void {
    keeper.statusMs = this.nowMs;
    const leftMs = this.nowMs;
    for (const other of this.keepers) {
      const isLost = !keeper.hasPeers || !other.hasPeers || this.#chance(0.1);
      if (other === keeper || isLost) continue;
      const echoMs = keeper.echoes.get(other.vm) ?? Number.NEGATIVE_INFINITY;
      const word = this.#word(keeper, echoMs);
      const run = other.startedMs;
      this.#after(this.#between(1, 40), () => {
        if (other.startedMs !== run || other.frozenUntilMs > this.nowMs) return;
        other.echoes.set(keeper.vm, leftMs);
        const askedAtMs = echoMs >= other.startedMs ? echoMs : -Infinity;
        other.book.noteReport({ ...word, requestedAtMs: askedAtMs });
      });
    }
  }

  #read(keeper: ModelKeeper): void {
    if (!keeper.hasStore || this.nowMs - keeper.readMs < 250) return;
    keeper.readMs = this.nowMs;
    const stored = this.#stored;
    if (stored === undefined) return;
    const askedAtMs = this.nowMs;
    const run = keeper.startedMs;
    this.#after(this.#between(5, 60), () => {
      if (keeper.startedMs !== run) return;
      keeper.isSettled = true;
      keeper.book.noteRead(stored.map.revision, askedAtMs);
      keeper.adopt(stored.map);
    });
  }

  #renew(keeper: ModelKeeper): void {
    const { map } = keeper;
    if (map === undefined) return;
    for (const range of map.ranges) {
      if (range.vacating !== undefined) continue;
      const { server } = range.owner;
      if (keeper.sent.get(server)?.isUnderWay) continue;
      const name = `${range.fromKey}/${range.fence}`;
      const renewedMs = keeper.renewedMs.get(name) ?? -Infinity;
      if (this.nowMs - renewedMs < TIMINGS.renewMs) continue;
      const evidenceMs = this.nowMs - keeper.book.confirmedAtMs(map);
      const isGood = this.#traps.noEvidenceEnd ||
        evidenceMs < TIMINGS.confirmationTtlMs;
      if (!isGood) return this.#read(keeper);
      keeper.renewedMs.set(name, this.nowMs);
      this.#grant(keeper, range);
    }
  }

  /** One grant call: sent late, answered, lost, or taken late after its end. */
  #grant(keeper: ModelKeeper, range: contracts.RangeState): void {
    const server = this.servers.find(({ owner }) =>
      owner.server === range.owner.server
    )!;
    const state: SentGrant = keeper.sent.get(range.owner.server) ??
      { isUnderWay: false, endMs: 0, unansweredMs: undefined };
    keeper.sent.set(range.owner.server, state);
    state.isUnderWay = true;
    const holdMs = grants.leaseDurationMs(keeper.map, TIMINGS);
    const end = (isAnswered: boolean) => {
      state.isUnderWay = false;
      state.endMs = this.nowMs;
      if (!isAnswered) state.unansweredMs = this.nowMs;
    };
    const wayMs = this.#between(1, 120);
    const waitMs = this.#chance(0.3)
      ? this.#between(0, TIMINGS.grantTimeoutMs)
      : 0;
    const isLate = this.#chance(0.1);
    this.#after(waitMs + wayMs, () => {
      const arrived = { arrivedMs: this.nowMs, holdMs };
      if (server.silentUntilMs > this.nowMs) return;
      if (isLate) {
        const takenMs = this.#between(200, 3_000);
        return this.#after(takenMs, () => server.grant(range, arrived));
      }
      server.grant(range, arrived);
      this.#after(this.#between(1, 40), () => end(true));
    });
    const giveUp = () => {
      if (state.isUnderWay) end(false);
    };
    this.#after(TIMINGS.grantTimeoutMs, giveUp);
  }

  #move(keeper: ModelKeeper): void {
    const { mover } = keeper;
    const tick = this.#tick();
    mover.checkAcknowledgements(this.nowMs, tick.removedVoters);
    const neverEnded = () => false;
    for (const call of mover.takeReleases(this.nowMs, neverEnded)) {
      this.#release(keeper, call);
    }
    const call = mover.nextCall(tick);
    if (call === undefined) return;
    const run = keeper.startedMs;
    const isLost = this.#chance(0.1);
    this.#after(this.#between(2, 60), () => {
      const end = this.#store(call, keeper.hasStore);
      const isSeen = !isLost && keeper.startedMs === run;
      if (!isSeen) {
        if (keeper.startedMs === run) {
          keeper.mover.noteCallResult({ kind: "unsure" }, this.nowMs);
        }
        return;
      }
      keeper.mover.noteCallResult(end, this.nowMs);
      if (end.kind !== "written" && end.kind !== "found") return;
      keeper.isSettled = true;
      keeper.adopt(end.stored.map);
      for (const other of this.keepers) {
        const isTold = keeper.hasPeers && other.hasPeers && !this.#chance(0.2);
        if (!isTold) continue;
        const otherRun = other.startedMs;
        this.#after(this.#between(1, 40), () => {
          if (other.startedMs === otherRun) other.adopt(end.stored.map);
        });
      }
    });
  }

  #release(
    keeper: ModelKeeper,
    { range, oldOwner: old }: grants.ReleaseCall,
  ): void {
    const server = this.servers.find(({ owner }) =>
      owner.server === old.server
    )!;
    const run = keeper.startedMs;
    const note = (end: { readonly handover: undefined } | "failed") => {
      if (keeper.startedMs !== run) return;
      keeper.mover.noteReleaseResult(range.fence, end, this.nowMs);
    };
    this.#after(this.#between(1, 60), () => {
      if (server.silentUntilMs > this.nowMs) {
        return this.#after(500, () => note("failed"));
      }
      server.release(range);
      this.#after(this.#between(1, 100), () => note({ handover: undefined }));
    });
  }

  #tick(): grants.HandoverTick {
    const usable = new Map(
      this.servers.map(({ owner }) => [
        owner.server,
        { ...owner, slots: 1 } as contracts.RegisteredServer,
      ]),
    );
    return {
      nowMs: this.#traps.noWait ? this.nowMs + 1e6 : this.nowMs,
      usable,
      hasEnded: () => false,
      voters: this.keepers.map(({ vm }) => vm),
      removedVoters: this.#traps.noPromise
        ? new Set(this.keepers.map(({ vm }) => vm))
        : new Set(),
      plan: () => this.#plan(),
      nonce: () => String(this.#version),
      // The service's work turns out to be long after half of the run.
      leaseMs: this.nowMs < RUN_MS / 2 ? TIMINGS.holdMs : LONG_HOLD_MS,
    };
  }

  #plan(): grants.RangeMove[] {
    if (this.nowMs < 1_000 || !this.#chance(0.05)) return [];
    this.moves++;
    const quarter = Math.floor(this.#between(0, 4));
    return [{
      fromKey: quarter * QUARTER,
      toKey: (quarter + 1) * QUARTER - 1,
      to: this.#pick(this.servers).owner,
    }];
  }

  #store(call: grants.MapCall, isReached: boolean): grants.MapCallResult {
    if (!isReached) return { kind: "unsure" };
    if (call.kind === "read") {
      return this.#stored === undefined
        ? { kind: "absent" }
        : { kind: "found", stored: this.#stored };
    }
    const { condition, map } = call;
    const isMet = condition.kind === "absent"
      ? this.#stored === undefined
      : condition.kind === "version" &&
        condition.version === this.#stored?.version;
    if (!isMet) return { kind: "unsure" };
    this.#version++;
    this.#stored = { map, version: String(this.#version) };
    return { kind: "written", stored: this.#stored };
  }
}

const RUNS = Number(process.env["GRANT_MODEL_RUNS"] ?? 40);
const SEED = Number(process.env["GRANT_MODEL_SEED"] ?? 1);

function play(
  traps: Traps,
  runs: number,
): { violations: number; moves: number } {
  let violations = 0;
  let moves = 0;
  for (let index = 0; index < runs; index++) {
    const model = new Model(SEED * 1_000 + index, traps);
    model.run();
    violations += model.violations;
    moves += model.moves;
  }
  return { violations, moves };
}

test("should never let two servers hold a key", () => {
  const { violations, moves } = play({}, RUNS);
  expect(violations).toEqual(0);
  expect(moves > RUNS * 5).toEqual(true);
});

/** Guards against two holders when only the mover reaches the store. */
test("should not move keys while a majority can't be told", () => {
  expect(play({ isFirstApart: true }, 20).violations).toEqual(0);
});

/** Guards against renewals by a keeper that nobody reaches but the servers. */
test("should wait for a keeper that is cut off from its peers and the store", () => {
  expect(play({ isLastApart: true }, 20).violations).toEqual(0);
});

/** Each row leaves one rule out; the model has to show what it prevents. */
const TRAPS: readonly [string, Traps][] = [
  ["evidence ends", { noEvidenceEnd: true, isLastApart: true }],
  ["a mover waits for the last grant", { noWait: true }],
  ["a majority has to know the move", { noPromise: true, isFirstApart: true }],
  ["unanswered grants count after a release", { unansweredForgotten: true }],
];

for (const [rule, traps] of TRAPS) {
  test(`should see two holders without the rule that ${rule}`, () => {
    expect(play(traps, 60).violations > 0).toEqual(true);
  });
}
