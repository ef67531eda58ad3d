import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { CellPlan, type CellServer, type CellVm } from "./cell_plan.ts";

function vms(zones: Record<string, number>): CellVm[] {
  return Object.entries(zones).flatMap(([zone, count]) =>
    Array.from({ length: count }, (_, index) => ({
      vm: `${zone}-${String(index).padStart(4, "0")}` as contracts.VmId,
      zone: zone as contracts.ZoneId,
    }))
  );
}

function servers(zones: Record<string, number>): CellServer[] {
  return vms(zones).map(({ vm, zone }) => ({
    server: `s-${vm}` as string as contracts.ServerId,
    zone,
  }));
}

test("should keep a small deployment in one cell that uses all servers", () => {
  const all = vms({ a: 3, b: 2, c: 1, d: 2 });
  const plan = new CellPlan(all);
  expect(plan.isSingle).toEqual(true);
  expect(plan.members(all[0]!.vm).length).toEqual(8);
  expect(plan.serversOf(all[0]!.vm, servers({ a: 3, x: 2 })).size).toEqual(5);
});

test("should use each server in exactly one cell of its own zone", () => {
  const all = vms({ a: 20, b: 22, c: 18 });
  const plan = new CellPlan(all);
  const available = servers({ a: 28, b: 25, c: 31, x: 6 });
  const uses = new Map<string, Set<string>>();
  for (const { vm } of all) {
    for (const server of plan.serversOf(vm, available)) {
      const cells = uses.get(server) ?? new Set<string>();
      uses.set(server, cells.add(plan.members(vm).join()));
    }
  }
  expect(uses.size).toEqual(available.length);
  expect([...uses.values()].every((cells) => cells.size === 1)).toEqual(true);
});

test("should keep cells and their servers the same when a VM joins", () => {
  const before = new CellPlan(vms({ a: 20, b: 20 }));
  const after = new CellPlan(vms({ a: 21, b: 20 }));
  const vm = "a-0003" as contracts.VmId;
  const available = servers({ a: 28, b: 28 });
  expect(before.serversOf(vm, available)).toEqual(
    after.serversOf(vm, available),
  );
  const stay = before.members(vm).filter((it) =>
    after.members(vm).includes(it)
  );
  expect(stay.length).toEqual(before.members(vm).length);
});

test("should keep the size of cells the same from 82 to 7,900 VMs", () => {
  for (const perZone of [20, 200, 1_975]) {
    const plan = new CellPlan(
      vms({ a: perZone, b: perZone, c: perZone, d: perZone }),
    );
    const { length } = plan.members("a-0000" as contracts.VmId);
    expect(length >= 8 && length <= 18).toEqual(true);
  }
});

/** Guards against cells without servers in a zone that has none. */
test("should share other zones' servers with the cells of a zone without any", () => {
  const all = vms({ a: 22, b: 24, c: 22, d: 22 });
  const plan = new CellPlan(all);
  const available = servers({ b: 24, c: 24, d: 24 });
  const counts = new Map<string, number>();
  const users = new Map<string, Set<string>>();
  for (const { vm } of all) {
    const cell = plan.members(vm).join();
    const used = plan.serversOf(vm, available);
    counts.set(cell, used.size);
    for (const server of used) {
      users.set(server, (users.get(server) ?? new Set()).add(cell));
    }
  }
  expect(users.size).toEqual(available.length);
  expect([...users.values()].every((cells) => cells.size === 1)).toEqual(true);
  expect([...counts.values()].every((count) => count >= 8 && count <= 10))
    .toEqual(true);
});
