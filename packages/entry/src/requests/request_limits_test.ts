import * as names from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import { answerOk, FakeBackend, startEntry } from "./fakes_test_support.ts";

const LIMIT_PER_SECOND = 3;
const LOAD_PER_SECOND = 60;
const WINDOW_MS = 4_000;
const ALLOWED = 1.5 * LIMIT_PER_SECOND * WINDOW_MS / 1_000 + 5;

/** A server that names its limit as long as it has one. */
class LimitedBackend extends FakeBackend {
  limit: string | undefined = String(LIMIT_PER_SECOND);
  readonly receivedAtMs: number[] = [];

  constructor() {
    super((incoming, response) => {
      this.receivedAtMs.push(performance.now());
      if (this.limit !== undefined) {
        response.setHeader(names.REQUEST_LIMIT_HEADER, this.limit);
      }
      answerOk(incoming, response);
    });
  }

  countSince(fromMs: number): number {
    return this.receivedAtMs.filter((atMs) => atMs >= fromMs).length;
  }
}

async function sendLoad(url: string, durationMs: number): Promise<number[]> {
  const sent: Promise<number>[] = [];
  const startMs = performance.now();
  while (performance.now() - startMs < durationMs) {
    const response = fetch(`${url}/s/booths/x`, { method: "POST" });
    sent.push(response.then(async (it) => {
      await it.text();
      return it.status;
    }));
    await timers.setTimeout(1_000 / LOAD_PER_SECOND);
  }
  return await Promise.all(sent);
}

/** Servers of the product's own interface may be in need as well. */
test("should keep the limit that a server names while another takes the rest", async () => {
  const limited = new LimitedBackend();
  const entry = await startEntry([limited, new FakeBackend()]);
  try {
    await sendLoad(entry.url, 500);
    const fromMs = performance.now();
    const statuses = await sendLoad(entry.url, WINDOW_MS);
    expect(limited.countSince(fromMs)).toBeLessThanOrEqual(ALLOWED);
    expect(new Set(statuses)).toEqual(new Set([200]));
    limited.limit = undefined;
    await sendLoad(entry.url, 2_000);
    const endMs = performance.now();
    const later = await sendLoad(entry.url, 1_000);
    expect(limited.countSince(endMs)).toBeGreaterThan(later.length / 5);
  } finally {
    await entry.lifeCycle.stop();
  }
});

/** Text that is no rate would end the limit before it. */
test("should keep a limit while the server's answers name a malformed one", async () => {
  const limited = new LimitedBackend();
  const entry = await startEntry([limited, new FakeBackend()]);
  try {
    await sendLoad(entry.url, 1_000);
    limited.limit = "a few";
    const fromMs = performance.now();
    await sendLoad(entry.url, WINDOW_MS);
    expect(limited.countSince(fromMs)).toBeLessThanOrEqual(ALLOWED);
  } finally {
    await entry.lifeCycle.stop();
  }
});
