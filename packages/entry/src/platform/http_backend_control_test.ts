/** Replies to control calls that belong to another call. */
import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as http from "node:http";
import type * as net from "node:net";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import { HttpBackendControl } from "./http_backend_control.ts";

const TIMEOUT_MS = 300;

function commandOf(revision: number): contracts.LeaseCommand {
  return {
    service: "s" as contracts.ServiceId,
    server: "s1" as contracts.ServerId,
    revision,
    leaseMs: 1_000,
    slices: [],
  };
}

/** Body of a reply that says that nothing is being released. */
function replyTo(revision: number): string {
  const reply: contracts.LeaseCommandReply = {
    instance: "run-1",
    stampMs: 1,
    revision,
    accepted: true,
    releasing: [],
    draining: false,
    checksFences: true,
  };
  return JSON.stringify(reply);
}

/**
 * Runs a test with a server that answers the first command twice, the second
 * time after `delayMs`, and no other.
 */
async function withServer(
  { delayMs, echoes }: { readonly delayMs: number; readonly echoes: boolean },
  run: (control: HttpBackendControl) => Promise<void>,
): Promise<void> {
  let calls = 0;
  const server = http.createServer((request, response) => {
    request.resume();
    if (calls++ > 0) return;
    const id = request.headers[contracts.REQUEST_ID_HEADER];
    const echo = echoes ? `${contracts.REQUEST_ID_HEADER}: ${id}\r\n` : "";
    const body = replyTo(1);
    const { socket } = request;
    const answer = () =>
      socket.write(
        `HTTP/1.1 200 OK\r\n${echo}content-length: ${body.length}\r\n\r\n${body}`,
      );
    response.detachSocket(socket);
    answer();
    setTimeout(answer, delayMs);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const control = new HttpBackendControl(`http://127.0.0.1:${port}`);
  try {
    await run(control);
  } finally {
    await control.close();
    server.closeAllConnections();
    server.close();
  }
}

for (const delayMs of [20, 40, 200]) {
  /** Slices would count as released while their requests still run. */
  test(`should not take an extra reply ${delayMs} ms late for that of the next command`, () =>
    withServer({ delayMs, echoes: true }, async (control) => {
      const options = { timeoutMs: TIMEOUT_MS };
      const first = await control.sendLeaseCommand(commandOf(1), options);
      expect(first.isOk()).toEqual(true);
      await timers.setTimeout(5);
      const second = await control.sendLeaseCommand(commandOf(1), options);
      expect(second.isErr()).toEqual(true);
    }));

  /** A server of an earlier version sends no id. */
  test(`should not take an extra reply without id ${delayMs} ms late for that of a command of a later revision`, () =>
    withServer({ delayMs, echoes: false }, async (control) => {
      const options = { timeoutMs: TIMEOUT_MS };
      const first = await control.sendLeaseCommand(commandOf(1), options);
      expect(first.isOk()).toEqual(true);
      await timers.setTimeout(5);
      const second = await control.sendLeaseCommand(commandOf(2), options);
      expect(second.isErr()).toEqual(true);
    }));
}
