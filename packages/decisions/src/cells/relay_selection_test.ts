import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { RelaySelection } from "./relay_selection.ts";

const [STRONG, ...WEAK] = ["vm1", "vm2", "vm3"] as contracts.VmId[];
const CELL = { live: [STRONG!, ...WEAK], weak: new Set(WEAK) };
const MESSAGES = 50;

function selection(): RelaySelection {
  let state = 1;
  return new RelaySelection({
    next: () => (state = (state * 16_807) % 2_147_483_647) / 2_147_483_647,
  });
}

/** A relay that is lost must not cut its cell off from message after message. */
test("should not choose a relay twice in a row", () => {
  const relays = selection();
  let last: contracts.VmId | undefined;
  for (let message = 0; message < MESSAGES; message++) {
    const relay = relays.choose(CELL, { isLarge: false });
    expect(relay).not.toEqual(last);
    last = relay;
  }
});

/** The only strong VM of a cell may be lost with the large message it relays. */
test("should send a small message after a large one through another relay", () => {
  const relays = selection();
  for (let message = 0; message < MESSAGES; message++) {
    expect(relays.choose(CELL, { isLarge: true })).toEqual(STRONG);
    expect(relays.choose(CELL, { isLarge: false })).not.toEqual(STRONG);
  }
});

test("should choose the only VM of a cell that is up", () => {
  const relays = selection();
  const cell = { ...CELL, live: [WEAK[0]!] };
  expect(relays.choose(cell, { isLarge: true })).toEqual(WEAK[0]);
  expect(relays.choose(cell, { isLarge: false })).toEqual(WEAK[0]);
  expect(relays.choose({ ...cell, live: [] }, { isLarge: false }))
    .toEqual(undefined);
});
