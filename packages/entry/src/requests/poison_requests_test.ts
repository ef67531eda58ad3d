/** Requests that crash each server that runs them, on the product's interface. */
import { expect } from "earl";
import type * as http from "node:http";
import { test } from "node:test";
import {
  answerOk,
  FakeBackend,
  startEntry,
  type TestEntry,
  withFixture,
} from "./fakes_test_support.ts";

const SERVERS = 6;

/** Servers that crash under a request for `poison`. */
function crashingBackends(): { backends: FakeBackend[]; crashes: string[] } {
  const crashes: string[] = [];
  const backends = Array.from({ length: SERVERS }, () => {
    const backend: FakeBackend = new FakeBackend(
      (incoming: http.IncomingMessage, response: http.ServerResponse) => {
        if (!incoming.url!.includes("poison")) {
          return answerOk(incoming, response);
        }
        crashes.push(backend.address.server);
        backend.server.close();
        backend.server.closeAllConnections();
      },
    );
    return backend;
  });
  return { backends, crashes };
}

async function withEntry(
  run: (entry: TestEntry, crashes: readonly string[]) => Promise<void>,
): Promise<void> {
  const { backends, crashes } = crashingBackends();
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
