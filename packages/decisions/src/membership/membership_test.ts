import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as membership from "./mod.ts";

const HEARTBEAT_MS = membership.DEFAULT_MEMBERSHIP.heartbeatIntervalMs;

function vmId(name: string): contracts.VmId {
  return name as contracts.VmId;
}

function listed(
  name: string,
  state: "live" | "leaving" = "live",
): contracts.ListedVm {
  return {
    kind: "entry",
    vm: vmId(name),
    zone: "plateau" as contracts.ZoneId,
    host: "127.0.0.1",
    port: 7000,
    state,
  };
}

/** The membership of VM `a`; the test decides which of its peers answer. */
class Fixture {
  nowMs = 1000;
  readonly answering = new Map<string, string>();
  readonly helperSeenAgeMs = new Map<string, number>();
  readonly log: string[] = [];
  readonly self: membership.Membership;

  constructor(options: Partial<membership.MembershipOptions> = {}) {
    let draw = 0;
    this.self = new membership.Membership({
      ...membership.DEFAULT_MEMBERSHIP,
      ...options,
      vm: vmId("a"),
      random: { next: () => (draw = (draw + 0.37) % 1) },
    });
  }

  list(...vms: contracts.ListedVm[]): void {
    this.#note(this.self.noteVmList(vms, this.nowMs));
  }

  receiveHeartbeat(vm: string, incarnation: string, leaving = false): void {
    const { zone, host, port } = listed(vm);
    this.#note(this.self.noteHeartbeat({
      vm: vmId(vm),
      incarnation: incarnation as contracts.Incarnation,
      zone,
      host,
      peerPort: port,
      leaving,
      known: [],
      configRevision: 0,
      news: [],
    }, this.nowMs));
  }

  reply(vm: string, incarnation: string, askedAtMs: number): void {
    this.#note(this.self.noteReply(
      vmId(vm),
      incarnation as contracts.Incarnation,
      { askedAtMs, nowMs: this.nowMs },
    ));
  }

  /** Runs heartbeats; the peers in `answering` answer at once. */
  run(heartbeats: number): membership.HeartbeatEffects {
    let effects!: membership.HeartbeatEffects;
    for (let i = 0; i < heartbeats; i++) {
      this.nowMs += HEARTBEAT_MS;
      effects = this.self.heartbeat(this.nowMs);
      this.#note(effects.events);
      for (const vm of effects.targets) {
        const incarnation = this.answering.get(vm);
        if (incarnation) this.reply(vm, incarnation, this.nowMs);
      }
      for (const probe of effects.indirectProbes) this.#answer(probe);
    }
    return effects;
  }

  state(vm: string): membership.MemberState | undefined {
    return this.self.member(vmId(vm), this.nowMs)?.state;
  }

  #answer({ to, about }: membership.IndirectProbe): void {
    if (!this.answering.has(to)) return;
    const seenAgeMs = this.helperSeenAgeMs.get(about);
    const incarnation = this.self.member(about, this.nowMs)?.incarnation;
    this.#note(this.self.noteIndirectReply(
      { from: to, about, seenAgeMs, incarnation },
      { askedAtMs: this.nowMs, nowMs: this.nowMs },
    ));
  }

  #note(events: readonly membership.MemberEvent[]): void {
    for (const event of events) this.log.push(`${event.kind} ${event.vm}`);
  }
}

function startTrio(): Fixture {
  const fixture = new Fixture();
  fixture.list(listed("b"), listed("c"));
  fixture.answering.set("b", "b1").set("c", "c1");
  fixture.run(2);
  fixture.log.length = 0;
  return fixture;
}

