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

/** Sends bytes and gathers everything until the other side closes. */
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
    name: "whose path leads out of the work of the server",
    bytes: "POST /s/booths/../control/ownership HTTP/1.1\r\nHost: x\r\n" +
      "Connection: close\r\n\r\n",
    status: 400,
  },
  {
    name: "whose path does so in another spelling",
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
    name: "for no service",
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

// The rest of a booking whose length was declared too short arrives while the
// booking runs. Told "not run" now, the producer books the hour a second time.
test("should not answer for a request that runs when more arrives", async () => {
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

test("should tell the server when its caller has gone", async () => {
  // A host closes the app while a check runs. Without a word to the server
  // the check would hold one of its few slots for nobody.
  const backend = new FakeBackend(() => {});
  const entry = await startEntry([backend]);
  try {
    const gone = new AbortController();
    const call = fetch(`${entry.url}/s/booths/x`, { signal: gone.signal });
    await waitUntil(() => backend.received.length === 1);
    gone.abort();
    await call.catch(() => {});
    await waitUntil(() => backend.cancelled.length === 1);
    const id = backend.received[0]!.headers[names.REQUEST_ID_HEADER] as string;
    expect(backend.cancelled).toEqual([id]);
  } finally {
    await entry.lifeCycle.stop();
  }
});

test("should let a request in flight end when the process stops", async () => {
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

test("should answer what arrives on an open connection in a stop", async () => {
  // A caller sends its next check on a connection that is open, just as the
  // entry VM is told to stop. Were the connection closed at once, the caller
  // would see it reset and not know what became of the request.
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

test("should try a new connection once an old one went silent", async () => {
  // Something between the two ends lost track of the open connections. They
  // look open, take bytes and never bring an answer; new ones work.
  const silent = new Set<net.Socket>();
  const backend = new FakeBackend((incoming, response) => {
    if (!silent.has(incoming.socket)) answerOk(incoming, response);
  });
  const entry = await startEntry([backend], { service: { slotsPerServer: 4 } });
  try {
    const url = `${entry.url}/s/booths/x`;
    await Promise.all([1, 2, 3].map(() => fetch(url)));
    for (const { socket } of backend.received) silent.add(socket);
    const headers = { [names.TIMEOUT_HEADER]: "150" };
    const lost = await fetch(url, { method: "POST", headers });
    expect(lost.headers.get(names.OUTCOME_HEADER)).toEqual("unknown");
    const next = await fetch(url, { method: "POST" });
    expect(next.headers.get(names.OUTCOME_HEADER)).toEqual("answered");
  } finally {
    await entry.lifeCycle.stop();
  }
});
