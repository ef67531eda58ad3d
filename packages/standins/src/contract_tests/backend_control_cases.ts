/**
 * Contract tests of a backend server's control API. The server is `s1` of
 * service `availability`, checks fencing tokens and has no leases yet.
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

/** A client of the server's control API, and the means to inject faults. */
export interface BackendControlFixture {
  readonly control: BackendControl;
  setFaults(faults: BackendFaults): Promise<void>;
  drain(): Promise<void>;
}

type BackendCase = ContractCase<BackendControlFixture>;

const CALL = { timeoutMs: 10_000 };
const SHORT_CALL = { timeoutMs: 60 };
const LEASE_MS = 60_000;

/** A lease command for the whole hash space, without a stamp. */
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

/** The command with the stamp of an earlier reply. */
export function withStamp(
  command: LeaseCommand,
  reply: LeaseCommandReply,
): LeaseCommand {
  return { ...command, stampMs: reply.stampMs, stampInstance: reply.instance };
}

/** All rows of the table. */
export const BACKEND_CONTROL_CASES: readonly BackendCase[] = [
  {
    name: "should accept a lease command only with its own stamp",
    async run({ control }) {
      const first = expectOk(
        await control.sendLeaseCommand(unstampedCommand(1), CALL),
      );
      expect(first.accepted).toEqual(false);
      const command = withStamp(unstampedCommand(1), first);
      const second = expectOk(await control.sendLeaseCommand(command, CALL));
      expect(second.accepted).toEqual(true);
      expect(second.revision).toEqual(1);
      const foreign = { ...command, stampInstance: "another-run" };
      expect(expectOk(await control.sendLeaseCommand(foreign, CALL)).accepted)
        .toEqual(
          false,
        );
    },
  },
  {
    name: "should reply to a stale command with the highest revision it saw",
    async run({ control }) {
      // An entry VM is paused just before it sends a lease command, and sends
      // it after another entry VM has already handed the keys over.
      const first = expectOk(
        await control.sendLeaseCommand(unstampedCommand(5), CALL),
      );
      const stale = withStamp(unstampedCommand(4), first);
      const reply = expectOk(await control.sendLeaseCommand(stale, CALL));
      expect(reply.accepted).toEqual(false);
      expect(reply.revision).toEqual(5);
    },
  },
  {
    name: "should refuse a lease command for another server",
    async run({ control }) {
      // A new server got the address of an old one, and an entry VM still uses
      // that address for the old server.
      const command = { ...unstampedCommand(1), server: "s2" as ServerId };
      expectErrorKind(
        await control.sendLeaseCommand(command, CALL),
        "bad-answer",
      );
    },
  },
  {
    name: "should report that it is draining",
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
    name: "should forward a load report even if it is wrong",
    async run({ control, setFaults }) {
      await setFaults({ load: { inFlight: 99, ageMs: 0, healthy: true } });
      const report = expectOk(await control.load(CALL));
      expect(report.inFlight).toEqual(99);
    },
  },
  {
    name: "should time out a call that hangs, and recover",
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
