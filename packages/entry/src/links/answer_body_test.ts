import { expect } from "earl";
import { test } from "node:test";
import { AnswerBody } from "./answer_body.ts";

/** Sizes on both sides of those at which chunks are copied. */
const SIZES = [1, 5, 511, 512, 513, 20_000, 3, 0, 16_384, 700, 2];

/** Bytes that are copied together must stay complete and in their order. */
test("should return all chunks in their order, whatever their sizes", () => {
  const body = new AnswerBody();
  const expected: number[] = [];
  for (let round = 0; round < 200; round++) {
    for (const [index, size] of SIZES.entries()) {
      // Large chunks in some rounds only, so that blocks are filled as well.
      if (size > 512 && round % 20 !== 0) continue;
      const chunk = new Uint8Array(size).fill((round * 31 + index) % 251);
      body.add(chunk);
      for (const byte of chunk) expected.push(byte);
    }
  }
  expect(Buffer.from(body.bytes()).equals(Buffer.from(expected)))
    .toEqual(true);
});

/** The bytes of most answers must not be copied. */
test("should return the only chunk itself", () => {
  const body = new AnswerBody();
  const chunk = new Uint8Array(10);
  body.add(chunk);
  expect(body.bytes() === chunk).toEqual(true);
});

test("should be empty without chunks", () => {
  expect(new AnswerBody().bytes().length).toEqual(0);
});
