import { expect } from "earl";
import { test } from "node:test";
import * as z from "zod";
import { LifeCycle } from "../utils/life_cycle.ts";
import { PeerServer } from "./peer_server.ts";
import { PeerClient } from "./peer_client.ts";

const HOST = "127.0.0.1";
const TIMEOUT_MS = 5_000;

async function startServer(lifeCycle: LifeCycle): Promise<number> {
  const door = new PeerServer({ host: HOST, port: 0, secret: "right-secret" });
  door.register("echo", z.strictObject({ text: z.string() }), (given) => given);
  return await door.listen(lifeCycle);
}

// A process that does not know the shared secret reaches a peer's port. The
// call must be refused and its method never run, or anybody on the network
// could tell an entry VM of a newer assignment.
test("should refuse a peer with another secret", async () => {
  const lifeCycle = new LifeCycle();
  const port = await startServer(lifeCycle);
  const link = new PeerClient({ host: HOST, port }, { secret: "wrong-secret" });
  const result = await link.call("echo", {
    params: { text: "hello" },
    schema: z.unknown(),
    timeoutMs: TIMEOUT_MS,
  });
  await link.close();
  await lifeCycle.stop();
  expect(result._unsafeUnwrapErr().kind).toEqual("refused");
});

const REFUSED_CALLS = [
  { name: "an unknown method", method: "no-such", params: { text: "a" } },
  { name: "parameters of another shape", method: "echo", params: { size: 1 } },
];

for (const { name, method, params } of REFUSED_CALLS) {
  test(`should refuse ${name}`, async () => {
    const lifeCycle = new LifeCycle();
    const port = await startServer(lifeCycle);
    const link = new PeerClient({ host: HOST, port }, {
      secret: "right-secret",
    });
    const result = await link.call(method, {
      params,
      schema: z.unknown(),
      timeoutMs: TIMEOUT_MS,
    });
    await link.close();
    await lifeCycle.stop();
    expect(result._unsafeUnwrapErr().kind).toEqual("refused");
  });
}

// The peer has ended and its port is closed: nothing can have run there, and
// the caller of the link may safely ask another VM.
test("should tell that a closed port was not reached", async () => {
  const lifeCycle = new LifeCycle();
  const port = await startServer(lifeCycle);
  await lifeCycle.stop();
  const link = new PeerClient({ host: HOST, port }, { secret: "right-secret" });
  const result = await link.call("echo", {
    params: { text: "hello" },
    schema: z.unknown(),
    timeoutMs: TIMEOUT_MS,
  });
  await link.close();
  expect(result._unsafeUnwrapErr().kind).toEqual("unreachable");
});
