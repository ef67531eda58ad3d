import * as names from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import { answerOk, FakeBackend, startEntry } from "./fakes_test_support.ts";

const DELAY_MS = 2_000;
/** Requests cross the answer that asks for none this long. */
const CROSSING_MS = 500;
const ALLOWED = 2;
const PAUSE_MS = 15;

/** A server that turns requests away and says for how long. */
class RestingBackend extends FakeBackend {
  isResting = true;
  readonly receivedAtMs: number[] = [];
  readonly askedAtMs: number[] = [];

  constructor() {
    super((incoming, response) => {
      this.receivedAtMs.push(performance.now());
      if (!this.isResting) return answerOk(incoming, response);
      this.askedAtMs.push(performance.now());
      const id = incoming.headers[names.REQUEST_ID_HEADER]!;
      response.writeHead(503, {
        [names.REQUEST_ID_HEADER]: id,
        [names.NOT_RUN_HEADER]: "busy",
        "retry-after": String(DELAY_MS / 1_000),
        "content-length": "0",
      }).end();
    });
  }

  /** The most requests within a time in which it had asked for none. */
  mostWithinBackoff(): number {
    return Math.max(
      0,
      ...this.askedAtMs.map((askedMs) =>
        this.receivedAtMs.filter((atMs) =>
          atMs > askedMs + CROSSING_MS && atMs < askedMs + DELAY_MS
        ).length
      ),
    );
  }
}

async function sendLoad(url: string, durationMs: number) {
  const sent: Promise<{ status: number; tookMs: number; wait: number }>[] = [];
  const startMs = performance.now();
  while (performance.now() - startMs < durationMs) {
    const sentMs = performance.now();
    const response = fetch(`${url}/s/booths/x`, { method: "POST" });
    sent.push(response.then(async (it) => {
      await it.text();
      return {
        status: it.status,
        tookMs: performance.now() - sentMs,
        wait: Number(it.headers.get("retry-after")),
      };
    }));
    await timers.setTimeout(PAUSE_MS);
  }
  return await Promise.all(sent);
}

/** A server that refuses within a millisecond must not look idle. */
test("should leave a server alone for as long as its refusals say", async () => {
  const resting = new RestingBackend();
  const entry = await startEntry([resting, new FakeBackend()]);
  try {
    const responses = await sendLoad(entry.url, 2 * DELAY_MS);
    expect(resting.askedAtMs.length > 0).toEqual(true);
    expect(resting.mostWithinBackoff()).toBeLessThanOrEqual(ALLOWED);
    expect(new Set(responses.map(({ status }) => status)))
      .toEqual(new Set([200]));
    resting.isResting = false;
    await sendLoad(entry.url, DELAY_MS);
    const fromMs = performance.now();
    await sendLoad(entry.url, 1_000);
    expect(resting.receivedAtMs.some((atMs) => atMs > fromMs)).toEqual(true);
  } finally {
    await entry.lifeCycle.stop();
  }
});

/** Callers must not wait for a server that takes nothing. */
test("should refuse at once while all servers ask to be left alone", async () => {
  const servers = [new RestingBackend(), new RestingBackend()];
  const entry = await startEntry(servers);
  try {
    const responses = await sendLoad(entry.url, DELAY_MS);
    for (const server of servers) {
      expect(server.mostWithinBackoff()).toBeLessThanOrEqual(ALLOWED);
    }
    expect(new Set(responses.map(({ status }) => status)))
      .toEqual(new Set([503]));
    const times = responses.map(({ tookMs }) => tookMs).sort((a, b) => a - b);
    expect(times[Math.floor(times.length / 2)]!).toBeLessThan(100);
    const longest = Math.max(...responses.map(({ wait }) => wait));
    expect(longest).toEqual(DELAY_MS / 1_000);
  } finally {
    await entry.lifeCycle.stop();
  }
});
