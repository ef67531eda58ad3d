import { expect } from "earl";
import { once } from "node:events";
import * as net from "node:net";
import { test } from "node:test";
import { SystemClock } from "../utils/clock.ts";
import { LifeCycle } from "../utils/life_cycle.ts";
import { RequestScheduler } from "../utils/request_scheduler.ts";
import { CallerListener } from "./caller_listener.ts";
import { notRun } from "./caller_request.ts";
import { REQUEST_DEFAULTS } from "./request_settings.ts";

const SILENT_LOG = { debug() {}, info() {}, warn() {}, error() {} };
const HOST = "127.0.0.1";
/** Processor time of each request. */
const WORK_MS = 5;
const KEPT_CONNECTIONS = 100;
const NEW_CONNECTIONS = 20;
/** A VM that is ready has to take a new connection within this time. */
const BOUND_MS = 3_000;
const REQUEST = `GET /s/x HTTP/1.1\r\nHost: ${HOST}\r\n\r\n`;

function work(): void {
  const endMs = performance.now() + WORK_MS;
  while (performance.now() < endMs);
}

/** Sends a request; resolves to the time until the first byte of its answer. */
async function timeToAnswer(port: number): Promise<number> {
  const startMs = performance.now();
  const socket = net.connect(port, HOST, () => socket.write(REQUEST));
  await once(socket, "data");
  socket.destroy();
  return performance.now() - startMs;
}

/** An iteration of the event loop accepts one connection, however long it is. */
test("should answer new connections beside requests on kept ones", async () => {
  const lifeCycle = new LifeCycle(SILENT_LOG);
  const clock = new SystemClock();
  const scheduler = new RequestScheduler({ clock, log: SILENT_LOG });
  const listener = new CallerListener({
    settings: { ...REQUEST_DEFAULTS, host: HOST, port: 0, lingerMs: 0 },
    clock,
    lifeCycle,
    scheduler,
    route: () => {
      work();
      return Promise.resolve(notRun("queue-full", { message: "Busy" }));
    },
  });
  const port = await listener.listen();
  const kept = Array.from({ length: KEPT_CONNECTIONS }, () => {
    const socket = net.connect(port, HOST, () => socket.write(REQUEST));
    return socket.on("data", () => socket.write(REQUEST)).on("error", () => {});
  });
  await Promise.all(kept.map((socket) => once(socket, "data")));
  try {
    const tookMs = await Promise.all(
      Array.from({ length: NEW_CONNECTIONS }, () => timeToAnswer(port)),
    );
    expect(Math.max(...tookMs)).toBeLessThan(BOUND_MS);
  } finally {
    for (const socket of kept) socket.destroy();
    await lifeCycle.stop();
  }
});
