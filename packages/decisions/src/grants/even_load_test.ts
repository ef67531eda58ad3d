/** Balance moves under an even load of long requests, counted as it arrives. */
import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

const SERVERS = 13;
const REQUESTS_PER_SECOND = 28;
/** Three slots, and work of about half a second. */
const CAPACITY_PER_SECOND = 6;
const PLAN_MS = 250;
const RUN_MS = 30_000;

/** A linear congruential generator: the same arrivals in every run. */
class Arrivals {
  #state = 12_345;

  next(): number {
    this.#state = (this.#state * 1_103_515_245 + 12_345) % 2 ** 31;
    return this.#state / 2 ** 31;
  }
}

function countMoves(): number {
  const arrivals = new Arrivals();
  const owners = Array.from({ length: SERVERS }, (_, index) => ({
    server: `s${index}` as contracts.ServerId,
    bornMs: 1,
  }));
  const servers = new Map(
    owners.map((owner) => [
      owner.server,
      { owner, capacityPerSecond: CAPACITY_PER_SECOND },
    ]),
  );
  let ranges = grants.initialRanges(
    owners.map((owner) => ({ ...owner, slots: 3 })),
  );
  const loads = new grants.KeyRateTracker();
  let moves = 0;
  for (let nowMs = 0; nowMs < RUN_MS; nowMs += PLAN_MS) {
    loads.decay(nowMs);
    const due = REQUESTS_PER_SECOND * PLAN_MS / 1_000;
    for (let count = 0; count < due; count++) {
      const key = Math.floor(arrivals.next() * contracts.KEY_COUNT);
      loads.add([[key, 1]]);
    }
    const plan = grants.planRangeMoves({
      ranges,
      servers,
      rates: loads.rates(),
      mayBalance: nowMs >= 1_000,
    });
    moves += plan.length;
    const next = grants.startHandovers(ranges, plan, {
      revision: nowMs + 2,
      lastFence: nowMs * 100 + SERVERS,
    });
    ranges = grants.finishHandovers(next.ranges, () => true);
  }
  return moves;
}

/** Guards against keys that move because counts of a short time scatter. */
test("should move next to nothing while load is even", () => {
  expect(countMoves() <= 15).toEqual(true);
});
