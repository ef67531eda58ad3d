import { expect } from "earl";
import { test } from "node:test";
import * as z from "zod";
import { LifeCycle } from "../utils/life_cycle.ts";
import { PeerServer } from "./peer_server.ts";
import { PeerClient } from "./peer_client.ts";

const HOST = "127.0.0.1";
const TIMEOUT_MS = 5_000;

async function startServer(lifeCycle: LifeCycle): Promise<number> {
  const server = new PeerServer({
    host: HOST,
    port: 0,
    secret: "right-secret",
  });
  server.register(
    "echo",
    z.strictObject({ text: z.string() }),
    (given) => given,
  );
  return await server.listen(lifeCycle);
}

// A process without the shared secret connects to a peer's port. Its call must be
// refused without running the method. Otherwise anyone on the network could send
// an entry VM a newer assignment.
test("should refuse a peer with another secret", async () => {
  const lifeCycle = new LifeCycle();
  const port = await startServer(lifeCycle);
  const client = new PeerClient({ host: HOST, port }, {
    secret: "wrong-secret",
  });
  const result = await client.call("echo", {
    params: { text: "hello" },
    schema: z.unknown(),
    timeoutMs: TIMEOUT_MS,
  });
  await client.close();
  await lifeCycle.stop();
  expect(result._unsafeUnwrapErr().kind).toEqual("refused");
});

const REFUSED_CALLS = [
  { name: "an unknown method", method: "no-such", params: { text: "a" } },
  {
    name: "parameters that do not match the schema",
    method: "echo",
    params: { size: 1 },
  },
];

for (const { name, method, params } of REFUSED_CALLS) {
  test(`should refuse ${name}`, async () => {
    const lifeCycle = new LifeCycle();
    const port = await startServer(lifeCycle);
    const client = new PeerClient({ host: HOST, port }, {
      secret: "right-secret",
    });
    const result = await client.call(method, {
      params,
      schema: z.unknown(),
      timeoutMs: TIMEOUT_MS,
    });
    await client.close();
    await lifeCycle.stop();
    expect(result._unsafeUnwrapErr().kind).toEqual("refused");
  });
}

// The peer has stopped and its port is closed: it can't have executed the call,
// so the caller may safely call another VM.
test("should report a closed port as unreachable", async () => {
  const lifeCycle = new LifeCycle();
  const port = await startServer(lifeCycle);
  await lifeCycle.stop();
  const client = new PeerClient({ host: HOST, port }, {
    secret: "right-secret",
  });
  const result = await client.call("echo", {
    params: { text: "hello" },
    schema: z.unknown(),
    timeoutMs: TIMEOUT_MS,
  });
  await client.close();
  expect(result._unsafeUnwrapErr().kind).toEqual("unreachable");
});
