import { expect } from "earl";
import { test } from "node:test";
import { ChangeBuffer } from "./change_buffer.ts";

function fill(
  { batches, characters }: {
    readonly batches: number;
    readonly characters: number;
  },
): ChangeBuffer {
  const buffer = new ChangeBuffer();
  for (let position = 1; position <= batches; position++) {
    const value = String(position).padEnd(characters);
    const object = { name: "servers/i-1", version: String(position), value };
    buffer.add({
      fromPosition: position - 1,
      toPosition: position,
      events: [{ name: object.name, object }],
      madeAfterMs: 0,
    });
  }
  return buffer;
}

test("should keep the changes after a position", () => {
  const buffer = fill({ batches: 10, characters: 300 });
  expect(buffer.after(7).map(({ toPosition }) => toPosition))
    .toEqual([8, 9, 10]);
});

test("should keep a limited number of batches", () => {
  const buffer = fill({ batches: 200, characters: 300 });
  expect(buffer.after(0).length).toEqual(64);
  expect(buffer.after(0).at(-1)!.toPosition).toEqual(200);
});

/** Guards against VMs that the limit of their heap ends for large objects. */
test("should keep few batches of large objects", () => {
  const buffer = fill({ batches: 64, characters: 1_048_576 });
  expect(buffer.after(0).map(({ toPosition }) => toPosition))
    .toEqual([57, 58, 59, 60, 61, 62, 63, 64]);
});

test("should keep small changes that follow one larger than the limit", () => {
  const buffer = fill({ batches: 1, characters: 9_000_000 });
  expect(buffer.after(0)).toEqual([]);
  buffer.add({
    fromPosition: 1,
    toPosition: 2,
    events: [{ name: "servers/i-1" }],
    madeAfterMs: 0,
  });
  expect(buffer.after(0).length).toEqual(1);
});
