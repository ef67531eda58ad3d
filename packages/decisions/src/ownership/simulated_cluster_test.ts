/**
 * A simulated cluster: the decision classes under a controlled clock with lost,
 * late and repeated messages and failing processes. No hash may ever have two
 * owners with a lease.
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

function initialTimings(): contracts.LeaseTimings {
  const { evidenceMs, leaseMs, clockRateMargin } =
    ownership.DEFAULT_OWNERSHIP_SETTINGS;
  return { evidenceMs, leaseMs, clockRateMargin };
}

/** Voters, servers, the store and the messages between them. */
export class SimulatedCluster {
  readonly violations: string[] = [];
  readonly #random: SeededRandom;
  readonly #overrides: Overrides;
  readonly #voterCount: number;
  readonly #faults: Fault[];
  readonly #voters: SimulatedVoter[] = [];
  readonly #servers: SimulatedServer[] = [];
  readonly #network: SimulatedNetwork;
  readonly #history = new Map<number, contracts.Assignment>();
  readonly #highest = new Map<string, number>();
  #stored: contracts.Assignment;
  #splitUntilMs = 0;
  #splitSide = new Set<contracts.VmId>();
  #loseStoreRepliesUntilMs = 0;

  constructor(scenario: Scenario) {
    this.#random = new SeededRandom(scenario.seed);
    this.#network = new SimulatedNetwork(this.#random);
    this.#overrides = scenario.overrides ?? {};
    this.#voterCount = scenario.voters ?? VOTERS;
    this.#faults = [...scenario.faults].sort((a, b) => a.atMs - b.atMs);
    const clock = () =>
      new SkewedClock(
        this.#random.next() * 1e6,
        0.992 + this.#random.next() * 0.016,
      );
    for (let index = 0; index < this.#voterCount; index++) {
      this.#voters.push(new SimulatedVoter(index, clock(), scenario));
    }
    for (let index = 0; index < SERVERS; index++) {
      this.#servers.push(new SimulatedServer(index, clock(), this.#overrides));
    }
    this.#stored = this.#initialAssignment();
    this.#history.set(1, this.#stored);
  }

