import { expect } from "earl";
import { test } from "node:test";
import { HeldBytes, heldBytesLimit } from "./held_bytes.ts";

const MB = 1024 * 1024;
const SMALL_VM_MB = 210;
/** 7 Mbit/s, half for requests that come in and half for those that go out. */
const BODY_BYTES_PER_SECOND = 7e6 / 8 / 2;
const UPLOAD_BYTES = 210_000;
const STEP_MS = 10;

function createHeldBytes(limitBytes: number): HeldBytes {
  const random = { next: () => 0.5 };
  return new HeldBytes({
    limitBytes,
    bytesPerSecond: 2 * BODY_BYTES_PER_SECOND,
    random,
  });
}

/**
 * Sends uploads that the link carries one after another, and that are held for
 * a while after that.
 */
function runUploads(held: HeldBytes, perSecond: number, heldMs: number) {
  const counts = { sent: 0, refused: 0, served: 0, peakBytes: 0, waitMs: 0 };
  const reading: { bytes: number; finish: (nowMs: number) => void }[] = [];
  const ends: { atMs: number; release: () => void }[] = [];
  let nowMs = 0;
  for (; nowMs < 60_000; nowMs += STEP_MS) {
    if (nowMs < 30_000 && nowMs % (1_000 / perSecond) < STEP_MS) {
      counts.sent++;
      const startMs = nowMs;
      const read = () => {
        counts.waitMs = Math.max(counts.waitMs, nowMs - startMs);
        reading.push({
          bytes: UPLOAD_BYTES,
          finish: (atMs) =>
            ends.push({ atMs: atMs + heldMs, release: () => body!.release() }),
        });
      };
      const body = held.admitBody(UPLOAD_BYTES, read);
      if (body === undefined) counts.refused++;
      else if (body.isAdmitted) read();
    }
    let carriedBytes = BODY_BYTES_PER_SECOND * STEP_MS / 1_000;
    while (reading.length > 0 && carriedBytes > 0) {
      const first = reading[0]!;
      const bytes = Math.min(first.bytes, carriedBytes);
      first.bytes -= bytes;
      carriedBytes -= bytes;
      if (first.bytes <= 0) reading.shift()!.finish(nowMs);
    }
    while ((ends[0]?.atMs ?? Infinity) <= nowMs) {
      ends.shift()!.release();
      counts.served++;
    }
    counts.peakBytes = Math.max(counts.peakBytes, held.heldBytes);
  }
  return counts;
}

/** A VM that holds more than its memory is killed with all its requests. */
test("should bound what uploads hold, and serve what it has admitted", () => {
  const limitBytes = heldBytesLimit(SMALL_VM_MB) / 10;
  const held = createHeldBytes(limitBytes);
  const counts = runUploads(held, 10, 400);
  expect(counts.peakBytes <= limitBytes).toEqual(true);
  expect(counts.refused > 0).toEqual(true);
  expect(counts.served).toEqual(counts.sent - counts.refused);
  expect(held.heldBytes).toEqual(0);
  // The link is the bottleneck, so it must never stand idle meanwhile.
  const carried = counts.served * UPLOAD_BYTES / BODY_BYTES_PER_SECOND;
  expect(carried >= 30).toEqual(true);
});

/** A limit that normal load reaches would refuse what could be served. */
test("should refuse nothing under the uploads of a normal day", () => {
  const held = createHeldBytes(heldBytesLimit(SMALL_VM_MB));
  const { refused, waitMs } = runUploads(held, 2, 8_000);
  expect(refused).toEqual(0);
  expect(waitMs).toEqual(0);
});

/** Bodies that wait must not keep waiting when answers have been written. */
test("should let bodies wait near the limit, in their order", () => {
  const held = createHeldBytes(10 * MB);
  const read: string[] = [];
  held.addAnswerBytes(7 * MB);
  const first = held.admitBody(MB, () => read.push("first"))!;
  const second = held.admitBody(MB, () => read.push("second"))!;
  expect([first.isAdmitted, second.isAdmitted]).toEqual([false, false]);
  expect(held.admitBody(2 * MB, () => {})).toEqual(undefined);
  held.addAnswerBytes(-MB);
  expect(read).toEqual(["first"]);
  first.resize(0.5 * MB);
  expect(read).toEqual(["first", "second"]);
  first.release();
  second.release();
  held.addAnswerBytes(-6 * MB);
  expect(held.heldBytes).toEqual(0);
});

/** A caller that gave up must not hold its place. */
test("should forget a body that is released while it waits", () => {
  const held = createHeldBytes(10 * MB);
  held.addAnswerBytes(9 * MB);
  held.admitBody(MB, () => expect("read").toEqual("released"))!.release();
  held.addAnswerBytes(-9 * MB);
  expect(held.isNearLimit).toEqual(false);
});

/** Without a setting nothing changes. */
test("should admit everything without a limit", () => {
  const held = createHeldBytes(heldBytesLimit(undefined));
  held.addAnswerBytes(1_000 * MB);
  expect(held.admitBody(1_000 * MB, () => {})?.isAdmitted).toEqual(true);
  expect(held.isNearLimit).toEqual(false);
});

/** A retry before there is room is refused again. */
test("should name a retry time by which the link has made room", () => {
  const held = createHeldBytes(10 * MB);
  held.addAnswerBytes(10 * MB);
  const excessMs = 1_000 * 2.7 * MB / (2 * BODY_BYTES_PER_SECOND);
  const retryAfterMs = held.retryAfterMs(0.2 * MB);
  expect(retryAfterMs >= excessMs && retryAfterMs < 2 * excessMs)
    .toEqual(true);
});
