/**
 * Contract-test table of a backend server's control side. The server is
 * `s1` of service `availability`, checks fences and holds nothing yet.
 */
import type {
  BackendControl,
  LeaseCommand,
  LeaseCommandReply,
  ServerId,
  ServiceId,
  SliceId,
} from "@guavatide/contracts";
import { expect } from "earl";
import type { BackendFaults } from "../backend_server/settings.ts";
import {
  type ContractCase,
  expectErrorKind,
  expectOk,
} from "./contract_case.ts";

/** A server's control side and the control of its faults. */
export interface BackendControlFixture {
  readonly control: BackendControl;
  setFaults(faults: BackendFaults): Promise<void>;
  drain(): Promise<void>;
}

type BackendCase = ContractCase<BackendControlFixture>;

const CALL = { timeoutMs: 10_000 };
const SHORT_CALL = { timeoutMs: 60 };
const LEASE_MS = 60_000;

/** An order for the whole hash space, without a stamp. */
export function unstampedCommand(revision: number): LeaseCommand {
  return {
    service: "availability" as ServiceId,
    server: "s1" as ServerId,
    revision,
    leaseMs: LEASE_MS,
    slices: [{
      slice: "0-100000000" as SliceId,
      fromHash: 0,
      toHash: 2 ** 32,
      fence: revision,
    }],
  };
}

/** The same order with the stamp of an earlier reply. */
export function withStamp(
  order: LeaseCommand,
  reply: LeaseCommandReply,
): LeaseCommand {
  return { ...order, stampMs: reply.stampMs, stampInstance: reply.instance };
}

/** Every row of the table. */
export const BACKEND_CONTROL_CASES: readonly BackendCase[] = [
  {
    name: "should accept an order only with its own stamp",
    async run({ control }) {
      const first = expectOk(
        await control.sendLeaseCommand(unstampedCommand(1), CALL),
      );
      expect(first.accepted).toEqual(false);
      const order = withStamp(unstampedCommand(1), first);
      const second = expectOk(await control.sendLeaseCommand(order, CALL));
      expect(second.accepted).toEqual(true);
      expect(second.revision).toEqual(1);
      const foreign = { ...order, stampInstance: "another-run" };
      expect(expectOk(await control.sendLeaseCommand(foreign, CALL)).accepted)
        .toEqual(
          false,
        );
    },
  },
  {
    name: "should answer a stale order with the highest revision it saw",
    async run({ control }) {
      // A keeper was paused with an order in hand and sends it on waking,
      // when another has already moved the keys.
      const first = expectOk(
        await control.sendLeaseCommand(unstampedCommand(5), CALL),
      );
      const stale = withStamp(unstampedCommand(4), first);
      const answer = expectOk(await control.sendLeaseCommand(stale, CALL));
      expect(answer.accepted).toEqual(false);
      expect(answer.revision).toEqual(5);
    },
  },
  {
    name: "should refuse an order for another server",
    async run({ control }) {
      // An address was given to a new server while a keeper still used it for
      // the old one.
      const order = { ...unstampedCommand(1), server: "s2" as ServerId };
      expectErrorKind(
        await control.sendLeaseCommand(order, CALL),
        "bad-answer",
      );
    },
  },
  {
    name: "should say that it drains",
    async run({ control, drain }) {
      await drain();
      const reply = expectOk(
        await control.sendLeaseCommand(unstampedCommand(1), CALL),
      );
      expect(reply.draining).toEqual(true);
      expect(expectOk(await control.load(CALL)).draining).toEqual(true);
    },
  },
  {
    name: "should pass on a load report even when it misleads",
    async run({ control, setFaults }) {
      await setFaults({ load: { inFlight: 99, ageMs: 0, healthy: true } });
      const report = expectOk(await control.load(CALL));
      expect(report.inFlight).toEqual(99);
    },
  },
  {
    name: "should end a call that hangs by its deadline and recover",
    async run({ control, setFaults }) {
      await setFaults({ controlHangs: true });
      expectErrorKind(
        await control.sendLeaseCommand(unstampedCommand(1), SHORT_CALL),
        "timeout",
      );
      expectErrorKind(await control.load(SHORT_CALL), "timeout");
      await setFaults({ controlHangs: false });
      expect((await control.load(CALL)).isOk()).toEqual(true);
    },
  },
];
