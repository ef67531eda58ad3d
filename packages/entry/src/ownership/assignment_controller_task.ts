/**
 * Plans and executes handovers of one service's slices while this VM is the
 * service's leader: the initial assignment, the voters, servers that join,
 * leave, drain or fail, and the rebalancing that the planner requests.
 */
import * as contracts from "@guavatide/contracts";
import * as ownership from "@guavatide/decisions/ownership/mod";
import * as placement from "@guavatide/decisions/placement/mod";
import type { Logger } from "../utils/log.ts";
import { VoterReview } from "./voter_review.ts";
import type { LeaseCommandTask } from "./lease_command_task.ts";
import type { ServiceContext, TimedReply } from "./service_context.ts";

/** Time that listed servers have to reply before the initial assignment. */
const BOOTSTRAP_TIMEOUT_MS = 5_000;
/** Covers 2 reads of the VM list: a VM that just started sees no other VM. */
const MIN_BOOTSTRAP_WAIT_MS = 2_000;
const VOTER_REVIEW_INTERVAL_MS = 250;
const FAILURE_PLAN_INTERVAL_MS = 50;

/** Source of the planner's load figures. */
export interface LoadSource {
  estimate(slices: readonly contracts.Slice[]): placement.LoadEstimate;
  speeds(): ReadonlyMap<contracts.ServerId, number>;
}

/** Makes the planner balance by the width of slices alone. */
export const NO_LOAD_SOURCE: LoadSource = {
  estimate: (slices) => placement.emptyLoadEstimate(slices.length),
  speeds: () => new Map(),
};

/** Options of {@link AssignmentControllerTask}. */
export interface AssignmentControllerTaskOptions {
  readonly leaseCommands: LeaseCommandTask;
  readonly load: LoadSource;
  /** Servers with requests of this VM in flight that check no fencing tokens. */
  busyServers(): contracts.ServerId[];
  /** The service's configuration. Undefined once the service is deleted. */
  config(): contracts.Service | undefined;
}

/** Sender of a report. */
export interface PeerIdentity {
  readonly vm: contracts.VmId;
  readonly incarnation: contracts.Incarnation;
}

