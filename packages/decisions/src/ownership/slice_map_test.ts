import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as fc from "fast-check";
import { test } from "node:test";
import * as sliceMap from "./slice_map.ts";

const A = "a" as contracts.ServerId;
const B = "b" as contracts.ServerId;

function owned(fromHash: number, toHash: number): contracts.Slice {
  return { fromHash, toHash, state: "owned", server: A, fence: 1, from: [] };
}

test("should find the slice of every hash", () => {
  const map = sliceMap.SliceMap.create(
    sliceMap.equalSlices([A, B], 7, { fence: 1 }),
  )._unsafeUnwrap();
  const hash = fc.integer({ min: 0, max: contracts.HASH_SPACE - 1 });
  fc.assert(fc.property(hash, (hash) => {
    const slice = map.find(hash);
    expect(slice.fromHash <= hash && hash < slice.toHash).toEqual(true);
  }));
});

const REFUSED: readonly [string, contracts.Slice[], string][] = [
  ["a gap", [owned(0, 8), owned(9, contracts.HASH_SPACE)], "gap"],
  ["an end that is missing", [owned(0, 8)], "gap"],
  ["an overlap", [owned(0, 8), owned(7, contracts.HASH_SPACE)], "overlap"],
  [
    "a vacating slice that names no earlier owner",
    [{ ...owned(0, contracts.HASH_SPACE), state: "vacating" }],
    "bad-state",
  ],
];
for (const [name, slices, kind] of REFUSED) {
  test(`should refuse ${name}`, () => {
    const map = sliceMap.SliceMap.create(slices);
    expect(map._unsafeUnwrapErr().kind as string).toEqual(kind);
  });
}

test("should split a slice and keep its owner and fence in both parts", () => {
  const whole = sliceMap.SliceMap.create([owned(0, contracts.HASH_SPACE)])
    ._unsafeUnwrap();
  const id = contracts.sliceIdOf(whole.slices[0]!);
  const parts = whole.split(id, 100)._unsafeUnwrap();
  expect(parts.slices).toEqual([
    owned(0, 100),
    owned(100, contracts.HASH_SPACE),
  ]);
  const [first, second] = parts.slices.map(contracts.sliceIdOf);
  const merged = parts.merge(first!, second!)._unsafeUnwrap();
  expect(merged.slices).toEqual(whole.slices);
});
