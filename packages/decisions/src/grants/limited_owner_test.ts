/** Plans for servers that limit the calls they get. */
import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

const LIMITED_PER_SECOND = 2;
const KEYS_PER_RANGE = contracts.KEY_COUNT / 8;

function owner(index: number): contracts.RangeOwner {
  return { server: `s${index}` as contracts.ServerId, bornMs: 1 };
}

/** Eight ranges, owned by the servers in turn. */
function rangesOf(servers: number): contracts.RangeState[] {
  return Array.from({ length: 8 }, (_, index) => ({
    fromKey: index * KEYS_PER_RANGE,
    toKey: (index + 1) * KEYS_PER_RANGE - 1,
    owner: owner(index % servers),
    fence: index + 1,
  }));
}

/** The same load on a key of each sixteenth part of a range. */
function evenRates(perSecond: number): grants.KeyRate[] {
  const count = 8 * 16;
  return Array.from({ length: count }, (_, index) => ({
    key: index * contracts.KEY_COUNT / count,
    perSecond: perSecond / count,
  }));
}

/** Four servers, of which the first few limit their calls. */
function serversOf(
  limited: number,
  maxRanges: number,
): Map<contracts.ServerId, grants.RangeServer> {
  return new Map(
    Array.from({ length: 4 }, (_, index) => {
      const isLimited = index < limited;
      return [owner(index).server, {
        owner: owner(index),
        capacityPerSecond: isLimited ? LIMITED_PER_SECOND : 60,
        maxRanges: isLimited ? maxRanges : undefined,
      }];
    }),
  );
}

function plan(
  servers: Map<contracts.ServerId, grants.RangeServer>,
  perSecond: number,
): grants.RangeMove[] {
  return grants.planRangeMoves({
    ranges: rangesOf(4),
    servers,
    rates: evenRates(perSecond),
    mayBalance: true,
  });
}

/** First keys of the ranges that a server owns after the moves. */
function firstKeysAfter(
  moves: readonly grants.RangeMove[],
  server: contracts.ServerId,
): number[] {
  const after = grants.startHandovers(rangesOf(4), moves, {
    revision: 2,
    lastFence: 99,
  });
  return after.ranges.filter((range) => range.owner.server === server)
    .map(({ fromKey }) => fromKey);
}

/** Each range of a limited owner is renewed by calls that count. */
test("should leave a limited owner no more ranges than it has room to renew", () => {
  const moves = plan(serversOf(1, 1), 0);
  const limited = owner(0).server;
  expect(firstKeysAfter(moves, limited).length).toEqual(1);
  expect(moves.every(({ to }) => to.server !== limited)).toEqual(true);
});

/** A piece out of the middle of a range leaves two ranges to renew. */
test("should cut load off the end of a limited owner's ranges", () => {
  const moves = plan(serversOf(1, 2), 80);
  expect(moves.length).toBeGreaterThan(0);
  const { server } = owner(0);
  expect(firstKeysAfter(moves, server)).toEqual(firstKeysAfter([], server));
});

/** Moves between owners beyond their limits cost each of them more calls. */
test("should move no keys while all servers limit their calls", () => {
  expect(plan(serversOf(4, 1), 80)).toEqual([]);
});
