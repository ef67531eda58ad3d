import { expect } from "earl";
import * as http from "node:http";
import { test } from "node:test";
import * as httpServer from "../utils/http_server.ts";
import { HttpVmList } from "./http_vm_list.ts";

const HOST = "127.0.0.1";

/**
 * Guards against one entry with an unusable address that hides all other VMs, or
 * ends the process where its address becomes part of a URL.
 */
test("should leave out entries whose address can't be used", async () => {
  const entryOf = (vm: string, host: string, port: number) => ({
    kind: "entry",
    vm,
    zone: "z1",
    host,
    port,
    state: "live",
  });
  const vms = [
    entryOf("vm1", "10.0.0.1", 7_401),
    entryOf("vm2", "10.0.0.256", 7_401),
    entryOf("vm3", "10.0.0.3", 70_000),
    entryOf("vm4", "fe80::1%eth0", 7_401),
    { kind: "entry" },
    entryOf("vm6", "::1", 7_401),
  ];
  const server = http.createServer((_request, response) => {
    response.end(JSON.stringify({ vms }));
  });
  const port = await httpServer.listenOn(server, { host: HOST, port: 0 });
  const list = new HttpVmList(`http://${HOST}:${port}`);
  const result = await list.fetch({ timeoutMs: 1_000 });
  await list.close();
  server.close();
  const names = result._unsafeUnwrap().vms.map(({ vm }) => vm as string);
  expect(names).toEqual(["vm1", "vm6"]);
});
