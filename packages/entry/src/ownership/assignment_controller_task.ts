/**
 * Plans and executes moves of one service's slices while this VM holds the
 * service's control duty: the first assignment, keepers, servers that come,
 * go, drain or are lost, and what the planner asks for.
 */
import * as contracts from "@guavatide/contracts";
import * as ownership from "@guavatide/decisions/ownership/mod";
import * as placement from "@guavatide/decisions/placement/mod";
import type { Logger } from "../utils/log.ts";
import { VoterReview } from "./voter_review.ts";
import type { LeaseCommandTask } from "./lease_command_task.ts";
import type { ServiceContext, TimedReply } from "./service_context.ts";

/** Time that listed servers have to answer before the first assignment. */
const BOOTSTRAP_TIMEOUT_MS = 5_000;
/** Two reads of the VM list: a VM that has just started sees nobody on it. */
const MIN_BOOTSTRAP_WAIT_MS = 2_000;
const VOTER_REVIEW_INTERVAL_MS = 250;
const FAILURE_PLAN_INTERVAL_MS = 50;

/** Where the planner's load figures come from. */
export interface LoadSource {
  estimate(slices: readonly contracts.Slice[]): placement.LoadEstimate;
  speeds(): ReadonlyMap<contracts.ServerId, number>;
}

/** Plans by the width of slices alone. */
export const NO_LOAD_SOURCE: LoadSource = {
  estimate: (slices) => placement.emptyLoadEstimate(slices.length),
  speeds: () => new Map(),
};

/** Options of {@link AssignmentControllerTask}. */
export interface AssignmentControllerTaskOptions {
  readonly leaseCommands: LeaseCommandTask;
  readonly load: LoadSource;
  /** Servers that run requests of this VM and check no fences. */
  busyServers(): contracts.ServerId[];
  /** The service as configured; undefined once it is gone. */
  config(): contracts.Service | undefined;
}

/** A peer that told something. */
export interface PeerIdentity {
  readonly vm: contracts.VmId;
  readonly incarnation: contracts.Incarnation;
}

