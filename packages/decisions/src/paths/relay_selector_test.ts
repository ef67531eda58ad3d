import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as paths from "./mod.ts";

const SERVER = "s" as contracts.ServerId;
const OTHER_SERVER = "t" as contracts.ServerId;
const OWN_ZONE = "z1" as contracts.ZoneId;
const OTHER_ZONE = "z2" as contracts.ZoneId;

function peer(vm: string, zone: contracts.ZoneId): paths.RelayPeer {
  return { vm: vm as contracts.VmId, zone };
}

function createSelector(
  reaches: paths.RelaySelectorOptions["reaches"] = () => true,
): paths.RelaySelector {
  const random = { next: () => 0.5 };
  return new paths.RelaySelector({ zone: OWN_ZONE, random, reaches });
}

test("should prefer its own zone until its peers there have much more to do", () => {
  const selector = createSelector();
  const peers = [peer("own", OWN_ZONE), peer("far", OTHER_ZONE)];
  const chosen = Array.from({ length: 40 }, () => {
    const { vm } = selector.choose(peers, SERVER, 0)!;
    selector.start(vm);
    return vm;
  });
  expect(chosen.slice(0, 8).every((vm) => vm === peers[0]!.vm)).toEqual(true);
  const far = chosen.filter((vm) => vm === peers[1]!.vm).length;
  expect(far >= 14 && far <= 18).toEqual(true);
});

/** Several VMs that are cut off must not all use the same peer. */
test("should use the peer that relays least for all VMs", () => {
  const selector = createSelector();
  const peers = [peer("busy", OWN_ZONE), peer("idle", OWN_ZONE)];
  selector.noteLoad(peers[0]!.vm, 20, 0);
  expect(selector.choose(peers, SERVER, 10)!.vm).toEqual(peers[1]!.vm);
});

/** A VM with a fifth of the cores must not get as many requests. */
test("should share requests among peers by their strength", () => {
  const peers = [peer("large", OWN_ZONE), peer("small", OWN_ZONE)];
  const selector = new paths.RelaySelector({
    zone: OWN_ZONE,
    random: { next: () => 0.5 },
    reaches: () => true,
    weightOf: (vm) => vm === peers[0]!.vm ? 1.35 : 0.27,
  });
  const chosen = Array.from({ length: 60 }, () => {
    const { vm } = selector.choose(peers, SERVER, 0)!;
    selector.start(vm);
    return vm;
  });
  expect(chosen.slice(0, 2)).toEqual([peers[0]!.vm, peers[0]!.vm]);
  const small = chosen.filter((vm) => vm === peers[1]!.vm).length;
  expect(small >= 9 && small <= 11).toEqual(true);
});

test("should not ask a peer that doesn't reach the server or has declined", () => {
  const peers = [peer("a", OWN_ZONE), peer("b", OWN_ZONE), peer("c", OWN_ZONE)];
  const [a, b, c] = peers.map(({ vm }) => vm);
  const selector = createSelector((vm, server) =>
    vm !== a || server !== SERVER
  );
  selector.noteDecline(b!, SERVER, 0);
  expect(selector.choose(peers, SERVER, 1)!.vm).toEqual(c!);
  selector.noteLoss(c!, 1);
  expect(selector.choose(peers, SERVER, 2)).toEqual(undefined);
  expect(selector.choose(peers, OTHER_SERVER, 2)!.vm).toEqual(a!);
  expect(selector.choose(peers, SERVER, 1_500)).not.toEqual(undefined);
});
