/** The limit on held bytes, with real sockets. */
import * as admission from "@guavatide/decisions/admission/mod";
import { expect } from "earl";
import type * as net from "node:net";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import type { FrontAnswer } from "./front_request.ts";
import { FrontFixture } from "./front_test_support.ts";

const MB = 1024 * 1024;
const LIMIT_BYTES = 100 * MB;
/** More than the buffers of the system take for a client that doesn't read. */
const ANSWER_BYTES = 25 * MB;
const LARGE_BODY = Buffer.alloc(ANSWER_BYTES, "x");
const HOST = "Host: booths.example\r\n";
const DOWNLOAD = `GET /download/x HTTP/1.1\r\n${HOST}\r\n`;
const LOOKUP = `GET /x HTTP/1.1\r\n${HOST}Connection: close\r\n\r\n`;
const UPLOAD = `POST /x HTTP/1.1\r\n${HOST}Connection: close\r\n` +
  `Content-Length: 10\r\n`;

function answerTo(target: string): FrontAnswer {
  const isLarge = target.startsWith("/download/");
  const body = isLarge ? LARGE_BODY : Buffer.from("xxxx");
  return { kind: "passed-on", answer: { status: 200, headers: [], body } };
}

async function withFixture(
  run: (
    fixture: FrontFixture,
    held: admission.HeldBytes,
    counts: Map<string, number>,
  ) => Promise<void>,
): Promise<void> {
  const heldBytes = new admission.HeldBytes({
    limitBytes: LIMIT_BYTES,
    random: { next: () => 0.5 },
  });
  const counts = new Map<string, number>();
  const fixture = new FrontFixture(
    ({ target }) => Promise.resolve(answerTo(target)),
    {
      heldBytes,
      count: (event) => counts.set(event, (counts.get(event) ?? 0) + 1),
    },
  );
  await fixture.start();
  try {
    await run(fixture, heldBytes, counts);
  } finally {
    await fixture.lifeCycle.stop();
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const endMs = performance.now() + 15_000;
  while (!condition()) {
    if (performance.now() > endMs) throw new Error(`Timed out: ${condition}`);
    await timers.setTimeout(10);
  }
}

/** Clients that request downloads and don't read them. */
function connectSlowReaders(fixture: FrontFixture, count: number) {
  const sockets: net.Socket[] = [];
  while (sockets.length < count) {
    sockets.push(fixture.connect(DOWNLOAD).pause());
  }
  return sockets;
}

/**
 * Slow readers must not fill the memory, nor keep a VM from serving others for
 * long.
 */
test("should refuse bodies while slow readers hold the memory, then close them", () =>
  withFixture(async (fixture, held, counts) => {
    const sockets = connectSlowReaders(fixture, 4);
    await waitUntil(() => held.heldBytes >= LIMIT_BYTES);
    const startMs = performance.now();
    const refusal = await fixture.exchange(`${UPLOAD}\r\n`);
    expect(refusal.startsWith("HTTP/1.1 503 ")).toEqual(true);
    expect(/retry-after: 1\.250\r\n/i.test(refusal)).toEqual(true);
    const asked = await fixture.exchange(
      `${UPLOAD}Expect: 100-continue\r\n\r\n`,
    );
    expect(asked.startsWith("HTTP/1.1 503 ")).toEqual(true);
    const lookup = await fixture.exchange(LOOKUP);
    expect(lookup.startsWith("HTTP/1.1 200 ")).toEqual(true);
    expect(performance.now() - startMs < 1_000).toEqual(true);
    expect(counts.get("body-refused")).toEqual(2);
    // They stall at different moments: memory stays short until all are closed.
    held.addAnswerBytes(LIMIT_BYTES);
    await waitUntil(() => counts.get("slow-reader") === 4);
    held.addAnswerBytes(-LIMIT_BYTES);
    await waitUntil(() => held.heldBytes === 0);
    expect(counts.get("slow-reader")).toEqual(4);
    const upload = await fixture.exchange(`${UPLOAD}\r\n0123456789`);
    expect(upload.startsWith("HTTP/1.1 200 ")).toEqual(true);
    for (const socket of sockets) socket.destroy();
  }));

/** Near the limit, bodies wait unread instead of being refused. */
test("should delay a body near the limit until there is room", () =>
  withFixture(async (fixture, held, counts) => {
    const sockets = connectSlowReaders(fixture, 3);
    await waitUntil(() => held.heldBytes >= 0.7 * LIMIT_BYTES);
    held.addAnswerBytes(MB);
    const uploading = fixture.exchange(`${UPLOAD}\r\n0123456789`);
    await waitUntil(() => counts.get("body-waited") === 1);
    expect(fixture.requests.filter(({ method }) => method === "POST"))
      .toEqual([]);
    for (const socket of sockets) socket.destroy();
    expect((await uploading).startsWith("HTTP/1.1 200 ")).toEqual(true);
    held.addAnswerBytes(-MB);
    await waitUntil(() => held.heldBytes === 0);
  }));

/** What one connection leaves unread is bounded however much it requests. */
test("should not begin requests of a connection whose answers are unread", () =>
  withFixture(async (fixture) => {
    const socket = fixture.connect(DOWNLOAD.repeat(6)).pause();
    await waitUntil(() => fixture.requests.length > 0);
    let before: number;
    do {
      before = fixture.requests.length;
      await timers.setTimeout(200);
    } while (fixture.requests.length > before);
    socket.write(DOWNLOAD.repeat(6));
    await timers.setTimeout(100);
    expect(fixture.requests.length).toEqual(before);
    socket.destroy();
  }));

/** A client that stops sending its body must not keep room from others. */
test("should answer 408 to a stalled body near the limit", () =>
  withFixture(async (fixture, held, counts) => {
    const stalled = fixture.exchange(`${UPLOAD}\r\n012`);
    await waitUntil(() => held.heldBytes === 10);
    held.addAnswerBytes(0.8 * LIMIT_BYTES);
    expect((await stalled).startsWith("HTTP/1.1 408 ")).toEqual(true);
    expect(counts.get("slow-sender")).toEqual(1);
    expect(held.heldBytes).toEqual(0.8 * LIMIT_BYTES);
  }));