/** Moves one service's slices. */
export class AssignmentControllerTask {
  readonly #context: ServiceContext;
  readonly #options: AssignmentControllerTaskOptions;
  readonly #log: Logger;
  readonly #mover: ownership.AssignmentController;
  readonly #keepers: VoterReview;
  #planner: placement.Planner | undefined;
  #plannerFor = "";
  #ownersOf: contracts.Assignment | undefined;
  #owners: ReadonlySet<contracts.ServerId> = new Set();
  #hasVacating = false;
  #isOn = false;
  #isAsking = false;
  #onSinceMs = 0;
  #keepersAtMs = Number.NEGATIVE_INFINITY;
  #keeperCount = 0;
  #lossesAtMs = Number.NEGATIVE_INFINITY;
  #planAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    context: ServiceContext,
    options: AssignmentControllerTaskOptions,
  ) {
    this.#context = context;
    this.#options = options;
    this.#log = context.log.part("place");
    this.#keepers = new VoterReview(context);
    const { service, peers, timings } = context;
    this.#mover = new ownership.AssignmentController(
      { service, ...peers.self },
      timings,
    );
    options.leaseCommands.onReply((answer) => this.#mover.noteReply(answer));
  }

  /**
   * A peer told what it knows. `askedAtMs` is when the question left that it
   * answered; absent when it told by itself.
   */
  notePeer(
    peer: PeerIdentity,
    known: contracts.KnownRevision,
    askedAtMs?: number,
  ): void {
    const nowMs = this.#context.clock.nowMs();
    const { vm, incarnation } = peer;
    const { revision } = known;
    const report = { vm, incarnation, revision, nowMs };
    this.#keepers.noteHasReadStore(vm, known.settled);
    this.#mover.noteAck({ ...report, requestedAtMs: askedAtMs });
    const busyServers = known.busyServers ?? [];
    this.#mover.noteUnfencedRequests({ ...report, busyServers });
  }

  /** Call often; does nothing unless this VM holds the duty. */
  tick(nowMs: number, holdsDuty: boolean): void {
    if (holdsDuty !== this.#isOn) this.#switch(holdsDuty, nowMs);
    if (!holdsDuty) return;
    const { peers, known, random } = this.#context;
    this.#mover.noteNewerRevision(known.revision);
    const own = known.knownRevision();
    const busyServers = this.#options.busyServers();
    this.notePeer(peers.self, { ...own, busyServers }, Infinity);
    this.#reviewKeepers(nowMs);
    if (this.#mover.isIdle) this.#plan(nowMs);
    this.#askKeepers();
    this.#hurryOrders();
    const effect = this.#mover.tick({
      nowMs,
      random,
      isLive: (server) => this.#stateOf(server) === "live",
      checksFences: (server) =>
        this.#options.leaseCommands.status(server)?.checksFences,
      entryVms: peers.all(),
    });
    if (effect?.kind === "read") void this.#read();
    if (effect?.kind === "write") void this.#write(effect);
  }

  #switch(isOn: boolean, nowMs: number): void {
    this.#isOn = isOn;
    this.#onSinceMs = nowMs;
    this.#planner = undefined;
    this.#plannerFor = "";
    this.#mover.reset();
    this.#options.leaseCommands.setTargetAll(isOn);
  }

  async #read(): Promise<void> {
    const { assignments, known, clock, random } = this.#context;
    const { read, sentAtMs } = await assignments.read();
    if (read.kind === "found") known.noteStoreRead(read.assignment, sentAtMs);
    if (read.kind === "absent") known.noteStoreAbsent();
    const before = this.#mover.assignment?.revision;
    this.#mover.noteRead(read, clock.nowMs(), random);
    if (read.kind !== "found" || read.assignment.revision === before) return;
    this.#tellPeers(read.assignment);
  }

  async #write(
    effect: Extract<ownership.AssignmentEffect, { kind: "write" }>,
  ): Promise<void> {
    const { assignments, known, clock, random } = this.#context;
    const { assignment, condition } = effect;
    const { write, sentAtMs } = await assignments.write(assignment, condition);
    this.#logSteps(effect, write);
    this.#mover.noteWrite(write, clock.nowMs(), random);
    if (write.kind !== "acknowledged") return;
    known.noteStoreRead(assignment, sentAtMs);
    this.#tellPeers(assignment);
  }

  /** At once to all, so that a move does not wait for the next beats. */
  #tellPeers(assignment: contracts.Assignment): void {
    const { peers } = this.#context;
    for (const vm of peers.live()) {
      if (vm !== peers.self.vm) void this.#push(vm, assignment);
    }
  }

  async #push(
    vm: contracts.VmId,
    assignment: contracts.Assignment,
  ): Promise<void> {
    this.#noteReceipt(await this.#context.peers.push(vm, assignment));
    this.#askKeepers();
  }

  /** A promise is complete only with answers from after a majority's. */
  #askKeepers(): void {
    if (this.#isAsking || !this.#mover.needsVoterReplies) return;
    this.#isAsking = true;
    const { peers, service } = this.#context;
    const sets = this.#mover.assignment?.keeperSets ?? [];
    const keepers = new Set(sets.flat().map(({ vm }) => vm));
    keepers.delete(peers.self.vm);
    const live = peers.live().filter((vm) => keepers.has(vm));
    const answers = live.map(async (vm) => {
      this.#noteReceipt(await peers.fetchKnownRevision(vm, service));
    });
    void Promise.all(answers).then(() => {
      this.#isAsking = false;
    });
  }

  #noteReceipt(receipt: TimedReply | undefined): void {
    if (receipt === undefined) return;
    this.notePeer(receipt, receipt.known, receipt.requestedAtMs);
    this.#hurryOrders();
  }

  #hurryOrders(): void {
    const { leaseCommands: orders } = this.#options;
    orders.markUrgent(this.#mover.takeUrgentServers());
    // Asked again and again until the last request of the slice is over.
    orders.markUrgent(this.#mover.vacatingServers());
  }

  #reviewKeepers(nowMs: number): void {
    if (nowMs < this.#keepersAtMs + VOTER_REVIEW_INTERVAL_MS) return;
    this.#keepersAtMs = nowMs;
    const review = this.#keepers.review(nowMs);
    this.#keeperCount = review.voters.length;
    this.#mover.noteRemovedVms(review.removed, nowMs);
    this.#mover.keepMembers(this.#context.peers.all());
    this.#mover.requestTimings(this.#context.timings);
    if (review.voters.length === 0) return;
    this.#mover.requestVoters(review.voters);
  }

  #plan(nowMs: number): void {
    const planner = this.#currentPlanner();
    if (planner === undefined) return;
    const { assignment } = this.#mover;
    if (assignment === undefined) return this.#planFirst(planner, nowMs);
    const isDue = nowMs >= this.#planAtMs + this.#context.timings.planMs;
    if (isDue && this.#hasKeeperMajority(assignment)) {
      this.#planAtMs = nowMs;
      this.#lossesAtMs = nowMs;
      return this.#request(planner.plan(this.#input(assignment, nowMs)));
    }
    if (nowMs < this.#lossesAtMs + FAILURE_PLAN_INTERVAL_MS) return;
    this.#lossesAtMs = nowMs;
    if (!this.#isLossPossible(assignment)) return;
    this.#request(planner.planEvacuations(this.#input(assignment, nowMs)));
  }

  /**
   * Without it no move can end. A holder of duty that is cut off from its
   * peers would take keys from servers that serve them well.
   */
  #hasKeeperMajority({ keeperSets }: contracts.Assignment): boolean {
    const live = new Set(this.#context.peers.live());
    return keeperSets.every((set) => {
      const count = set.filter(({ vm }) => live.has(vm)).length;
      return count >= ownership.quorumSize(set.length);
    });
  }

  #isLossPossible(assignment: contracts.Assignment): boolean {
    if (assignment !== this.#ownersOf) {
      this.#ownersOf = assignment;
      this.#owners = new Set(assignment.slices.map(({ server }) => server));
      this.#hasVacating = assignment.slices
        .some(({ state }) => state === "vacating");
    }
    return this.#hasVacating ||
      [...this.#owners].some((server) => this.#stateOf(server) !== "live");
  }

  #request(plan: placement.Plan): void {
    for (const change of plan.changes) this.#mover.request(change);
  }

  /** Weights come from the configuration and may change at any time. */
  #currentPlanner(): placement.Planner | undefined {
    const service = this.#options.config();
    if (service === undefined) return undefined;
    const { imbalanceWeight, churnWeight } = service;
    const key = `${imbalanceWeight}/${churnWeight}`;
    if (this.#planner === undefined || key !== this.#plannerFor) {
      this.#plannerFor = key;
      this.#planner = new placement.Planner({
        ...placement.DEFAULT_PLACEMENT,
        imbalanceWeight,
        churnWeight,
      });
    }
    return this.#planner;
  }

  #planFirst(planner: placement.Planner, nowMs: number): void {
    if (!this.#mover.isAbsent || this.#context.known.revision > 0) return;
    const listed = this.#options.leaseCommands.addresses()
      .filter(({ state }) => state === "live");
    const met = listed.filter(({ server }) => this.#stateOf(server) === "live");
    const isPatient = nowMs < this.#onSinceMs + BOOTSTRAP_TIMEOUT_MS;
    const isWhole = met.length === listed.length && this.#areKeepersMet(nowMs);
    if (met.length === 0 || (!isWhole && isPatient)) return;
    const servers = met.map(({ server }) => server).sort();
    const count = planner.initialSliceCount(servers.length);
    this.#mover.requestInitial(
      ownership.equalSlices(servers, count, { fence: 1 }),
    );
    this.#log.info("first assignment planned", {
      service: this.#context.service,
      servers: servers.length,
      slices: count,
    });
  }

  /**
   * Whether every listed entry VM may keep. The first assignment of a fleet
   * that has just started would otherwise name its writer alone, and with
   * that VM lost before the set has grown no key could move any more.
   */
  #areKeepersMet(nowMs: number): boolean {
    if (nowMs < this.#onSinceMs + MIN_BOOTSTRAP_WAIT_MS) return false;
    this.#keepersAtMs = Number.NEGATIVE_INFINITY;
    this.#reviewKeepers(nowMs);
    const listed = this.#context.peers.listed()?.size ?? Infinity;
    return this.#keeperCount >= Math.min(listed, ownership.MAX_VOTERS);
  }

  #input(
    assignment: contracts.Assignment,
    nowMs: number,
  ): placement.PlacementInput {
    const { slices } = assignment;
    const speeds = this.#options.load.speeds();
    const servers: placement.PlacementServer[] = [];
    for (const { server, zone } of this.#options.leaseCommands.addresses()) {
      const state = this.#stateOf(server);
      if (state === "unmet") continue;
      const speed = speeds.get(server);
      servers.push({ server, zone, state, capacity: 1, speed });
    }
    return {
      nowMs,
      slices,
      servers,
      load: this.#options.load.estimate(slices),
    };
  }

  /** `unmet`: listed, and has not answered any order yet. */
  #stateOf(
    server: contracts.ServerId,
  ): placement.PlacementServer["state"] | "unmet" {
    const { leaseCommands: orders } = this.#options;
    if (orders.isLost(server)) return "lost";
    const facts = orders.status(server);
    const listed = this.#context.servers.server(server);
    if (facts?.draining === true) return "leaving";
    if (listed !== undefined && listed.state !== "live") return "leaving";
    // An owner that this VM has not met yet is no loss until it stays silent.
    if (facts === undefined) return this.#ownsAny(server) ? "live" : "unmet";
    return listed === undefined ? "leaving" : "live";
  }

  #ownsAny(server: contracts.ServerId): boolean {
    const slices = this.#mover.assignment?.slices ?? [];
    return slices.some((slice) =>
      slice.state === "owned" && slice.server === server
    );
  }

  #logSteps(
    effect: Extract<ownership.AssignmentEffect, { kind: "write" }>,
    write: ownership.AssignmentWriteResult,
  ): void {
    const { service, revision } = effect.assignment;
    const isWritten = write.kind === "acknowledged";
    if (!isWritten) {
      this.#log.warn("assignment not acknowledged, it is read back", {
        service,
        revision,
        outcome: write.kind,
      });
    }
    const steps = isWritten ? effect.changes : [];
    this.#context.moveRecorder.noteSteps({ service, revision, steps });
    for (const step of steps) {
      this.#log.info(`slice ${CHANGE_TEXTS[step.step]}`, {
        service,
        slice: step.slice,
        from: step.from.join() || undefined,
        to: step.to,
        revision,
        reason: step.reason,
      });
    }
  }
}

const CHANGE_TEXTS = {
  vacate: "taken from its owner",
  settle: "given to its next owner",
  redirect: "gets another next owner",
  split: "split",
  merge: "merged with the next",
} as const;
