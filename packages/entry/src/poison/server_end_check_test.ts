import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as net from "node:net";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import { ServerEndCheck } from "./server_end_check.ts";

async function listen(): Promise<{ server: net.Server; port: number }> {
  const server = net.createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  return { server, port: (server.address() as net.AddressInfo).port };
}

function entryAt(port: number): contracts.RegisteredServer {
  return {
    server: "s1" as contracts.ServerId,
    bornMs: 1,
    service: "svc" as contracts.ServiceId,
    host: "127.0.0.1",
    port,
    zone: "z1" as contracts.ZoneId,
    slots: 2,
    isDraining: false,
    warmUpLeftMs: 0,
  };
}

const NONE_OPEN = { hasOpenConnection: () => false };

test("should tell a server that has ended by its refused connection", async () => {
  const { server, port } = await listen();
  await new Promise((resolve) => server.close(resolve));
  const check = new ServerEndCheck(NONE_OPEN);
  expect(await check.check(entryAt(port))).toEqual("ended");
});

test("should tell a server that accepts a new connection to be running", async () => {
  const { server, port } = await listen();
  const check = new ServerEndCheck(NONE_OPEN);
  expect(await check.check(entryAt(port))).toEqual("running");
  await new Promise((resolve) => server.close(resolve));
});

/** A reset of one connection must not count as the end of its server. */
test("should take an open connection as proof that the server runs", async () => {
  const { server, port } = await listen();
  await new Promise((resolve) => server.close(resolve));
  const check = new ServerEndCheck({ hasOpenConnection: () => true });
  expect(await check.check(entryAt(port))).toEqual("running");
});

/** A partition that refuses connections looks like the end of a server. */
test("should not tell a server that a peer reaches to have ended", async () => {
  const { server, port } = await listen();
  await new Promise((resolve) => server.close(resolve));
  for (const [isReached, condition] of [[true, "unknown"], [false, "ended"]]) {
    const check = new ServerEndCheck(NONE_OPEN, {
      isReachedByPeer: () => Promise.resolve(isReached as boolean),
    });
    expect(await check.check(entryAt(port)) as string).toEqual(
      condition as string,
    );
  }
});

/** A cut link says nothing about the server behind it. */
test("should not tell a server that is not reached to have ended", async () => {
  const check = new ServerEndCheck(NONE_OPEN);
  const entry = { ...entryAt(9), host: "255.255.255.255" };
  expect(await check.check(entry)).toEqual("unknown");
});

/** A crash that looks like a reset for some milliseconds is one all the same. */
test("should tell a server to have ended whose connections close one by one", async () => {
  const { server, port } = await listen();
  let hasOpenConnection = true;
  timers.setTimeout(10).then(() => hasOpenConnection = false);
  await new Promise((resolve) => server.close(resolve));
  const check = new ServerEndCheck({
    hasOpenConnection: () => hasOpenConnection,
  });
  expect(await check.check(entryAt(port))).toEqual("ended");
});

test("should tell a server to have ended that accepts a last connection", async () => {
  const { server, port } = await listen();
  server.once("connection", () => server.close());
  const check = new ServerEndCheck(NONE_OPEN);
  expect(await check.check(entryAt(port))).toEqual("ended");
});
