/** Contract tests of the platform's VM list. */
import type { ListedVm, VmList } from "@guavatide/contracts";
import { expect } from "earl";
import type { VmListFaults } from "../vm_list/vm_list_app.ts";
import {
  type ContractCase,
  expectErrorKind,
  expectOk,
} from "./contract_case.ts";

/** A VM list, and the means to set it and to inject faults. */
export interface VmListFixture {
  readonly list: VmList;
  set(vms: readonly ListedVm[]): Promise<void>;
  setFaults(faults: VmListFaults): Promise<void>;
}

type VmListCase = ContractCase<VmListFixture>;

const CALL = { timeoutMs: 10_000 };
const SHORT_CALL = { timeoutMs: 60 };
const LISTED_VM = {
  kind: "backend",
  server: "s1",
  service: "availability",
  zone: "yoff",
  host: "127.0.0.1",
  port: 7001,
  state: "leaving",
} as ListedVm;

/** All rows of the table. */
export const VM_LIST_CASES: readonly VmListCase[] = [
  {
    name: "should return each entry as it was set",
    async run({ list, set }) {
      await set([LISTED_VM]);
      expect(expectOk(await list.fetch(CALL)).vms).toEqual([LISTED_VM]);
    },
  },
  {
    name: "should return the older list while it lags",
    async run({ list, set, setFaults }) {
      // A VM has failed and the platform still lists it. A client that relies
      // on the list alone would send requests to it.
      await setFaults({ lagMs: 60_000 });
      await set([LISTED_VM]);
      expect(expectOk(await list.fetch(CALL)).vms).toEqual([]);
      await setFaults({ lagMs: 0 });
      expect(expectOk(await list.fetch(CALL)).vms).toEqual([LISTED_VM]);
    },
  },
  ...(["hang", "refuse"] as const).map((outage): VmListCase => ({
    name: `should end a call in an outage (${outage}) and recover`,
    async run({ list, set, setFaults }) {
      await set([LISTED_VM]);
      await setFaults({ outage });
      expectErrorKind(await list.fetch(SHORT_CALL), "unavailable");
      await setFaults({ outage: "none" });
      expect(expectOk(await list.fetch(CALL)).vms).toEqual([LISTED_VM]);
    },
  })),
];