  get #nowMs(): number {
    return this.#network.nowMs;
  }

  get assignment(): contracts.Assignment {
    return this.#stored;
  }

  /** Number of slices for which the owner in the store holds a lease. */
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
        this.#injectFault(this.#faults.shift()!);
      }
      this.#network.advance(STEP_MS);
      for (const voter of this.#voters) {
        if (voter.pausedUntilMs <= this.#nowMs) this.#tick(voter);
      }
      this.#check();
    }
    return this;
  }

  #initialAssignment(): contracts.Assignment {
    return {
      service: SERVICE,
      revision: 1,
      writer: vmId(0),
      writerIncarnation: "run-0" as contracts.Incarnation,
      nonce: "first",
      leaseTimings: [initialTimings()],
      keeperSets: [voterSet(0, this.#voterCount)],
      slices: ownership.equalSlices(
        this.#servers.map((server) => server.id),
        SLICES,
        { fence: 1 },
      ),
    };
  }

  #injectFault(fault: Fault): void {
    const untilMs = this.#nowMs + ("forMs" in fault ? fault.forMs : 0);
    const voter = this.#voters["keeper" in fault ? fault.keeper : 0]!;
    const server = this.#servers["server" in fault ? fault.server : 0]!;
    switch (fault.kind) {
      case "move":
        return voter.controller.request({
          kind: "move",
          slice: contracts.sliceIdOf(this.#stored.slices[fault.slice]!),
          toServer: this.#servers[fault.to]!.id,
          reason: "test",
        });
      case "restart-keeper":
        return voter.restart();
      case "pause-keeper":
        voter.pausedUntilMs = untilMs;
        return;
      case "restart-server":
        return server.restart();
      case "pause-server":
        server.pausedUntilMs = untilMs;
        return;
      case "cut-store":
        voter.cutFromStoreUntilMs = untilMs;
        return;
      case "lose-store-replies":
        this.#loseStoreRepliesUntilMs = untilMs;
        return;
      case "cut-peers":
        voter.cutFromPeersUntilMs = untilMs;
        return;
      case "cut-server":
        voter.cutFromServersUntilMs.set(server.id, untilMs);
        return;
      case "split":
        this.#splitUntilMs = untilMs;
        this.#splitSide = new Set(fault.side.map(vmId));
        return;
      case "slow":
        return this.#network.delayMessages(untilMs, fault.delayMs);
      case "timings":
        return voter.controller.requestTimings(voter.settings);
      case "keepers":
        return voter.controller.requestVoters(
          voterSet(fault.set, this.#voterCount),
        );
    }
  }

  /**
   * Sends to a voter. A paused one receives it when it resumes, a restarted one
   * never.
   */
  #send(voter: SimulatedVoter, receive: (nowMs: number) => void): void {
    const epoch = voter.epoch;
    const deliver = () => {
      if (voter.epoch !== epoch) return;
      if (voter.pausedUntilMs > this.#nowMs) {
        this.#network.at(voter.pausedUntilMs, deliver);
        return;
      }
      receive(voter.clock.at(this.#nowMs));
    };
    this.#network.send(deliver);
  }

  #tick(voter: SimulatedVoter): void {
    const nowMs = voter.clock.at(this.#nowMs);
    const isPolling = this.#nowMs >= voter.nextPollMs ||
      voter.controller.needsVoterReplies;
    if (isPolling) this.#pollPeers(voter, nowMs);
    if (this.#nowMs >= voter.nextReadMs) this.#readStore(voter, nowMs, false);
    voter.scheduler.markUrgent(voter.controller.takeUrgentServers());
    this.#sendCommands(voter, nowMs);
    const effect = voter.controller.tick({
      nowMs,
      random: this.#random,
      isLive: () => true,
      checksFences: () => true,
      entryVms: [],
    });
    if (effect?.kind === "read") this.#readStore(voter, nowMs, true);
    if (effect?.kind === "write") this.#write(voter, nowMs, effect);
  }

  #pollPeers(voter: SimulatedVoter, requestedAtMs: number): void {
    voter.nextPollMs = this.#nowMs + VOTER_POLL_MS;
    const sent = voter.tracker.assignment;
    const sender = { vm: voter.vm, incarnation: voter.incarnation };
    for (const peer of this.#voters) {
      if (peer === voter || this.#isCut(voter, peer)) continue;
      this.#send(peer, (peerMs) => {
        if (sent !== undefined) {
          peer.tracker.learn(sent);
          const { revision } = sent;
          peer.controller.noteAck({ ...sender, revision, nowMs: peerMs });
        }
        const known = peer.tracker.knownRevision();
        const { vm, incarnation } = peer;
        const newer = peer.tracker.assignment;
        if (this.#isCut(voter, peer)) return;
        this.#send(voter, (nowMs) => {
          if (newer !== undefined) voter.tracker.learn(newer);
          voter.tracker.noteVoterReply({
            vm,
            known,
            requestedAtMs: this.#overrides.isConfirmedFromReply
              ? nowMs
              : requestedAtMs,
          });
          const { revision } = known;
          voter.controller.noteAck({
            vm,
            incarnation,
            revision,
            requestedAtMs,
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

  #readStore(
    voter: SimulatedVoter,
    sentAtMs: number,
    isForController: boolean,
  ): void {
    voter.nextReadMs = this.#nowMs + 700;
    this.#callStore(voter, () => this.#stored, (assignment, nowMs) => {
      if (assignment !== undefined) {
        voter.tracker.noteStoreRead(assignment, sentAtMs);
      }
      if (!isForController) return;
      const read: ownership.AssignmentReadResult = assignment === undefined
        ? { kind: "unavailable" }
        : { kind: "found", assignment, version: `${assignment.revision}` };
      voter.controller.noteRead(read, nowMs, this.#random);
    });
  }

  #write(
    voter: SimulatedVoter,
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
    this.#callStore(voter, put, (isWritten, nowMs) => {
      if (isWritten) {
        voter.tracker.noteStoreRead(assignment, sentAtMs);
        voter.nextPollMs = this.#nowMs;
      }
      const kind = isWritten === undefined ? "unknown" : "conflict";
      const write: ownership.AssignmentWriteResult = isWritten
        ? { kind: "acknowledged", version: `${assignment.revision}` }
        : { kind };
      voter.controller.noteWrite(write, nowMs, this.#random);
    });
  }

  /** A duplicate of a write gets the answer of the first. */
  #isOwnWrite(assignment: contracts.Assignment): boolean {
    return this.#history.get(assignment.revision) === assignment;
  }

  /** Calls back once: with the answer, or with undefined after a timeout. */
  #callStore<T>(
    voter: SimulatedVoter,
    serve: () => T,
    done: (answer: T | undefined, nowMs: number) => void,
  ): void {
    let isFinished = false;
    const finish = (answer: T | undefined) => (nowMs: number) => {
      if (isFinished) return;
      isFinished = true;
      done(answer, nowMs);
    };
    const epoch = voter.epoch;
    const timeoutAtMs = this.#nowMs + 300;
    const onTimeout = () => {
      if (voter.epoch === epoch) this.#send(voter, finish(undefined));
    };
    this.#network.at(timeoutAtMs, onTimeout);
    if (voter.cutFromStoreUntilMs > this.#nowMs) return;
    this.#network.send(() => {
      const answer = serve();
      const isLost = this.#nowMs < this.#loseStoreRepliesUntilMs ||
        voter.cutFromStoreUntilMs > this.#nowMs;
      if (!isLost && voter.epoch === epoch) this.#send(voter, finish(answer));
    });
  }

  #sendCommands(voter: SimulatedVoter, nowMs: number): void {
    const { assignment } = voter.tracker;
    if (assignment === undefined) return;
    const slices = ownership.SliceMap.create(assignment.slices);
    const commands = voter.scheduler.takeDue({
      nowMs,
      service: SERVICE,
      revision: assignment.revision,
      slices: slices._unsafeUnwrap(),
      timings: voter.timings,
      confirmedAtMs: voter.tracker.confirmedAtMs(nowMs),
      servers: this.#servers.map((server) => server.id),
    });
    for (const command of commands) this.#sendCommand(voter, command, nowMs);
  }

  #sendCommand(
    voter: SimulatedVoter,
    command: contracts.LeaseCommand,
    sentAtMs: number,
  ): void {
    this.#checkWrittenFirst(command);
    const server = this.#servers.find(({ id }) => id === command.server)!;
    const serve = () => {
      const reply = server.receive(command, this.#nowMs);
      this.#send(voter, (nowMs) => {
        voter.scheduler.noteReply(server.id, reply, { sentAtMs, nowMs });
        voter.controller.noteReply({ command, reply, sentAtMs, nowMs });
      });
    };
    // A paused server still receives what arrived before the connection was
    // cut.
    const deliver = () => {
      const cutUntilMs = voter.cutFromServersUntilMs.get(server.id) ?? 0;
      if (cutUntilMs > this.#nowMs) return;
      if (server.pausedUntilMs <= this.#nowMs) return serve();
      this.#network.at(server.pausedUntilMs, serve);
    };
    this.#network.send(deliver);
  }

  #checkWrittenFirst(command: contracts.LeaseCommand): void {
    const written = this.#history.get(command.revision);
    for (const held of command.slices) {
      const isOwner = written?.slices.some((slice) =>
        slice.state === "owned" && slice.server === command.server &&
        contracts.sliceIdOf(slice) === held.slice &&
        slice.fence === held.fence
      );
      if (!isOwner) this.violations.push(`sent before write: ${held.slice}`);
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
    for (const voter of this.#voters) {
      const name = `${voter.vm}/${voter.epoch}`;
      const { revision } = voter.tracker;
      if (revision < (this.#highest.get(name) ?? 0)) {
        this.violations.push(`${name} fell to ${revision}`);
      }
      this.#highest.set(name, revision);
    }
  }
}
