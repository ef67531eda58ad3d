import { expect } from "earl";
import type * as net from "node:net";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import { OverheadLimit } from "./answer_limits.ts";

/** What a socket passes on at a time. */
const READ_BYTES = 65_536;
/** What is parsed without a check in between. */
const MAX_PARSED_BYTES = 4_096;
/** Length of a chunk's size and of its two line ends. */
const FRAMING_BYTES = 5;

interface ChunkedBody {
  readonly chunkBytes: number;
  readonly chunks: number;
  /** Infinite for chunks that are sent at once. */
  readonly chunksPerMs: number;
}

/** Number of chunks that a limit lets through. */
function countAccepted(
  { chunkBytes, chunks, chunksPerMs }: ChunkedBody,
): number {
  let nowMs = 0;
  const limit = new OverheadLimit(() => nowMs);
  const sentBytes = chunkBytes + FRAMING_BYTES;
  limit.startAnswer();
  let accepted = 0;
  while (accepted < chunks && !limit.isExceeded()) {
    const perRead = chunksPerMs === Infinity
      ? Math.floor(READ_BYTES / sentBytes)
      : chunksPerMs;
    limit.addReceived(perRead * sentBytes);
    for (let chunk = 0; chunk < perRead; chunk++) limit.addBody(chunkBytes);
    accepted += perRead;
    nowMs += perRead / chunksPerMs;
  }
  return accepted;
}

const SMALL_BODY_BYTES = 200_000;
const AT_ONCE = { chunksPerMs: Infinity };
/** A body of 8 MB is the largest. */
const MAX_BODY_BYTES = 8 * 1_048_576;

/** 180,000 chunks took 0.3 s of a core that other requests need. */
test("should end a body in tiny chunks that are sent at once", () => {
  const chunks = 1_000_000;
  const countOf = (chunkBytes: number) =>
    countAccepted({ ...AT_ONCE, chunkBytes, chunks });
  expect(countOf(16)).toBeLessThan(60_000);
  expect(countOf(4)).toBeLessThan(90_000);
  expect(countOf(1)).toBeLessThan(250_000);
});

/** A small answer is accepted however its server writes it. */
test("should accept a small body in chunks of any size", () => {
  for (const chunkBytes of [1, 4, 16]) {
    const chunks = Math.floor(SMALL_BODY_BYTES / chunkBytes);
    expect(countAccepted({ ...AT_ONCE, chunkBytes, chunks }))
      .toBeGreaterThanOrEqual(chunks);
  }
});

/** A stream that writes a few bytes at a time may last for long. */
test("should accept any number of tiny chunks that come over time", () => {
  const chunks = 1_000_000;
  for (const chunkBytes of [1, 4, 16]) {
    const body = { chunkBytes, chunks, chunksPerMs: 10 };
    expect(countAccepted(body)).toEqual(chunks);
  }
});

/** A server may write each line of a long text on its own. */
test("should accept a body of any length in chunks of a line", () => {
  const chunkBytes = 48;
  const chunks = Math.ceil(MAX_BODY_BYTES / chunkBytes);
  expect(countAccepted({ ...AT_ONCE, chunkBytes, chunks }))
    .toBeGreaterThanOrEqual(chunks);
});

/** Time without an answer must not leave room for more bytes at once. */
test("should count bytes in full after a pause", () => {
  let nowMs = 0;
  const limit = new OverheadLimit(() => nowMs);
  limit.startAnswer();
  limit.addReceived(1 + FRAMING_BYTES);
  limit.addBody(1);
  nowMs = 60_000;
  expect(limit.isExceeded()).toEqual(false);
  limit.addReceived(4 * READ_BYTES);
  expect(limit.isExceeded()).toEqual(true);
});

/** Interim answers and empty lines are no body, however slowly they come. */
test("should not accept more than a head has before a body", () => {
  let nowMs = 0;
  const limit = new OverheadLimit(() => nowMs);
  limit.startAnswer();
  let received = 0;
  while (!limit.isExceeded()) {
    limit.addReceived(1_000);
    received += 1_000;
    nowMs += 100;
  }
  expect(received).toBeLessThan(READ_BYTES + 1_001);
});

/** A head without end took 100 ms and more, as undici parsed it to its end. */
test("should have little parsed at a time, and nothing after an error", () => {
  const stream = new PassThrough({ highWaterMark: 2 * READ_BYTES });
  const limit = new OverheadLimit();
  limit.watch(stream as unknown as net.Socket);
  stream.write(Buffer.alloc(READ_BYTES));
  stream.on("error", () => {});
  let readBytes = 0;
  while (readBytes < READ_BYTES / 2) {
    const { length } = stream.read() as Buffer;
    expect(length).toBeLessThanOrEqual(MAX_PARSED_BYTES);
    readBytes += length;
  }
  stream.destroy(new Error("headers overflow"));
  expect(stream.read()).toEqual(null);
});

/** Small parts must not leave anything unread. */
test("should have all bytes parsed that were received", () => {
  const stream = new PassThrough({ highWaterMark: 2 * READ_BYTES });
  const limit = new OverheadLimit();
  limit.watch(stream as unknown as net.Socket);
  const sent = Buffer.alloc(READ_BYTES - 1, "abcdefg");
  stream.write(sent);
  const parts: Buffer[] = [];
  for (let part = stream.read(); part !== null; part = stream.read()) {
    parts.push(part);
  }
  expect(Buffer.concat(parts).equals(sent)).toEqual(true);
});
