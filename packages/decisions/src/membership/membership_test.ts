import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as membership from "./mod.ts";

const BEAT_MS = membership.DEFAULT_MEMBERSHIP.heartbeatIntervalMs;

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

/** One VM's view of peers `b`, `c`, ... whose answers the test decides. */
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

  hear(vm: string, incarnation: string, leaving = false): void {
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

  /** Runs beats; those in `answering` answer at once. */
  run(beats: number): membership.HeartbeatEffects {
    let effects!: membership.HeartbeatEffects;
    for (let i = 0; i < beats; i++) {
      this.nowMs += BEAT_MS;
      effects = this.self.heartbeat(this.nowMs);
      this.#note(effects.events);
      for (const vm of effects.targets) {
        const incarnation = this.answering.get(vm);
        if (incarnation) this.reply(vm, incarnation, this.nowMs);
      }
      for (const question of effects.indirectProbes) this.#answer(question);
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
  // A VM's process dies. Callers routed through control duty wait for the
  // takeover, which starts when the VM counts as lost.
  {
    name: "lose a VM that falls silent and that others do not hear",
    act: (fixture) => {
      fixture.answering.delete("b");
      fixture.run(8);
    },
    state: "lost",
    log: ["suspect b", "lost b"],
  },
  // The link between two VMs is cut while both are well. A takeover for that
  // would cost a needless write and a gap in planning.
  {
    name: "only suspect a VM that another still hears",
    act: (fixture) => {
      fixture.answering.delete("b");
      fixture.helperSeenAgeMs.set("b", 0);
      fixture.run(40);
    },
    state: "alive",
    log: [],
  },
  // Our questions are lost and the peer's heartbeats arrive.
  {
    name: "keep a VM behind a one-way cut alive but not reachable",
    act: (fixture) => {
      fixture.answering.delete("b");
      for (let i = 0; i < 30; i++) {
        fixture.hear("b", "b1");
        fixture.run(1);
      }
      const view = fixture.self.member(vmId("b"), fixture.nowMs);
      expect(view?.reachable).toEqual(false);
    },
    state: "alive",
    log: [],
  },
  // This VM is cut off from all others; nobody can be asked.
  {
    name: "suspect at first, and lose late, when nobody answers at all",
    act: (fixture) => {
      fixture.answering.clear();
      fixture.run(10);
      expect(fixture.state("b")).toEqual("suspect");
      fixture.run(10);
    },
    state: "lost",
    log: ["suspect b", "suspect c", "lost b", "lost c"],
  },
  // This process was stopped for a minute. On waking, all its peers have been
  // silent for a minute, as far as it can tell.
  {
    name: "blame no peer for this process's own pause",
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
  // A stopped peer wakes and answers a question of long ago.
  {
    name: "not revive a VM by an answer to an old question",
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
    name: "take back a paused VM when it answers",
    act: (fixture) => {
      fixture.answering.delete("b");
      fixture.run(8);
      fixture.answering.set("b", "b1");
      fixture.run(2);
    },
    state: "alive",
    log: ["suspect b", "lost b", "alive b"],
  },
  // A restarted keeper has forgotten what it promised, so its peers must see
  // that it is a new run even if it was back before anyone missed it.
  {
    name: "tell a restarted VM from the run before, also by late messages",
    act: (fixture) => {
      fixture.answering.set("b", "b2");
      fixture.run(1);
      fixture.hear("b", "b1", true);
    },
    state: "alive",
    log: ["restarted b"],
  },
  {
    name: "take a VM out that says it leaves, and back in as a new run",
    act: (fixture) => {
      fixture.hear("b", "b1", true);
      expect(fixture.state("b")).toEqual("left");
      fixture.hear("b", "b2");
    },
    state: "alive",
    log: ["left b", "restarted b", "alive b"],
  },
  {
    name: "take a VM out that the list calls leaving",
    act: (fixture) => fixture.list(listed("b", "leaving"), listed("c")),
    state: "left",
    log: ["left b"],
  },
  // The VM list lags: it does not name a VM yet that beats already.
  {
    name: "keep a VM that the list does not name but that answers",
    act: (fixture) => {
      fixture.list(listed("c"));
      fixture.run(400);
    },
    state: "alive",
    log: [],
  },
  {
    name: "forget a lost VM that the list no longer names",
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

test("should count a listed VM that was never heard as suspect, then lost", () => {
  const fixture = new Fixture();
  fixture.list(listed("b"));
  expect(fixture.state("b")).toEqual("suspect");
  fixture.run(20);
  expect(fixture.state("b")).toEqual("lost");
  expect(fixture.log).toEqual(["lost b"]);
});

test("should ask every VM of a large fleet in turn, a bounded number each beat", () => {
  const fixture = new Fixture({ sampleEveryHeartbeats: 1 });
  const names = Array.from({ length: 200 }, (_, i) => `v${i}`);
  for (const name of names) fixture.answering.set(name, `${name}-1`);
  fixture.list(...names.map((name) => listed(name)));
  fixture.self.pin([vmId("v7")]);
  const seen = new Set<string>();
  for (let beat = 0; beat < 200; beat++) {
    const { targets } = fixture.run(1);
    expect(targets.length <= 2).toEqual(true);
    expect(targets).toInclude(vmId("v7"));
    for (const vm of targets) seen.add(vm);
  }
  expect(seen.size).toEqual(200);
});

// One VM was paused and, on waking, tells everyone that its peers are lost.
test("should look for itself before it believes news of a loss", () => {
  const fixture = new Fixture();
  const names = Array.from({ length: 60 }, (_, i) => `v${i}`);
  for (const name of names) fixture.answering.set(name, `${name}-1`);
  fixture.list(...names.map((name) => listed(name)));
  fixture.run(600);
  const news = {
    vm: vmId("v3"),
    incarnation: "v3-1" as contracts.Incarnation,
    state: "lost" as const,
  };
  fixture.self.noteUpdates([news], fixture.nowMs);
  fixture.run(40);
  expect(fixture.state("v3")).toEqual("alive");
});

test("should tell a change to a bounded number of peers", () => {
  const fixture = startTrio();
  fixture.hear("b", "b1", true);
  let told = 0;
  for (let i = 0; i < 100; i++) told += fixture.self.takeUpdates().length;
  expect(told > 0 && told < 40).toEqual(true);
});
