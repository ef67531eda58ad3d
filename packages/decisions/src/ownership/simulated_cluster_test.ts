/**
 * The decision classes under a given clock with lost, late and repeated
 * messages and failing processes: no hash may ever have two owners with a
 * lease.
 */
import * as contracts from "@guavatide/contracts";
import {
  type Fault,
  type Overrides,
  type Scenario,
  SeededRandom,
  SERVERS,
  SERVICE,
  SimulatedServer,
  SimulatedVoter,
  SkewedClock,
  SLICES,
  STEP_MS,
  vmId,
  VOTER_POLL_MS,
  VOTERS,
  voterSet,
} from "./simulated_processes_test.ts";
import { SimulatedNetwork } from "./simulated_network_test.ts";
import * as ownership from "./mod.ts";

function firstTimings(): contracts.LeaseTimings {
  const { evidenceMs, leaseMs, clockRateMargin } =
    ownership.DEFAULT_OWNERSHIP_SETTINGS;
  return { evidenceMs, leaseMs, clockRateMargin };
}

/** Keepers, servers, the store and the messages between them. */
export class SimulatedCluster {
  readonly violations: string[] = [];
  readonly #random: SeededRandom;
  readonly #rules: Overrides;
  readonly #keeperCount: number;
  readonly #faults: Fault[];
  readonly #keepers: SimulatedVoter[] = [];
  readonly #servers: SimulatedServer[] = [];
  readonly #network: SimulatedNetwork;
  readonly #history = new Map<number, contracts.Assignment>();
  readonly #highest = new Map<string, number>();
  #stored: contracts.Assignment;
  #splitUntilMs = 0;
  #splitSide = new Set<contracts.VmId>();
  #loseUntilMs = 0;

  constructor(scenario: Scenario) {
    this.#random = new SeededRandom(scenario.seed);
    this.#network = new SimulatedNetwork(this.#random);
    this.#rules = scenario.overrides ?? {};
    this.#keeperCount = scenario.voters ?? VOTERS;
    this.#faults = [...scenario.faults].sort((a, b) => a.atMs - b.atMs);
    const clock = () =>
      new SkewedClock(
        this.#random.next() * 1e6,
        0.992 + this.#random.next() * 0.016,
      );
    for (let index = 0; index < this.#keeperCount; index++) {
      this.#keepers.push(new SimulatedVoter(index, clock(), scenario));
    }
    for (let index = 0; index < SERVERS; index++) {
      this.#servers.push(new SimulatedServer(index, clock(), this.#rules));
    }
    this.#stored = this.#firstAssignment();
    this.#history.set(1, this.#stored);
  }