interface Case {
  readonly name: string;
  readonly act: (fixture: Fixture) => void;
  readonly state: membership.MemberState | undefined;
  readonly log: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: "keep a VM that answers",
    act: (fixture) => fixture.run(100),
    state: "alive",
    log: [],
  },
  // A VM's process fails. Leadership moves only when the VM counts as lost, and
  // callers wait for that.
  {
    name: "lose an unresponsive VM that others do not reach either",
    act: (fixture) => {
      fixture.answering.delete("b");
      fixture.run(8);
    },
    state: "lost",
    log: ["suspect b", "lost b"],
  },
  // The link between two healthy VMs breaks. A change of leader would cost a
  // needless write and a gap in planning.
  {
    name: "not suspect a VM that another VM still reaches",
    act: (fixture) => {
      fixture.answering.delete("b");
      fixture.helperSeenAgeMs.set("b", 0);
      fixture.run(40);
    },
    state: "alive",
    log: [],
  },
  // This VM's heartbeats are lost while the peer's arrive.
  {
    name: "keep a VM behind a one-way link failure alive but not reachable",
    act: (fixture) => {
      fixture.answering.delete("b");
      for (let i = 0; i < 30; i++) {
        fixture.receiveHeartbeat("b", "b1");
        fixture.run(1);
      }
      const view = fixture.self.member(vmId("b"), fixture.nowMs);
      expect(view?.reachable).toEqual(false);
    },
    state: "alive",
    log: [],
  },
  // This VM is partitioned from all others, so no peer can confirm.
  {
    name: "suspect peers first and lose them late when no peer answers",
    act: (fixture) => {
      fixture.answering.clear();
      fixture.run(10);
      expect(fixture.state("b")).toEqual("suspect");
      fixture.run(10);
    },
    state: "lost",
    log: ["suspect b", "suspect c", "lost b", "lost c"],
  },
  // This process was paused for a minute. When it resumes, its peers seem to
  // have been unresponsive for a minute.
  {
    name: "suspect no peer because of this process's own pause",
    act: (fixture) => {
      fixture.answering.delete("b");
      fixture.run(1);
      fixture.answering.set("b", "b1");
      fixture.nowMs += 60_000;
      fixture.run(2);
    },
    state: "alive",
    log: [],
  },
  // A paused peer resumes and answers an old heartbeat.
  {
    name: "not revive a VM by a reply to an old heartbeat",
    act: (fixture) => {
      fixture.answering.delete("b");
      const askedAtMs = fixture.nowMs;
      fixture.run(8);
      fixture.reply("b", "b1", askedAtMs);
    },
    state: "lost",
    log: ["suspect b", "lost b"],
  },
  {
    name: "restore a paused VM when it answers",
    act: (fixture) => {
      fixture.answering.delete("b");
      fixture.run(8);
      fixture.answering.set("b", "b1");
      fixture.run(2);
    },
    state: "alive",
    log: ["suspect b", "lost b", "alive b"],
  },
  // A restarted voter has forgotten its acknowledgements, so its peers must see
  // the new incarnation even if it returned before it was suspected.
  {
    name: "detect a restart, and ignore late messages of the old incarnation",
    act: (fixture) => {
      fixture.answering.set("b", "b2");
      fixture.run(1);
      fixture.receiveHeartbeat("b", "b1", true);
    },
    state: "alive",
    log: ["restarted b"],
  },
  {
    name:
      "remove a VM that announces its leave, and restore its next incarnation",
    act: (fixture) => {
      fixture.receiveHeartbeat("b", "b1", true);
      expect(fixture.state("b")).toEqual("left");
      fixture.receiveHeartbeat("b", "b2");
    },
    state: "alive",
    log: ["left b", "restarted b", "alive b"],
  },
  {
    name: "remove a VM that the list marks as leaving",
    act: (fixture) => fixture.list(listed("b", "leaving"), listed("c")),
    state: "left",
    log: ["left b"],
  },
  // The VM list lags: a VM that sends heartbeats is not in it yet.
  {
    name: "keep a VM that answers although it is not in the list",
    act: (fixture) => {
      fixture.list(listed("c"));
      fixture.run(400);
    },
    state: "alive",
    log: [],
  },
  {
    name: "forget a lost VM that is no longer in the list",
    act: (fixture) => {
      fixture.list(listed("c"));
      fixture.answering.delete("b");
      fixture.run(400);
    },
    state: undefined,
    log: ["suspect b", "lost b"],
  },
];

for (const { name, act, state, log } of CASES) {
  test(`should ${name}`, () => {
    const fixture = startTrio();
    act(fixture);
    expect(fixture.state("b")).toEqual(state);
    expect(fixture.log).toEqual([...log]);
  });
}

test("should suspect a listed VM that never sent a message, then lose it", () => {
  const fixture = new Fixture();
  fixture.list(listed("b"));
  expect(fixture.state("b")).toEqual("suspect");
  fixture.run(20);
  expect(fixture.state("b")).toEqual("lost");
  expect(fixture.log).toEqual(["lost b"]);
});

test("should probe every VM of a large fleet in turn, a few at each heartbeat", () => {
  const fixture = new Fixture({ sampleEveryHeartbeats: 1 });
  const names = Array.from({ length: 200 }, (_, i) => `v${i}`);
  for (const name of names) fixture.answering.set(name, `${name}-1`);
  fixture.list(...names.map((name) => listed(name)));
  fixture.self.pin([vmId("v7")]);
  const seen = new Set<string>();
  for (let round = 0; round < 200; round++) {
    const { targets } = fixture.run(1);
    expect(targets.length <= 2).toEqual(true);
    expect(targets).toInclude(vmId("v7"));
    for (const vm of targets) seen.add(vm);
  }
  expect(seen.size).toEqual(200);
});

// A VM that resumes from a pause gossips that its peers are lost.
test("should probe a VM itself before it believes an update on its loss", () => {
  const fixture = new Fixture();
  const names = Array.from({ length: 60 }, (_, i) => `v${i}`);
  for (const name of names) fixture.answering.set(name, `${name}-1`);
  fixture.list(...names.map((name) => listed(name)));
  fixture.run(600);
  const update = {
    vm: vmId("v3"),
    incarnation: "v3-1" as contracts.Incarnation,
    state: "lost" as const,
  };
  fixture.self.noteUpdates([update], fixture.nowMs);
  fixture.run(40);
  expect(fixture.state("v3")).toEqual("alive");
});

test("should send a change to a limited number of peers", () => {
  const fixture = startTrio();
  fixture.receiveHeartbeat("b", "b1", true);
  let sent = 0;
  for (let i = 0; i < 100; i++) sent += fixture.self.takeUpdates().length;
  expect(sent > 0 && sent < 40).toEqual(true);
});
