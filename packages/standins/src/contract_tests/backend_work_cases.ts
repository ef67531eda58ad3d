/**
 * Contract tests of how a backend server handles requests. The server is `s1`
 * of the keyed service `availability`, with one slot and a queue of one. It
 * checks fencing tokens and has no leases yet.
 */
import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import type { JournalEntry } from "../backend_server/journal.ts";
import type { BackendFaults } from "../backend_server/settings.ts";
import { unstampedCommand, withStamp } from "./backend_control_cases.ts";
import { type ContractCase, expectOk } from "./contract_case.ts";

/** Response to a request. */
export interface WorkReply {
  readonly status: number;
  readonly requestId: string | undefined;
  readonly notRun: string | undefined;
  /** The parsed JSON body. */
  readonly body: { readonly requestId?: string };
}

/** Options of a request. */
export interface WorkOptions {
  readonly headers: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

/** Access to the server: requests, control API, faults and journal. */
export interface WorkFixture {
  readonly control: contracts.BackendControl;
  /** Sends `POST /serve/x`. Errors: rejects without a complete response. */
  work(options: WorkOptions): Promise<WorkReply>;
  cancel(requestId: string): Promise<void>;
  drain(): Promise<void>;
  setFaults(faults: BackendFaults): Promise<void>;
  journal(): Promise<readonly JournalEntry[]>;
}

type WorkCase = ContractCase<WorkFixture>;

const CALL = { timeoutMs: 10_000 };
const SLICE = unstampedCommand(1).slices[0]!.slice;
const SHORT_LEASE_MS = 150;
const POLL_INTERVAL_MS = 2;
const POLL_TIMEOUT_MS = 10_000;

/** Gives the server a lease for the whole hash space. */
async function acquireLease(fixture: WorkFixture): Promise<void> {
  const { control } = fixture;
  const reply = expectOk(
    await control.sendLeaseCommand(unstampedCommand(1), CALL),
  );
  const command = withStamp(unstampedCommand(1), reply);
  expect(expectOk(await control.sendLeaseCommand(command, CALL)).accepted)
    .toEqual(
      true,
    );
}

function headersOf(
  requestId: string,
  changes: Readonly<Record<string, string>> = {},
): Record<string, string> {
  return {
    [contracts.REQUEST_ID_HEADER]: requestId,
    [contracts.SLICE_HEADER]: SLICE,
    [contracts.FENCE_HEADER]: "1",
    [contracts.KEY_HEADER]: "booth-7",
    [contracts.DEADLINE_HEADER]: "60000",
    ...changes,
  };
}

/** Polls until a condition holds. Errors: rejects after the timeout. */
async function waitUntil(holds: () => Promise<boolean>): Promise<void> {
  const endMs = performance.now() + POLL_TIMEOUT_MS;
  while (!await holds()) {
    if (performance.now() > endMs) throw new Error("Not seen in time");
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

function waitForInFlight(fixture: WorkFixture, count: number): Promise<void> {
  return waitUntil(async () =>
    expectOk(await fixture.control.load(CALL)).inFlight === count
  );
}

async function countStarts(
  fixture: WorkFixture,
  requestId: string,
): Promise<number> {
  const entries = await fixture.journal();
  return entries.filter((entry) =>
    entry.requestId === requestId && entry.step === "start"
  ).length;
}

/** Starts one request that does not finish, and queues a second one. */
async function fillServer(fixture: WorkFixture, queuedOptions: WorkOptions) {
  await acquireLease(fixture);
  await fixture.setFaults({ holdRuns: true });
  const running = fixture.work({ headers: headersOf("running") });
  await waitForInFlight(fixture, 1);
  const queued = fixture.work(queuedOptions);
  // Avoids an unhandled rejection: the test awaits the promise only later.
  queued.catch(() => {});
  await waitForInFlight(fixture, 2);
  return { running, queued };
}

/** Repeats until a request has started within a short lease. */
async function startUnderShortLease(fixture: WorkFixture) {
  for (let attempt = 1;; attempt++) {
    const requestId = `short-${attempt}`;
    const command = { ...unstampedCommand(1), leaseMs: SHORT_LEASE_MS };
    const reply = expectOk(
      await fixture.control.sendLeaseCommand(command, CALL),
    );
    await fixture.control.sendLeaseCommand(withStamp(command, reply), CALL);
    const running = fixture.work({ headers: headersOf(requestId) });
    const refused = running.then(() => true);
    const started = waitForInFlight(fixture, 1).then(() => false);
    if (!await Promise.race([refused, started])) return { running, requestId };
  }
}

const REFUSALS: readonly WorkCase[] = [
  {
    name: "should respond completely and with the id of the request",
    async run(fixture) {
      await acquireLease(fixture);
      const reply = await fixture.work({ headers: headersOf("r1") });
      expect(reply.status).toEqual(200);
      expect(reply.requestId).toEqual("r1");
      expect(reply.body.requestId).toEqual("r1");
    },
  },
  {
    name: "should refuse a key it does not own or with another fencing token",
    async run(fixture) {
      const early = await fixture.work({ headers: headersOf("early") });
      expect(early.notRun).toEqual("not-owner");
      await acquireLease(fixture);
      const headers = headersOf("old", { [contracts.FENCE_HEADER]: "2" });
      expect((await fixture.work({ headers })).notRun).toEqual("not-owner");
      expect(await countStarts(fixture, "old")).toEqual(0);
    },
  },
  {
    name: "should refuse as busy when slots and queue are full",
    async run(fixture) {
      const { running, queued } = await fillServer(fixture, {
        headers: headersOf("behind"),
      });
      const refused = await fixture.work({ headers: headersOf("third") });
      expect(refused.notRun).toEqual("busy");
      await fixture.setFaults({ holdRuns: false });
      expect((await running).status).toEqual(200);
      expect((await queued).status).toEqual(200);
      expect(await countStarts(fixture, "third")).toEqual(0);
    },
  },
  {
    name: "should refuse a request whose deadline passed in the queue",
    async run(fixture) {
      // The caller has given up. Running the request now would make a booking
      // that the caller believes has failed.
      const { running, queued } = await fillServer(fixture, {
        headers: headersOf("behind", { [contracts.DEADLINE_HEADER]: "40" }),
      });
      await new Promise((resolve) => setTimeout(resolve, 50));
      await fixture.setFaults({ holdRuns: false });
      await running;
      expect((await queued).notRun).toEqual("deadline");
      expect(await countStarts(fixture, "behind")).toEqual(0);
    },
  },
];

const TRANSITIONS: readonly WorkCase[] = [
  {
    name: "should refuse new requests while draining and finish accepted ones",
    async run(fixture) {
      // A server that shuts down must complete the requests it has accepted.
      const { running, queued } = await fillServer(fixture, {
        headers: headersOf("behind"),
      });
      await fixture.drain();
      const refused = await fixture.work({ headers: headersOf("new") });
      expect(refused.notRun).toEqual("draining");
      await fixture.setFaults({ holdRuns: false });
      expect((await running).status).toEqual(200);
      expect((await queued).status).toEqual(200);
    },
  },
  {
    name: "should check ownership again when a request leaves the queue",
    async run(fixture) {
      // The key is handed over while a request is queued. Without a second
      // check, two servers would run requests for one key.
      const { running, queued } = await fillServer(fixture, {
        headers: headersOf("behind"),
      });
      const revocation = { ...unstampedCommand(2), slices: [] };
      const reply = expectOk(
        await fixture.control.sendLeaseCommand(revocation, CALL),
      );
      expect(reply.releasing).toEqual([{ slice: SLICE, inFlight: 1 }]);
      await fixture.setFaults({ holdRuns: false });
      expect((await running).status).toEqual(200);
      expect((await queued).notRun).toEqual("not-owner");
      expect(await countStarts(fixture, "behind")).toEqual(0);
    },
  },
  {
    name: "should not commit a request once its lease has expired",
    async run(fixture) {
      // The server's process is paused during a booking. When it resumes,
      // another server owns the key and may have booked the same time slot.
      await fixture.setFaults({ holdRuns: true });
      const { running, requestId } = await startUnderShortLease(fixture);
      await new Promise((resolve) => setTimeout(resolve, SHORT_LEASE_MS));
      await fixture.setFaults({ holdRuns: false });
      expect((await running).notRun).toEqual("not-owner");
      const steps = (await fixture.journal())
        .filter((entry) => entry.requestId === requestId)
        .map((entry) => entry.step);
      expect(steps).toEqual(["start", "abandoned"]);
    },
  },
  {
    name: "should refuse a request after its deadline on the server's clock",
    async run(fixture) {
      // The server was paused with the request in its receive buffers. A
      // remaining time would start over when it resumes; a deadline on its own
      // clock does not.
      await acquireLease(fixture);
      const reply = expectOk(
        await fixture.control.sendLeaseCommand(unstampedCommand(1), CALL),
      );
      const deadlines = [
        { requestId: "late", stamp: `${reply.instance}/${reply.stampMs - 1}` },
        { requestId: "other-run", stamp: `earlier-run/${Infinity}` },
      ];
      for (const { requestId, stamp } of deadlines) {
        const headers = headersOf(requestId, {
          [contracts.DEADLINE_STAMP_HEADER]: stamp,
        });
        expect((await fixture.work({ headers })).notRun).toEqual("deadline");
        expect(await countStarts(fixture, requestId)).toEqual(0);
      }
    },
  },
  {
    name: "should not run a queued request that was cancelled",
    async run(fixture) {
      const { running, queued } = await fillServer(fixture, {
        headers: headersOf("behind"),
      });
      await fixture.cancel("behind");
      expect((await queued).notRun).toEqual("deadline");
      await fixture.setFaults({ holdRuns: false });
      await running;
      expect(await countStarts(fixture, "behind")).toEqual(0);
    },
  },
  {
    name: "should not run a request whose cancellation overtook it",
    async run(fixture) {
      // They use different connections, so either may arrive first.
      await acquireLease(fixture);
      await fixture.cancel("late");
      const reply = await fixture.work({ headers: headersOf("late") });
      expect(reply.notRun).toEqual("deadline");
      expect(await countStarts(fixture, "late")).toEqual(0);
    },
  },
  {
    name: "should not run a queued request whose connection closed",
    async run(fixture) {
      const controller = new AbortController();
      const { running, queued } = await fillServer(fixture, {
        headers: headersOf("behind"),
        signal: controller.signal,
      });
      controller.abort();
      await queued.catch(() => {});
      await waitForInFlight(fixture, 1);
      await fixture.setFaults({ holdRuns: false });
      await running;
      expect(await countStarts(fixture, "behind")).toEqual(0);
    },
  },
];

/** All rows of the table. */
export const BACKEND_WORK_CASES: readonly WorkCase[] = [
  ...REFUSALS,
  ...TRANSITIONS,
];
