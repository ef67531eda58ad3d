/** Contract-test table of the platform's VM list. */
import type { ListedVm, VmList } from "@guavatide/contracts";
import { expect } from "earl";
import type { VmListFaults } from "../vm_list/vm_list_app.ts";
import {
  type ContractCase,
  expectErrorKind,
  expectOk,
} from "./contract_case.ts";

/** A list, the means to set it, and the control of its faults. */
export interface VmListFixture {
  readonly list: VmList;
  set(vms: readonly ListedVm[]): Promise<void>;
  setFaults(faults: VmListFaults): Promise<void>;
}

type VmListCase = ContractCase<VmListFixture>;

const CALL = { timeoutMs: 10_000 };
const SHORT_CALL = { timeoutMs: 60 };
const LINE = {
  kind: "backend",
  server: "s1",
  service: "availability",
  zone: "yoff",
  host: "127.0.0.1",
  port: 7001,
  state: "leaving",
} as ListedVm;

/** Every row of the table. */
export const VM_LIST_CASES: readonly VmListCase[] = [
  {
    name: "should tell each line as it was set",
    async run({ list, set }) {
      await set([LINE]);
      expect(expectOk(await list.fetch(CALL)).vms).toEqual([LINE]);
    },
  },
  {
    name: "should tell the older list while it lags",
    async run({ list, set, setFaults }) {
      // A VM is gone and the platform goes on listing it. Whoever trusts the
      // list alone sends work to it.
      await setFaults({ lagMs: 60_000 });
      await set([LINE]);
      expect(expectOk(await list.fetch(CALL)).vms).toEqual([]);
      await setFaults({ lagMs: 0 });
      expect(expectOk(await list.fetch(CALL)).vms).toEqual([LINE]);
    },
  },
  ...(["hang", "refuse"] as const).map((outage): VmListCase => ({
    name: `should end a call in an outage (${outage}) and recover`,
    async run({ list, set, setFaults }) {
      await set([LINE]);
      await setFaults({ outage });
      expectErrorKind(await list.fetch(SHORT_CALL), "unavailable");
      await setFaults({ outage: "none" });
      expect(expectOk(await list.fetch(CALL)).vms).toEqual([LINE]);
    },
  })),
];
