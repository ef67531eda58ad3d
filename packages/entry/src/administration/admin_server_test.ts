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
  { name: "invalid JSON", body: "{", status: 400 },
  { name: "an unknown field", body: '{"region":"d","x":1}', status: 400 },
  {
    name: "a name that differs from the path",
    body: '{"name":"other"}',
    status: 400,
  },
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
    const fixture = await AdminFixture.open(t);
    const port = await fixture.server.listen(fixture.lifeCycle);
    const actualStatus = await new Promise<number | undefined>(
      (resolve, reject) => {
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
      },
    );
    expect(actualStatus).toEqual(status);
  });
}

// Guards against slow clients that send a request byte by byte: connections
// that stay open use up the connection limit and lock operators out.
test("should close a connection whose request headers time out", async (t) => {
  const fixture = await AdminFixture.open(t, { headerTimeoutMs: 50 });
  const port = await fixture.server.listen(fixture.lifeCycle);
  const response = await new Promise<string>((resolve, reject) => {
    const socket = net.connect(port, "127.0.0.1");
    let text = "";
    socket.on("data", (chunk) => text += String(chunk));
    socket.on("error", reject);
    socket.on("close", () => resolve(text));
    socket.write("GET /v1/objects HTTP/1.1\r\n");
  });
  expect(response.startsWith("HTTP/1.1 408 ")).toEqual(true);
});

// Guards against plain HTTP on a TLS port: a token sent in clear text can be
// read on the network and used to change the configuration.
test("should serve TLS and refuse plain HTTP with a certificate", async (t) => {
  const pems = selfsigned.generate([{ name: "commonName", value: "entry-1" }], {
    keySize: 2048,
    algorithm: "sha256",
  });
  const certificate = { cert: pems.cert, key: pems.private };
  const watcherSelector = await decisions.createWatcherSelector();
  const fixture = new AdminFixture(watcherSelector, {}, certificate);
  t.after(() => fixture.lifeCycle.stop());
  const port = await fixture.server.listen(fixture.lifeCycle);
  const target = { host: "127.0.0.1", port, path: "/v1/check", agent: false };
  const status = await new Promise((resolve, reject) => {
    const options = {
      ...target,
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
    http.get(target, () => resolve(false)).on("error", () => resolve(true));
  });
  expect(isRefused).toEqual(true);
});
