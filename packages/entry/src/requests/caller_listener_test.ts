import * as names from "@guavatide/contracts";
import { expect } from "earl";
import * as net from "node:net";
import { test } from "node:test";
import {
  answerOk,
  FakeBackend,
  startEntry,
  waitUntil,
} from "./fakes_test_support.ts";

/** Sends raw bytes and reads the response until the connection is closed. */
function exchange(url: string, bytes: string): Promise<string> {
  const { hostname, port } = new URL(url);
  const socket = net.connect(Number(port), hostname);
  socket.write(bytes);
  return readToEnd(socket);
}

function readToEnd(socket: net.Socket): Promise<string> {
  return new Promise((resolve, reject) => {
    let answer = "";
    socket.on("data", (chunk) => answer += chunk);
    socket.on("end", () => resolve(answer));
    socket.on("error", reject);
  });
}

interface BadRequestCase {
  readonly name: string;
  readonly bytes: string;
  readonly status: number;
}

const CASES: readonly BadRequestCase[] = [
  { name: "malformed", bytes: "HELLO\r\n\r\n", status: 400 },
  {
    name: "with a header that is too large",
    bytes: `GET / HTTP/1.1\r\nx: ${"x".repeat(20_000)}\r\n\r\n`,
    status: 431,
  },
  {
    name: "with a declared body that is too large",
    bytes: "POST /s/booths/x HTTP/1.1\r\nHost: x\r\n" +
      "Content-Length: 2000\r\n\r\n",
    status: 413,
  },
  {
    name: "with a body that grows too large",
    bytes: "POST /s/booths/x HTTP/1.1\r\nHost: x\r\n" +
      "Transfer-Encoding: chunked\r\n\r\n" +
      `7d0\r\n${"x".repeat(2000)}\r\n`,
    status: 413,
  },
  {
    name: "that arrives too slowly",
    bytes: "GET /s/booths/x HTTP/1.1\r\nHost:",
    status: 408,
  },
  {
    name: "whose path escapes from the callers' part of the server",
    bytes: "POST /s/booths/../control/ownership HTTP/1.1\r\nHost: x\r\n" +
      "Connection: close\r\n\r\n",
    status: 400,
  },
  {
    name: "whose path escapes with percent-encoding",
    bytes: "POST /s/booths/a%2F%2e%2E/x HTTP/1.1\r\nHost: x\r\n" +
      "Connection: close\r\n\r\n",
    status: 400,
  },
  {
    name: "that is longer than it declares",
    bytes: "POST /s/booths/x HTTP/1.1\r\nHost: x\r\n" +
      "Content-Length: 2\r\n\r\nabREST\r\n\r\n",
    status: 400,
  },
  {
    name: "without a service",
    bytes: "GET /other HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    status: 400,
  },
];

for (const { name, bytes, status } of CASES) {
  test(`should refuse a request ${name}`, async () => {
    const backend = new FakeBackend();
    const entry = await startEntry([backend], {
      settings: {
        bodyLimitBytes: 1000,
        headersTimeoutMs: 200,
        requestTimeoutMs: 300,
      },
    });
    try {
      const answer = await exchange(entry.url, bytes);
      expect(answer.split(" ")[1]).toEqual(String(status));
      expect(answer.toLowerCase()).toInclude("guavatide-outcome: not-run");
      expect(backend.received.length).toEqual(0);
    } finally {
      await entry.lifeCycle.stop();
    }
  });
}

// The rest of a request whose declared length was too short arrives while the
// request runs. An answer "not run" would make the caller send it again.
test("should not answer not-run to extra bytes while a request runs", async () => {
  const backend = new FakeBackend(() => {});
  const entry = await startEntry([backend]);
  try {
    const url = new URL(entry.url);
    const socket = net.connect(Number(url.port), url.hostname);
    const answers = readToEnd(socket).catch(() => "");
    socket.write(
      "POST /s/booths/x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab",
    );
    await waitUntil(() => backend.received.length === 1);
    socket.write("REST\r\n\r\n");
    expect(await answers).toEqual("");
  } finally {
    await entry.lifeCycle.stop();
  }
});

test("should cancel a request at the server when its caller disconnects", async () => {
  // Without a cancellation the request would occupy one of the server's few
  // slots although nobody awaits its answer.
  const backend = new FakeBackend(() => {});
  const entry = await startEntry([backend]);
  try {
    const disconnect = new AbortController();
    const call = fetch(`${entry.url}/s/booths/x`, {
      signal: disconnect.signal,
    });
    await waitUntil(() => backend.received.length === 1);
    disconnect.abort();
    await call.catch(() => {});
    await waitUntil(() => backend.cancelled.length === 1);
    const id = backend.received[0]!.headers[names.REQUEST_ID_HEADER] as string;
    expect(backend.cancelled).toEqual([id]);
  } finally {
    await entry.lifeCycle.stop();
  }
});

test("should finish a request in flight when the process stops", async () => {
  let release = () => {};
  const backend = new FakeBackend((incoming, response) => {
    release = () => answerOk(incoming, response);
  });
  const entry = await startEntry([backend]);
  const call = fetch(`${entry.url}/s/booths/x`);
  await waitUntil(() => backend.received.length === 1);
  const stopped = entry.lifeCycle.stop();
  release();
  expect((await call).status).toEqual(200);
  const report = await stopped;
  expect(report.failed).toEqual([]);
});

test("should answer a request that arrives on an open connection during a stop", async () => {
  // A caller sends its next request on an open connection just as the entry VM
  // begins to stop. If the connection were closed at once, the caller would see
  // a reset and not know whether the request ran.
  const entry = await startEntry([new FakeBackend()], {
    settings: { lingerMs: 5000 },
  });
  const url = new URL(entry.url);
  const socket = net.connect(Number(url.port), url.hostname);
  const answers = readToEnd(socket);
  socket.write("GET /s/booths/x HTTP/1.1\r\nHost: x\r\n\r\n");
  await waitUntil(() => socket.bytesRead > 0);
  const stopped = entry.lifeCycle.stop();
  socket.write("GET /s/booths/x HTTP/1.1\r\nHost: x\r\n\r\n");
  const [, first, second] = (await answers).split("HTTP/1.1 ");
  expect(first!.startsWith("200")).toEqual(true);
  expect(second!.startsWith("200")).toEqual(true);
  expect(second!.toLowerCase()).toInclude("connection: close");
  expect((await stopped).failed).toEqual([]);
});

test("should open a new connection when existing ones are unresponsive", async () => {
  // A middlebox has dropped the state of the open connections. They look open
  // and accept bytes but never deliver an answer; new connections work.
  const deadSockets = new Set<net.Socket>();
  const backend = new FakeBackend((incoming, response) => {
    if (!deadSockets.has(incoming.socket)) answerOk(incoming, response);
  });
  const entry = await startEntry([backend], { service: { slotsPerServer: 4 } });
  try {
    const url = `${entry.url}/s/booths/x`;
    await Promise.all([1, 2, 3].map(() => fetch(url)));
    for (const { socket } of backend.received) deadSockets.add(socket);
    const headers = { [names.TIMEOUT_HEADER]: "150" };
    const first = await fetch(url, { method: "POST", headers });
    expect(first.headers.get(names.OUTCOME_HEADER)).toEqual("unknown");
    const next = await fetch(url, { method: "POST" });
    expect(next.headers.get(names.OUTCOME_HEADER)).toEqual("answered");
  } finally {
    await entry.lifeCycle.stop();
  }
});