/** Maintains one service's assignment as its leader. */
export class AssignmentControllerTask {
  readonly #context: ServiceContext;
  readonly #options: AssignmentControllerTaskOptions;
  readonly #log: Logger;
  readonly #controller: ownership.AssignmentController;
  readonly #voterReview: VoterReview;
  #planner: placement.Planner | undefined;
  #plannerWeights = "";
  #ownersAssignment: contracts.Assignment | undefined;
  #owners: ReadonlySet<contracts.ServerId> = new Set();
  #hasHandovers = false;
  #isLeader = false;
  #isPollingVoters = false;
  #leaderSinceMs = 0;
  #votersReviewedAtMs = Number.NEGATIVE_INFINITY;
  #voterCount = 0;
  #failuresCheckedAtMs = Number.NEGATIVE_INFINITY;
  #plannedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    context: ServiceContext,
    options: AssignmentControllerTaskOptions,
  ) {
    this.#context = context;
    this.#options = options;
    this.#log = context.log.part("place");
    this.#voterReview = new VoterReview(context);
    const { service, peers, timings } = context;
    this.#controller = new ownership.AssignmentController({
      service,
      ...peers.self,
    }, timings);
    options.leaseCommands.onReply((reply) => this.#controller.noteReply(reply));
  }

  /**
   * Records a peer's report. `requestedAtMs` is when the request for it was
   * sent. It's absent for a report that was not requested.
   */
  notePeer(
    peer: PeerIdentity,
    known: contracts.KnownRevision,
    requestedAtMs?: number,
  ): void {
    const nowMs = this.#context.clock.nowMs();
    const { vm, incarnation } = peer;
    const { revision } = known;
    const report = { vm, incarnation, revision, nowMs };
    this.#voterReview.noteHasReadStore(vm, known.settled);
    this.#controller.noteAck({ ...report, requestedAtMs });
    const busyServers = known.busyServers ?? [];
    this.#controller.noteUnfencedRequests({ ...report, busyServers });
  }

  /** Must be called often. Does nothing unless this VM is the leader. */
  tick(nowMs: number, isLeader: boolean): void {
    if (isLeader !== this.#isLeader) this.#setLeader(isLeader, nowMs);
    if (!isLeader) return;
    const { peers, known, random } = this.#context;
    this.#controller.noteNewerRevision(known.revision);
    const own = known.knownRevision();
    const busyServers = this.#options.busyServers();
    this.notePeer(peers.self, { ...own, busyServers }, Infinity);
    this.#reviewVoters(nowMs);
    if (this.#controller.isIdle) this.#plan(nowMs);
    this.#pollVoters();
    this.#markUrgentCommands();
    const effect = this.#controller.tick({
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

  #setLeader(isLeader: boolean, nowMs: number): void {
    this.#isLeader = isLeader;
    this.#leaderSinceMs = nowMs;
    this.#planner = undefined;
    this.#plannerWeights = "";
    this.#controller.reset();
    this.#options.leaseCommands.setTargetAll(isLeader);
  }

  async #read(): Promise<void> {
    const { assignments, known, clock, random } = this.#context;
    const { read, sentAtMs } = await assignments.read();
    if (read.kind === "found") known.noteStoreRead(read.assignment, sentAtMs);
    if (read.kind === "absent") known.noteStoreAbsent();
    const previous = this.#controller.assignment?.revision;
    this.#controller.noteRead(read, clock.nowMs(), random);
    if (read.kind !== "found" || read.assignment.revision === previous) return;
    this.#pushToPeers(read.assignment);
  }

  async #write(
    effect: Extract<ownership.AssignmentEffect, { kind: "write" }>,
  ): Promise<void> {
    const { assignments, known, clock, random } = this.#context;
    const { assignment, condition } = effect;
    const { write, sentAtMs } = await assignments.write(assignment, condition);
    this.#logChanges(effect, write);
    this.#controller.noteWrite(write, clock.nowMs(), random);
    if (write.kind !== "acknowledged") return;
    known.noteStoreRead(assignment, sentAtMs);
    this.#pushToPeers(assignment);
  }

  /** Pushes to all peers, so a handover doesn't wait for the next heartbeats. */
  #pushToPeers(assignment: contracts.Assignment): void {
    const { peers } = this.#context;
    for (const vm of peers.live()) {
      if (vm !== peers.self.vm) void this.#push(vm, assignment);
    }
  }

  async #push(
    vm: contracts.VmId,
    assignment: contracts.Assignment,
  ): Promise<void> {
    this.#noteReply(await this.#context.peers.push(vm, assignment));
    this.#pollVoters();
  }

  /** Only replies requested after a quorum acknowledged complete the quorum. */
  #pollVoters(): void {
    if (this.#isPollingVoters || !this.#controller.needsVoterReplies) return;
    this.#isPollingVoters = true;
    const { peers, service } = this.#context;
    const voterSets = this.#controller.assignment?.keeperSets ?? [];
    const voters = new Set(voterSets.flat().map(({ vm }) => vm));
    voters.delete(peers.self.vm);
    const live = peers.live().filter((vm) => voters.has(vm));
    const replies = live.map(async (vm) => {
      this.#noteReply(await peers.fetchKnownRevision(vm, service));
    });
    void Promise.all(replies).then(() => {
      this.#isPollingVoters = false;
    });
  }

  #noteReply(reply: TimedReply | undefined): void {
    if (reply === undefined) return;
    this.notePeer(reply, reply.known, reply.requestedAtMs);
    this.#markUrgentCommands();
  }

  #markUrgentCommands(): void {
    const { leaseCommands } = this.#options;
    leaseCommands.markUrgent(this.#controller.takeUrgentServers());
    // Polled until the last request of the slice has finished.
    leaseCommands.markUrgent(this.#controller.vacatingServers());
  }

  #reviewVoters(nowMs: number): void {
    if (nowMs < this.#votersReviewedAtMs + VOTER_REVIEW_INTERVAL_MS) return;
    this.#votersReviewedAtMs = nowMs;
    const review = this.#voterReview.review(nowMs);
    this.#voterCount = review.voters.length;
    this.#controller.noteRemovedVms(review.removed, nowMs);
    this.#controller.keepMembers(this.#context.peers.all());
    this.#controller.requestTimings(this.#context.timings);
    if (review.voters.length === 0) return;
    this.#controller.requestVoters(review.voters);
  }

  #plan(nowMs: number): void {
    const planner = this.#currentPlanner();
    if (planner === undefined) return;
    const { assignment } = this.#controller;
    if (assignment === undefined) return this.#planInitial(planner, nowMs);
    const isDue = nowMs >= this.#plannedAtMs + this.#context.timings.planMs;
    if (isDue && this.#hasLiveQuorum(assignment)) {
      this.#plannedAtMs = nowMs;
      this.#failuresCheckedAtMs = nowMs;
      return this.#request(planner.plan(this.#planInput(assignment, nowMs)));
    }
    if (nowMs < this.#failuresCheckedAtMs + FAILURE_PLAN_INTERVAL_MS) return;
    this.#failuresCheckedAtMs = nowMs;
    if (!this.#needsFailurePlan(assignment)) return;
    this.#request(planner.planEvacuations(this.#planInput(assignment, nowMs)));
  }

  /**
   * Without a live quorum no handover can finish. A leader that is cut off from
   * its peers would only take keys away from healthy servers.
   */
  #hasLiveQuorum({ keeperSets }: contracts.Assignment): boolean {
    const live = new Set(this.#context.peers.live());
    return keeperSets.every((voterSet) => {
      const count = voterSet.filter(({ vm }) => live.has(vm)).length;
      return count >= ownership.quorumSize(voterSet.length);
    });
  }

  #needsFailurePlan(assignment: contracts.Assignment): boolean {
    if (assignment !== this.#ownersAssignment) {
      this.#ownersAssignment = assignment;
      this.#owners = new Set(assignment.slices.map(({ server }) => server));
      this.#hasHandovers = assignment.slices
        .some(({ state }) => state === "vacating");
    }
    return this.#hasHandovers ||
      [...this.#owners].some((server) => this.#stateOf(server) !== "live");
  }

  #request(plan: placement.Plan): void {
    for (const change of plan.changes) this.#controller.request(change);
  }

  /** Recreated when the weights of the configuration change. */
  #currentPlanner(): placement.Planner | undefined {
    const service = this.#options.config();
    if (service === undefined) return undefined;
    const { imbalanceWeight, churnWeight } = service;
    const weights = `${imbalanceWeight}/${churnWeight}`;
    if (this.#planner === undefined || weights !== this.#plannerWeights) {
      this.#plannerWeights = weights;
      this.#planner = new placement.Planner({
        ...placement.DEFAULT_PLACEMENT,
        imbalanceWeight,
        churnWeight,
      });
    }
    return this.#planner;
  }

  #planInitial(planner: placement.Planner, nowMs: number): void {
    if (!this.#controller.isAbsent || this.#context.known.revision > 0) return;
    const listed = this.#options.leaseCommands.addresses()
      .filter(({ state }) => state === "live");
    const responding = listed.filter(({ server }) =>
      this.#stateOf(server) === "live"
    );
    const mayWait = nowMs < this.#leaderSinceMs + BOOTSTRAP_TIMEOUT_MS;
    const isComplete = responding.length === listed.length &&
      this.#areVotersReady(nowMs);
    if (responding.length === 0 || (!isComplete && mayWait)) return;
    const servers = responding.map(({ server }) => server).sort();
    const count = planner.initialSliceCount(servers.length);
    this.#controller.requestInitial(
      ownership.equalSlices(servers, count, { fence: 1 }),
    );
    this.#log.info("initial assignment planned", {
      service: this.#context.service,
      servers: servers.length,
      slices: count,
    });
  }

  /**
   * Whether every listed entry VM, up to the maximum number of voters, may
   * vote. The initial assignment of a cluster that has just started would
   * otherwise name its writer as the only voter. If that VM failed before the
   * set grew, no key could be handed over any more.
   */
  #areVotersReady(nowMs: number): boolean {
    if (nowMs < this.#leaderSinceMs + MIN_BOOTSTRAP_WAIT_MS) return false;
    this.#votersReviewedAtMs = Number.NEGATIVE_INFINITY;
    this.#reviewVoters(nowMs);
    const listed = this.#context.peers.listed()?.size ?? Infinity;
    return this.#voterCount >= Math.min(listed, ownership.MAX_VOTERS);
  }

  #planInput(
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

  /** `unmet`: listed, but hasn't replied to any lease command yet. */
  #stateOf(
    server: contracts.ServerId,
  ): placement.PlacementServer["state"] | "unmet" {
    const { leaseCommands } = this.#options;
    if (leaseCommands.isLost(server)) return "lost";
    const status = leaseCommands.status(server);
    const listed = this.#context.servers.server(server);
    if (status?.draining === true) return "leaving";
    if (listed !== undefined && listed.state !== "live") return "leaving";
    // An owner that hasn't replied to this VM yet counts as live until the
    // failure detector reports it.
    if (status === undefined) return this.#ownsAny(server) ? "live" : "unmet";
    return listed === undefined ? "leaving" : "live";
  }

  #ownsAny(server: contracts.ServerId): boolean {
    const slices = this.#controller.assignment?.slices ?? [];
    return slices.some((slice) =>
      slice.state === "owned" && slice.server === server
    );
  }

  #logChanges(
    effect: Extract<ownership.AssignmentEffect, { kind: "write" }>,
    write: ownership.AssignmentWriteResult,
  ): void {
    const { service, revision } = effect.assignment;
    const isWritten = write.kind === "acknowledged";
    if (!isWritten) {
      this.#log.warn("assignment write not acknowledged, reading it back", {
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
  vacate: "handover started",
  settle: "handover finished",
  redirect: "handover redirected to another owner",
  split: "split",
  merge: "merged with the next slice",
} as const;
