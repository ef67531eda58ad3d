/** The HTTP adapters and the stand-ins, against the contract tables. */
import {
  NOT_RUN_HEADER,
  REQUEST_ID_HEADER,
  type ServerId,
  type ServiceId,
  type ZoneId,
} from "@guavatide/contracts";
import { expect } from "earl";
import * as platform from "guavatide/platform/mod";
import { MonotonicClock } from "guavatide/utils/clock";
import { test } from "node:test";
import * as undici from "undici";
import { BackendApp } from "../backend_server/backend_app.ts";
import type { JournalEntry } from "../backend_server/journal.ts";
import {
  type BackendFaults,
  backendSettingsSchema,
} from "../backend_server/settings.ts";
import * as serve from "../http/serve.ts";
import { StoreApp } from "../platform_store/store_app.ts";
import { getJson, originOf, postJson } from "../processes/mod.ts";
import { TcpRelay } from "../relay/tcp_relay.ts";
import { VmListApp } from "../vm_list/vm_list_app.ts";
import { BACKEND_CONTROL_CASES } from "./backend_control_cases.ts";
import {
  BACKEND_WORK_CASES,
  type WorkOptions,
  type WorkReply,
} from "./backend_work_cases.ts";
import { expectErrorKind, expectOk } from "./contract_case.ts";
import { PLATFORM_STORE_CASES } from "./platform_store_cases.ts";
import { VM_LIST_CASES } from "./vm_list_cases.ts";

for (const row of PLATFORM_STORE_CASES) {
  test(`store: ${row.name}`, async () => {
    const app = new StoreApp();
    const listening = await serve.listen(app.hono, { port: 0 });
    const store = new platform.HttpPlatformStore(originOf(listening.port));
    const faultsUrl = `${originOf(listening.port)}/faults`;
    try {
      await row.run({
        store,
        setFaults: async (faults) => void await postJson(faultsUrl, faults),
        counters: () => Promise.resolve(app.counters),
      });
    } finally {
      await store.close();
      await listening.close();
    }
  });
}

for (const row of VM_LIST_CASES) {
  test(`VM list: ${row.name}`, async () => {
    const app = new VmListApp(new MonotonicClock(), {});
    const listening = await serve.listen(app.hono, { port: 0 });
    const origin = originOf(listening.port);
    const list = new platform.HttpVmList(origin);
    try {
      await row.run({
        list,
        set: async (vms) => void await postJson(`${origin}/vms`, { vms }),
        setFaults: async (faults) =>
          void await postJson(`${origin}/faults`, faults),
      });
    } finally {
      await list.close();
      await listening.close();
    }
  });
}

async function startBackend() {
  const settings = backendSettingsSchema.parse({
    server: "s1" as ServerId,
    service: "availability" as ServiceId,
    zone: "yoff" as ZoneId,
    slots: 1,
    queueLimit: 1,
  });
  const app = new BackendApp(settings, {
    clock: new MonotonicClock(),
    instance: "run-1",
  });
  const listening = await serve.listen(app.hono, { port: 0 });
  const origin = originOf(listening.port);
  const control = new platform.HttpBackendControl(origin);
  return {
    origin,
    control,
    setFaults: async (faults: BackendFaults) =>
      void await postJson(`${origin}/faults`, faults),
    drain: async () => void await postJson(`${origin}/control/drain`, {}),
    journal: () => getJson(`${origin}/journal`) as Promise<JournalEntry[]>,
    cancel: async (requestId: string) => {
      const url = `${origin}/control/requests/${requestId}`;
      const response = await undici.request(url, { method: "DELETE" });
      await response.body.dump();
    },
    work: (options: WorkOptions) => sendWork(origin, options),
    close: async () => {
      await control.close();
      await listening.close();
    },
  };
}

async function sendWork(
  origin: string,
  options: WorkOptions,
): Promise<WorkReply> {
  const response = await undici.request(`${origin}/serve/x`, {
    method: "POST",
    ...options,
  });
  const text = await response.body.text();
  return {
    status: response.statusCode,
    requestId: response.headers[REQUEST_ID_HEADER]?.toString(),
    notRun: response.headers[NOT_RUN_HEADER]?.toString(),
    body: JSON.parse(text),
  };
}

for (const row of BACKEND_CONTROL_CASES) {
  test(`backend control: ${row.name}`, async () => {
    const fixture = await startBackend();
    try {
      await row.run(fixture);
    } finally {
      await fixture.close();
    }
  });
}

for (const row of BACKEND_WORK_CASES) {
  test(`backend work: ${row.name}`, async () => {
    const fixture = await startBackend();
    try {
      await row.run(fixture);
    } finally {
      await fixture.close();
    }
  });
}

for (const mode of ["silent", "cut"] as const) {
  test(`store: should leave a connection that went ${mode}`, async () => {
    // Something between the entry VM and the store has lost track of the
    // connections that are open, while new ones work. If the client kept them,
    // every call would time out although the store is up.
    const app = new StoreApp();
    const listening = await serve.listen(app.hono, { port: 0 });
    const link = new TcpRelay({ host: "127.0.0.1", port: listening.port });
    const store = new platform.HttpPlatformStore(
      originOf(await link.listen(0)),
    );
    const options = { timeoutMs: 300, cursor: "0", waitMs: 200 };
    try {
      const watching = store.watch("a", options);
      while (app.counters.watch === 0) await serve.delay(1);
      link.setFaults({ mode });
      app.table.put("a", "1", { kind: "any" });
      expectErrorKind(await watching, "unavailable");
      link.setFaults({ mode: "pass" });
      const next = expectOk(await store.get("a", { timeoutMs: 10_000 }));
      expect(next.value).toEqual("1");
    } finally {
      await store.close();
      await link.close();
      await listening.close();
    }
  });
}
