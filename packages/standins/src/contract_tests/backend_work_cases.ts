/**
 * Contract-test table of a backend server's work side. The server is `s1` of
 * the keyed service `availability`, with one slot and a queue of one; it
 * checks fences and holds nothing yet.
 */
import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import type { JournalEntry } from "../backend_server/journal.ts";
import type { BackendFaults } from "../backend_server/settings.ts";
import { unstampedCommand, withStamp } from "./backend_control_cases.ts";
import { type ContractCase, expectOk } from "./contract_case.ts";

/** What a work request was answered. */
export interface WorkReply {
  readonly status: number;
  readonly requestId: string | undefined;
  readonly notRun: string | undefined;
  /** Whole, as JSON. */
  readonly body: { readonly requestId?: string };
}

/** Options of a work request. */
export interface WorkOptions {
  readonly headers: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

/** A server's work side, its control side and its journal. */
export interface WorkFixture {
  readonly control: contracts.BackendControl;
  /** Sends `POST /serve/x`. Errors: rejects without a whole answer. */
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
const LOOK_EVERY_MS = 2;
const SEEN_WITHIN_MS = 10_000;

async function own(fixture: WorkFixture): Promise<void> {
  const { control } = fixture;
  const reply = expectOk(
    await control.sendLeaseCommand(unstampedCommand(1), CALL),
  );
  const order = withStamp(unstampedCommand(1), reply);
  expect(expectOk(await control.sendLeaseCommand(order, CALL)).accepted)
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

/** Waits until a condition holds; rejects after the deadline. */
async function until(holds: () => Promise<boolean>): Promise<void> {
  const endMs = performance.now() + SEEN_WITHIN_MS;
  while (!await holds()) {
    if (performance.now() > endMs) throw new Error("Not seen in time");
    await new Promise((resolve) => setTimeout(resolve, LOOK_EVERY_MS));
  }
}

function untilInFlight(fixture: WorkFixture, count: number): Promise<void> {
  return until(async () =>
    expectOk(await fixture.control.load(CALL)).inFlight === count
  );
}

async function startsOf(
  fixture: WorkFixture,
  requestId: string,
): Promise<number> {
  const entries = await fixture.journal();
  return entries.filter((entry) =>
    entry.requestId === requestId && entry.step === "start"
  ).length;
}

/** One request runs and is held; a second one waits behind it. */
async function fillServer(fixture: WorkFixture, waiting: WorkOptions) {
  await own(fixture);
  await fixture.setFaults({ holdRuns: true });
  const running = fixture.work({ headers: headersOf("running") });
  await untilInFlight(fixture, 1);
  const behind = fixture.work(waiting);
  // A rejection is looked at later than it comes.
  behind.catch(() => {});
  await untilInFlight(fixture, 2);
  return { running, behind };
}

/** Tries until a request has started before the lease was over. */
async function startUnderShortLease(fixture: WorkFixture) {
  for (let attempt = 1;; attempt++) {
    const requestId = `short-${attempt}`;
    const first = { ...unstampedCommand(1), leaseMs: SHORT_LEASE_MS };
    const reply = expectOk(await fixture.control.sendLeaseCommand(first, CALL));
    await fixture.control.sendLeaseCommand(withStamp(first, reply), CALL);
    const running = fixture.work({ headers: headersOf(requestId) });
    const refused = running.then(() => true);
    const started = untilInFlight(fixture, 1).then(() => false);
    if (!await Promise.race([refused, started])) return { running, requestId };
  }
}

const REFUSALS: readonly WorkCase[] = [
  {
    name: "should answer whole and with the request's own id",
    async run(fixture) {
      await own(fixture);
      const reply = await fixture.work({ headers: headersOf("r1") });
      expect(reply.status).toEqual(200);
      expect(reply.requestId).toEqual("r1");
      expect(reply.body.requestId).toEqual("r1");
    },
  },
  {
    name: "should refuse a key it does not own, or of another fence",
    async run(fixture) {
      const early = await fixture.work({ headers: headersOf("early") });
      expect(early.notRun).toEqual("not-owner");
      await own(fixture);
      const headers = headersOf("old", { [contracts.FENCE_HEADER]: "2" });
      expect((await fixture.work({ headers })).notRun).toEqual("not-owner");
      expect(await startsOf(fixture, "old")).toEqual(0);
    },
  },
  {
    name: "should refuse as busy when slots and queue are full",
    async run(fixture) {
      const { running, behind } = await fillServer(fixture, {
        headers: headersOf("behind"),
      });
      const refused = await fixture.work({ headers: headersOf("third") });
      expect(refused.notRun).toEqual("busy");
      await fixture.setFaults({ holdRuns: false });
      expect((await running).status).toEqual(200);
      expect((await behind).status).toEqual(200);
      expect(await startsOf(fixture, "third")).toEqual(0);
    },
  },
  {
    name: "should refuse a request whose deadline passed in the queue",
    async run(fixture) {
      // The caller has given up. Running the request now would book a slot
      // for a host who was told that the booking failed.
      const { running, behind } = await fillServer(fixture, {
        headers: headersOf("behind", { [contracts.DEADLINE_HEADER]: "40" }),
      });
      await new Promise((resolve) => setTimeout(resolve, 50));
      await fixture.setFaults({ holdRuns: false });
      await running;
      expect((await behind).notRun).toEqual("deadline");
      expect(await startsOf(fixture, "behind")).toEqual(0);
    },
  },
];

const TRANSITIONS: readonly WorkCase[] = [
  {
    name: "should refuse new work while draining and finish what it has",
    async run(fixture) {
      // A server that is shut down must cut nobody off.
      const { running, behind } = await fillServer(fixture, {
        headers: headersOf("behind"),
      });
      await fixture.drain();
      const refused = await fixture.work({ headers: headersOf("new") });
      expect(refused.notRun).toEqual("draining");
      await fixture.setFaults({ holdRuns: false });
      expect((await running).status).toEqual(200);
      expect((await behind).status).toEqual(200);
    },
  },
  {
    name: "should check ownership again when a request leaves the queue",
    async run(fixture) {
      // The key moves while a request waits. Two servers would run work for
      // one key if the wait did not end in a second look.
      const { running, behind } = await fillServer(fixture, {
        headers: headersOf("behind"),
      });
      const taken = { ...unstampedCommand(2), slices: [] };
      const reply = expectOk(
        await fixture.control.sendLeaseCommand(taken, CALL),
      );
      expect(reply.releasing).toEqual([{ slice: SLICE, inFlight: 1 }]);
      await fixture.setFaults({ holdRuns: false });
      expect((await running).status).toEqual(200);
      expect((await behind).notRun).toEqual("not-owner");
      expect(await startsOf(fixture, "behind")).toEqual(0);
    },
  },
  {
    name: "should not let a run take effect once its lease has ended",
    async run(fixture) {
      // The server's process is stopped while it makes a booking. When it
      // goes on, the key belongs to another, who may have sold the same hour.
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
    name: "should refuse a request after its moment on the server's clock",
    async run(fixture) {
      // The server was frozen with the request in its buffers. Time left
      // would count anew from waking; the moment on its own clock does not.
      await own(fixture);
      const reply = expectOk(
        await fixture.control.sendLeaseCommand(unstampedCommand(1), CALL),
      );
      const moments = [
        { requestId: "late", stamp: `${reply.instance}/${reply.stampMs - 1}` },
        { requestId: "other-run", stamp: `earlier-run/${Infinity}` },
      ];
      for (const { requestId, stamp } of moments) {
        const headers = headersOf(requestId, {
          [contracts.DEADLINE_STAMP_HEADER]: stamp,
        });
        expect((await fixture.work({ headers })).notRun).toEqual("deadline");
        expect(await startsOf(fixture, requestId)).toEqual(0);
      }
    },
  },
  {
    name: "should not run a waiting request that was cancelled",
    async run(fixture) {
      const { running, behind } = await fillServer(fixture, {
        headers: headersOf("behind"),
      });
      await fixture.cancel("behind");
      expect((await behind).notRun).toEqual("deadline");
      await fixture.setFaults({ holdRuns: false });
      await running;
      expect(await startsOf(fixture, "behind")).toEqual(0);
    },
  },
  {
    name: "should not run a request whose cancellation overtook it",
    async run(fixture) {
      // The two go over different connections, so either may come first.
      await own(fixture);
      await fixture.cancel("late");
      const reply = await fixture.work({ headers: headersOf("late") });
      expect(reply.notRun).toEqual("deadline");
      expect(await startsOf(fixture, "late")).toEqual(0);
    },
  },
  {
    name: "should not run a waiting request whose connection closed",
    async run(fixture) {
      const controller = new AbortController();
      const { running, behind } = await fillServer(fixture, {
        headers: headersOf("behind"),
        signal: controller.signal,
      });
      controller.abort();
      await behind.catch(() => {});
      await untilInFlight(fixture, 1);
      await fixture.setFaults({ holdRuns: false });
      await running;
      expect(await startsOf(fixture, "behind")).toEqual(0);
    },
  },
];

/** Every row of the table. */
export const BACKEND_WORK_CASES: readonly WorkCase[] = [
  ...REFUSALS,
  ...TRANSITIONS,
];
