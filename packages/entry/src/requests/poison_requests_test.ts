/** Requests that crash each server that runs them, on the product's interface. */
import { expect } from "earl";
import type * as http from "node:http";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import {
  answerOk,
  FakeBackend,
  startEntry,
  type TestEntry,
  withFixture,
} from "./fakes_test_support.ts";

const SERVERS = 6;
const LEAVES_AFTER_MS = 40;
const CRASHES_AFTER_MS = 150;
const NOTICE_MS = 800;

/** Servers that crash under a request for `poison`. */
function crashingBackends(
  delayMs: number,
): { backends: FakeBackend[]; crashes: string[] } {
  const crashes: string[] = [];
  const backends = Array.from({ length: SERVERS }, () => {
    const backend: FakeBackend = new FakeBackend(
      (incoming: http.IncomingMessage, response: http.ServerResponse) => {
        if (!incoming.url!.includes("poison")) {
          return answerOk(incoming, response);
        }
        setTimeout(() => {
          crashes.push(backend.address.server);
          backend.server.close();
          backend.server.closeAllConnections();
        }, delayMs);
      },
    );
    return backend;
  });
  return { backends, crashes };
}

async function withEntry(
  run: (entry: TestEntry, crashes: readonly string[]) => Promise<void>,
  delayMs = 0,
): Promise<void> {
  const { backends, crashes } = crashingBackends(delayMs);
  await withFixture(
    await startEntry(backends),
    (entry) => run(entry, crashes),
  );
}

/** A retry may not be what crashes the third server. */
test("should let one request of a caller crash two servers at most", () =>
  withEntry(async ({ url }, crashes) => {
    const { status } = await fetch(`${url}/s/booths/poison`);
    expect(status).toEqual(502);
    expect(crashes.length).toEqual(2);
  }));

/** Each repeat must not get the next server. */
test("should refuse what has crashed three servers and serve all else", () =>
  withEntry(async ({ url }, crashes) => {
    for (let turn = 0; turn < 6; turn++) {
      const response = await fetch(`${url}/s/booths/poison`);
      await response.text();
    }
    expect(crashes.length).toEqual(3);
    const refused = await fetch(`${url}/s/booths/poison`);
    expect(refused.status).toEqual(503);
    expect(refused.headers.get("retry-after")).toEqual("60");
    for (let turn = 0; turn < 6; turn++) {
      const { status } = await fetch(`${url}/s/booths/x${turn}`);
      expect(status).toEqual(200);
    }
  }));

/** A server that ends after its caller has left breaks no connection. */
test("should count servers that a request crashes after its caller has left", () =>
  withEntry(async ({ url }, crashes) => {
    for (let turn = 0; turn < SERVERS; turn++) {
      const signal = AbortSignal.timeout(LEAVES_AFTER_MS);
      await fetch(`${url}/s/booths/poison`, { signal }).catch(() => {});
      await timers.setTimeout(NOTICE_MS);
    }
    expect(crashes.length).toEqual(3);
  }, CRASHES_AFTER_MS));
