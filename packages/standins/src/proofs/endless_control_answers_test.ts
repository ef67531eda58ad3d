/** Control calls and calls to the platform whose answers come without end. */
import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import type { ServerAddress } from "guavatide/contracts/views";
import {
  CONNECTION_POOLS_DEFAULTS,
  ConnectionPools,
} from "guavatide/links/connection_pools";
import { HttpBackendControl } from "guavatide/platform/http_backend_control";
import { HttpPlatformStore } from "guavatide/platform/http_platform_store";
import { HttpVmList } from "guavatide/platform/http_vm_list";
import { LifeCycle } from "guavatide/utils/life_cycle";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import {
  ENDLESS_SHAPES,
  type EndlessShape,
} from "../backend_server/endless_answer.ts";
import { EndlessServer } from "../backend_server/endless_server.ts";

const TIMEOUT_MS = 2_500;
/** A call that is ended by a bound ends long before its time limit. */
const MAX_DURATION_MS = TIMEOUT_MS / 2;
const MIB = 1_048_576;
/** What socket buffers take in. */
const BUFFERED_BYTES = 15 * MIB;
/** Part of a core that an entry VM has, for all its work. */
const MAX_PROCESSOR_MS = 540;
const OPTIONS = { timeoutMs: TIMEOUT_MS };
const WHOLE_ANSWER: EndlessShape = "more answers after a whole one";

const ADDRESS: Omit<ServerAddress, "port"> = {
  server: "s1" as contracts.ServerId,
  service: "s" as contracts.ServiceId,
  zone: "z1" as contracts.ZoneId,
  host: "127.0.0.1",
  state: "live",
};
const COMMAND: contracts.LeaseCommand = {
  service: ADDRESS.service,
  server: ADDRESS.server,
  revision: 1,
  leaseMs: 1_000,
  slices: [],
};

/** A kind of call, with the largest body of its answer. */
interface CallKind {
  readonly name: string;
  readonly maxBodyBytes: number;
  /** Makes one call and closes its client when `ended` resolves. */
  call(origin: string, ended: () => Promise<void>): Promise<void>;
}

const CALL_KINDS: readonly CallKind[] = [
  {
    name: "a lease command",
    maxBodyBytes: MIB,
    async call(origin, ended) {
      const control = new HttpBackendControl(origin);
      await control.sendLeaseCommand(COMMAND, OPTIONS);
      await ended();
      await control.close();
    },
  },
  {
    name: "a probe of a server",
    maxBodyBytes: MIB,
    async call(origin, ended) {
      const lifeCycle = new LifeCycle();
      const options = {
        ...CONNECTION_POOLS_DEFAULTS,
        controlTimeoutMs: TIMEOUT_MS,
      };
      const pools = new ConnectionPools(options, lifeCycle);
      await pools.probe({ ...ADDRESS, port: Number(new URL(origin).port) });
      await ended();
      await lifeCycle.stop();
    },
  },
  {
    name: "a call for the VM list",
    maxBodyBytes: 16 * MIB,
    async call(origin, ended) {
      const list = new HttpVmList(origin);
      await list.fetch(OPTIONS);
      await ended();
      await list.close();
    },
  },
  {
    name: "a call to the store",
    maxBodyBytes: 64 * MIB,
    async call(origin, ended) {
      const store = new HttpPlatformStore(`${origin}/v1`);
      await store.get("a", OPTIONS);
      await ended();
      await store.close();
    },
  },
];

/** Waits until the server's connection has ended. */
async function waitForTransfer(server: EndlessServer): Promise<void> {
  const endMs = performance.now() + TIMEOUT_MS;
  while (server.transfers.length === 0 && performance.now() < endMs) {
    await timers.setTimeout(5);
  }
}

/** Parsing such an answer until the time limit of its call took a whole core. */
for (const kind of CALL_KINDS) {
  for (const shape of ENDLESS_SHAPES) {
    test(`should bound the answer to ${kind.name}: ${shape} without end`, async () => {
      const server = new EndlessServer({ shape });
      const port = await server.listen();
      try {
        const startMs = performance.now();
        const before = process.cpuUsage();
        const origin = `http://127.0.0.1:${port}`;
        await kind.call(origin, () => waitForTransfer(server));
        const { user, system } = process.cpuUsage(before);
        const tookMs = performance.now() - startMs;
        const processorMs = (user + system) / 1_000;
        const [transfer] = server.transfers;

        expect(tookMs).toBeLessThan(MAX_DURATION_MS);
        expect(processorMs).toBeLessThan(MAX_PROCESSOR_MS);
        expect(transfer!.sentBytes)
          .toBeLessThan(kind.maxBodyBytes + BUFFERED_BYTES);
        if (shape !== WHOLE_ANSWER) expect(transfer!.isReset).toEqual(true);
      } finally {
        await server.close();
      }
    });
  }
}
