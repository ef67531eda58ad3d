import * as decisions from "@guavatide/decisions";
import { expect } from "earl";
import * as http from "node:http";
import * as https from "node:https";
import * as net from "node:net";
import { test } from "node:test";
import * as selfsigned from "selfsigned";
import { AdminFixture } from "./admin_fixture_test_support.ts";

const INVALID_REQUESTS: readonly {
  readonly name: string;
  readonly body: string;
  readonly headers?: Record<string, string>;
  readonly status: number;
}[] = [
  { name: "no JSON", body: "{", status: 400 },
  { name: "a field too many", body: '{"region":"d","x":1}', status: 400 },
  { name: "another name", body: '{"name":"other"}', status: 400 },
  { name: "a body over the limit", body: "x".repeat(5000), status: 413 },
  {
    name: "headers over the limit",
    body: "",
    headers: { "x-long": "x".repeat(3000) },
    status: 431,
  },
];

for (const { name, body, headers, status } of INVALID_REQUESTS) {
  test(`should answer ${status} to ${name}`, async (t) => {
    const desk = await AdminFixture.open(t);
    const port = await desk.server.listen(desk.lifeCycle);
    const seen = await new Promise<number | undefined>((resolve, reject) => {
      const request = http.request({
        host: "127.0.0.1",
        port,
        method: "PUT",
        path: "/v1/objects/place/plateau",
        agent: false,
        headers: {
          "authorization": "Bearer token-of-root",
          "if-none-match": "*",
          ...headers,
        },
      }, (response) => {
        response.resume();
        resolve(response.statusCode);
      });
      request.on("error", reject);
      request.end(body);
    });
    expect(seen).toEqual(status);
  });
}

// Somebody opens a connection and sends a request byte by byte. Connections
// held for good would keep operators out.
test("should end a request whose headers do not arrive", async (t) => {
  const desk = await AdminFixture.open(t, { headerTimeoutMs: 50 });
  const port = await desk.server.listen(desk.lifeCycle);
  const answer = await new Promise<string>((resolve, reject) => {
    const socket = net.connect(port, "127.0.0.1");
    let text = "";
    socket.on("data", (chunk) => text += String(chunk));
    socket.on("error", reject);
    socket.on("close", () => resolve(text));
    socket.write("GET /v1/objects HTTP/1.1\r\n");
  });
  expect(answer.startsWith("HTTP/1.1 408 ")).toEqual(true);
});

// A token that travels in clear can be read by anybody on the way and used to
// change the agreement.
test("should answer over TLS, and nothing else, with a certificate", async (t) => {
  const pems = selfsigned.generate([{ name: "commonName", value: "entry-1" }], {
    keySize: 2048,
    algorithm: "sha256",
  });
  const certificate = { cert: pems.cert, key: pems.private };
  const choice = await decisions.createWatcherSelector();
  const desk = new AdminFixture(choice, {}, certificate);
  t.after(() => desk.lifeCycle.stop());
  const port = await desk.server.listen(desk.lifeCycle);
  const at = { host: "127.0.0.1", port, path: "/v1/check", agent: false };
  const status = await new Promise((resolve, reject) => {
    const options = {
      ...at,
      ca: pems.cert,
      checkServerIdentity: () => undefined,
    };
    https.get(options, (response) => {
      response.resume();
      resolve(response.statusCode);
    }).on("error", reject);
  });
  expect(status).toEqual(401);
  const isRefused = await new Promise((resolve) => {
    http.get(at, () => resolve(false)).on("error", () => resolve(true));
  });
  expect(isRefused).toEqual(true);
});
