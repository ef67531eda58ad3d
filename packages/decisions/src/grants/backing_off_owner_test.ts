/** Plans for owners of keys that have asked entry VMs to back off. */
import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

const SERVER_COUNT = 4;
const KEYS_PER_SERVER = contracts.KEY_COUNT / SERVER_COUNT;
const OWNERS = Array.from({ length: SERVER_COUNT }, (_, index) => ({
  server: `s${index}` as contracts.ServerId,
  bornMs: 1,
}));

function plan(
  backoffOf: (index: number) => grants.ServerBackoff | undefined,
): grants.RangeMove[] {
  const servers = OWNERS.map((owner, index) => {
    const backoff = backoffOf(index);
    const capacityPerSecond = backoff?.isTotal ? 0.06 : 60;
    return [owner.server, { owner, capacityPerSecond, backoff }] as const;
  });
  return grants.planRangeMoves({
    ranges: OWNERS.map((owner, index) => ({
      fromKey: index * KEYS_PER_SERVER,
      toKey: (index + 1) * KEYS_PER_SERVER - 1,
      owner,
      fence: index + 1,
    })),
    servers: new Map(servers),
    rates: Array.from({ length: 64 }, (_, index) => ({
      key: index * contracts.KEY_COUNT / 64,
      perSecond: 0.5,
    })),
    mayBalance: true,
  });
}

function keysIn(moves: readonly grants.RangeMove[]): number {
  return moves.reduce(
    (sum, { fromKey, toKey }) => sum + toKey - fromKey + 1,
    0,
  );
}

/** Each range that moves takes a call that the owner has asked for none of. */
test("should empty an owner that refuses all VMs in the calls that are left", () => {
  for (const maxMoves of [1, 2, Number.POSITIVE_INFINITY]) {
    const moves = plan((index) =>
      index === 0 ? { maxMoves, isTotal: true } : undefined
    );
    expect(moves.length).toEqual(Math.min(maxMoves, 2));
    expect(moves.every(({ toKey }) => toKey < KEYS_PER_SERVER)).toEqual(true);
    // It keeps a key, so that requests show when it serves again.
    expect(keysIn(moves)).toBeGreaterThan(KEYS_PER_SERVER * 0.9);
    expect(keysIn(moves)).toBeLessThan(KEYS_PER_SERVER);
  }
});

test("should move nothing that it can't have released", () => {
  const backoff = { maxMoves: 0, isTotal: true };
  expect(plan((index) => index === 0 ? backoff : undefined)).toEqual([]);
});

/** No owner has room for the keys of another one. */
test("should move nothing while all owners refuse all VMs", () => {
  expect(plan(() => ({ maxMoves: 8, isTotal: true }))).toEqual([]);
});

/** Eight ranges moved to one owner had to be renewed while it was left alone. */
test("should move nothing to an owner that asks any VM to back off", () => {
  const total = { maxMoves: 2, isTotal: true };
  const partial = { maxMoves: 2, isTotal: false };
  expect(plan((index) => index === 0 ? total : partial)).toEqual([]);
  const moves = plan((index) =>
    index === 0 ? total : index === 3 ? undefined : partial
  );
  expect(moves.length).toEqual(2);
  expect(moves.map(({ to }) => to)).toEqual([OWNERS[3]!, OWNERS[3]!]);
});