  get #nowMs(): number {
    return this.#network.nowMs;
  }

  get assignment(): contracts.Assignment {
    return this.#stored;
  }

  /** How many slices are held under a lease by the owner in the store. */
  leasedSliceCount(): number {
    return this.#stored.slices.filter((slice) =>
      this.#servers.some((server) =>
        server.id === slice.server && server.owns(slice.fromHash, this.#nowMs)
      )
    ).length;
  }

  runUntil(endMs: number): this {
    while (this.#nowMs < endMs && this.violations.length === 0) {
      while ((this.#faults[0]?.atMs ?? Infinity) <= this.#nowMs) {
        this.#induce(this.#faults.shift()!);
      }
      this.#network.advance(STEP_MS);
      for (const keeper of this.#keepers) {
        if (keeper.pausedUntilMs <= this.#nowMs) this.#tick(keeper);
      }
      this.#check();
    }
    return this;
  }

  #firstAssignment(): contracts.Assignment {
    return {
      service: SERVICE,
      revision: 1,
      writer: vmId(0),
      writerIncarnation: "run-0" as contracts.Incarnation,
      nonce: "first",
      leaseTimings: [firstTimings()],
      keeperSets: [voterSet(0, this.#keeperCount)],
      slices: ownership.equalSlices(
        this.#servers.map((server) => server.id),
        SLICES,
        { fence: 1 },
      ),
    };
  }

  #induce(fault: Fault): void {
    const untilMs = this.#nowMs + ("forMs" in fault ? fault.forMs : 0);
    const keeper = this.#keepers["keeper" in fault ? fault.keeper : 0]!;
    const server = this.#servers["server" in fault ? fault.server : 0]!;
    switch (fault.kind) {
      case "move":
        return keeper.mover.request({
          kind: "move",
          slice: contracts.sliceIdOf(this.#stored.slices[fault.slice]!),
          toServer: this.#servers[fault.to]!.id,
          reason: "test",
        });
      case "restart-keeper":
        return keeper.restart();
      case "pause-keeper":
        keeper.pausedUntilMs = untilMs;
        return;
      case "restart-server":
        return server.restart();
      case "pause-server":
        server.pausedUntilMs = untilMs;
        return;
      case "cut-store":
        keeper.cutFromStoreUntilMs = untilMs;
        return;
      case "lose-store-replies":
        this.#loseUntilMs = untilMs;
        return;
      case "cut-peers":
        keeper.cutFromPeersUntilMs = untilMs;
        return;
      case "cut-server":
        keeper.cutFromServersUntilMs.set(server.id, untilMs);
        return;
      case "split":
        this.#splitUntilMs = untilMs;
        this.#splitSide = new Set(fault.side.map(vmId));
        return;
      case "slow":
        return this.#network.delayMessages(untilMs, fault.delayMs);
      case "timings":
        return keeper.mover.requestTimings(keeper.settings);
      case "keepers":
        return keeper.mover.requestVoters(
          voterSet(fault.set, this.#keeperCount),
        );
    }
  }

  /** To a keeper; a paused one gets it when it wakes, a new run never. */
  #toKeeper(keeper: SimulatedVoter, receive: (nowMs: number) => void): void {
    const run = keeper.epoch;
    const deliver = () => {
      if (keeper.epoch !== run) return;
      if (keeper.pausedUntilMs > this.#nowMs) {
        this.#network.at(keeper.pausedUntilMs, deliver);
        return;
      }
      receive(keeper.clock.at(this.#nowMs));
    };
    this.#network.send(deliver);
  }

  #tick(keeper: SimulatedVoter): void {
    const nowMs = keeper.clock.at(this.#nowMs);
    const isAsking = this.#nowMs >= keeper.nextPollMs ||
      keeper.mover.needsVoterReplies;
    if (isAsking) this.#askPeers(keeper, nowMs);
    if (this.#nowMs >= keeper.nextReadMs) this.#readStore(keeper, nowMs, false);
    keeper.orders.markUrgent(keeper.mover.takeUrgentServers());
    this.#sendOrders(keeper, nowMs);
    const effect = keeper.mover.tick({
      nowMs,
      random: this.#random,
      isLive: () => true,
      checksFences: () => true,
      entryVms: [],
    });
    if (effect?.kind === "read") this.#readStore(keeper, nowMs, true);
    if (effect?.kind === "write") this.#write(keeper, nowMs, effect);
  }

  #askPeers(keeper: SimulatedVoter, askedAtMs: number): void {
    keeper.nextPollMs = this.#nowMs + VOTER_POLL_MS;
    const told = keeper.book.assignment;
    const teller = { vm: keeper.vm, incarnation: keeper.incarnation };
    for (const peer of this.#keepers) {
      if (peer === keeper || this.#isCut(keeper, peer)) continue;
      this.#toKeeper(peer, (peerMs) => {
        if (told !== undefined) {
          peer.book.learn(told);
          const { revision } = told;
          peer.mover.noteAck({ ...teller, revision, nowMs: peerMs });
        }
        const known = peer.book.knownRevision();
        const { vm, incarnation } = peer;
        const newer = peer.book.assignment;
        if (this.#isCut(keeper, peer)) return;
        this.#toKeeper(keeper, (nowMs) => {
          if (newer !== undefined) keeper.book.learn(newer);
          keeper.book.noteVoterReply({
            vm,
            known,
            requestedAtMs: this.#rules.isConfirmedFromReply ? nowMs : askedAtMs,
          });
          const { revision } = known;
          keeper.mover.noteAck({
            vm,
            incarnation,
            revision,
            requestedAtMs: askedAtMs,
            nowMs,
          });
        });
      });
    }
  }

  #isCut(a: SimulatedVoter, b: SimulatedVoter): boolean {
    const isSplit = this.#nowMs < this.#splitUntilMs &&
      this.#splitSide.has(a.vm) !== this.#splitSide.has(b.vm);
    if (isSplit) return true;
    return Math.max(a.cutFromPeersUntilMs, b.cutFromPeersUntilMs) >
      this.#nowMs;
  }

  #readStore(keeper: SimulatedVoter, sentAtMs: number, isMover: boolean): void {
    keeper.nextReadMs = this.#nowMs + 700;
    this.#callStore(keeper, () => this.#stored, (assignment, nowMs) => {
      if (assignment !== undefined) {
        keeper.book.noteStoreRead(assignment, sentAtMs);
      }
      if (!isMover) return;
      const read: ownership.AssignmentReadResult = assignment === undefined
        ? { kind: "unavailable" }
        : { kind: "found", assignment, version: `${assignment.revision}` };
      keeper.mover.noteRead(read, nowMs, this.#random);
    });
  }

  #write(
    keeper: SimulatedVoter,
    sentAtMs: number,
    effect: Extract<ownership.AssignmentEffect, { kind: "write" }>,
  ): void {
    const { assignment, condition } = effect;
    const put = () => {
      const isCurrent = condition.kind === "version" &&
        condition.version === `${this.#stored.revision}`;
      if (!isCurrent) return this.#isOwnWrite(assignment);
      this.#stored = assignment;
      this.#history.set(assignment.revision, assignment);
      return true;
    };
    this.#callStore(keeper, put, (isWritten, nowMs) => {
      if (isWritten) {
        keeper.book.noteStoreRead(assignment, sentAtMs);
        keeper.nextPollMs = this.#nowMs;
      }
      const kind = isWritten === undefined ? "unknown" : "conflict";
      const write: ownership.AssignmentWriteResult = isWritten
        ? { kind: "acknowledged", version: `${assignment.revision}` }
        : { kind };
      keeper.mover.noteWrite(write, nowMs, this.#random);
    });
  }

  /** A copy of a write that arrives twice gets the first one's answer. */
  #isOwnWrite(assignment: contracts.Assignment): boolean {
    return this.#history.get(assignment.revision) === assignment;
  }

  /** Calls back once: with the answer, or undefined after a time-out. */
  #callStore<T>(
    keeper: SimulatedVoter,
    serve: () => T,
    done: (answer: T | undefined, nowMs: number) => void,
  ): void {
    let isDone = false;
    const finish = (answer: T | undefined) => (nowMs: number) => {
      if (isDone) return;
      isDone = true;
      done(answer, nowMs);
    };
    const run = keeper.epoch;
    const atMs = this.#nowMs + 300;
    const giveUp = () => {
      if (keeper.epoch === run) this.#toKeeper(keeper, finish(undefined));
    };
    this.#network.at(atMs, giveUp);
    if (keeper.cutFromStoreUntilMs > this.#nowMs) return;
    this.#network.send(() => {
      const answer = serve();
      const isLost = this.#nowMs < this.#loseUntilMs ||
        keeper.cutFromStoreUntilMs > this.#nowMs;
      if (!isLost && keeper.epoch === run) {
        this.#toKeeper(keeper, finish(answer));
      }
    });
  }

  #sendOrders(keeper: SimulatedVoter, nowMs: number): void {
    const { assignment } = keeper.book;
    if (assignment === undefined) return;
    const slices = ownership.SliceMap.create(assignment.slices);
    const orders = keeper.orders.takeDue({
      nowMs,
      service: SERVICE,
      revision: assignment.revision,
      slices: slices._unsafeUnwrap(),
      timings: keeper.timings,
      confirmedAtMs: keeper.book.confirmedAtMs(nowMs),
      servers: this.#servers.map((server) => server.id),
    });
    for (const order of orders) this.#sendOrder(keeper, order, nowMs);
  }

  #sendOrder(
    keeper: SimulatedVoter,
    order: contracts.LeaseCommand,
    sentAtMs: number,
  ): void {
    this.#checkAcknowledged(order);
    const server = this.#servers.find(({ id }) => id === order.server)!;
    const serve = () => {
      const reply = server.receive(order, this.#nowMs);
      this.#toKeeper(keeper, (nowMs) => {
        keeper.orders.noteReply(server.id, reply, { sentAtMs, nowMs });
        keeper.mover.noteReply({ command: order, reply, sentAtMs, nowMs });
      });
    };
    // A paused server finds in its buffers what came before a cut.
    const deliver = () => {
      const cutUntilMs = keeper.cutFromServersUntilMs.get(server.id) ?? 0;
      if (cutUntilMs > this.#nowMs) return;
      if (server.pausedUntilMs <= this.#nowMs) return serve();
      this.#network.at(server.pausedUntilMs, serve);
    };
    this.#network.send(deliver);
  }

  #checkAcknowledged(order: contracts.LeaseCommand): void {
    const acknowledged = this.#history.get(order.revision);
    for (const held of order.slices) {
      const isOwner = acknowledged?.slices.some((slice) =>
        slice.state === "owned" && slice.server === order.server &&
        contracts.sliceIdOf(slice) === held.slice && slice.fence === held.fence
      );
      if (!isOwner) this.violations.push(`order before write: ${held.slice}`);
    }
  }

  #check(): void {
    for (let slice = 0; slice < SLICES; slice++) {
      const hash = Math.floor(contracts.HASH_SPACE / SLICES * (slice + 0.5));
      const owners = this.#servers.filter((server) =>
        server.owns(hash, this.#nowMs)
      );
      if (owners.length < 2) continue;
      const names = owners.map(({ id }) => id).join(" and ");
      this.violations.push(`${names} own ${slice} at ${this.#nowMs}`);
    }
    for (const keeper of this.#keepers) {
      const name = `${keeper.vm}/${keeper.epoch}`;
      const { revision } = keeper.book;
      if (revision < (this.#highest.get(name) ?? 0)) {
        this.violations.push(`${name} fell to ${revision}`);
      }
      this.#highest.set(name, revision);
    }
  }
}
