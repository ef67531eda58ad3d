/**
 * Datagrams between entry VMs. The VMs of a cell, and the keepers of range
 * maps, tell one another their state when it has changed and at a heartbeat;
 * all others get a short hello now and then.
 */
import type * as contracts from "@guavatide/contracts";
import type * as cells from "@guavatide/decisions/cells/mod";
import type * as z from "zod";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PartLog } from "../utils/log.ts";
import { type Peer, PeerRegistry } from "./peer_registry.ts";
import { PeerChannel, type PeerTarget } from "./peer_channel.ts";
import {
  BROADCAST_METHOD,
  type BroadcastMessage,
  broadcastMessageSchema,
  HELLO_METHOD,
  isLoadUpdate,
  isPeerStatus,
  isVoterStatus,
  LOAD_METHOD,
  type LoadUpdate,
  PEER_FAILURE_METHOD,
  type PeerFailure,
  peerFailureSchema,
  type PeerHello,
  peerHelloSchema,
  type PeerStatus,
  STATUS_METHOD,
  VOTER_METHOD,
  type VoterStatus,
} from "./peer_messages.ts";

/** Who this VM is. */
export type GossipIdentity = Pick<
  PeerHello,
  "vm" | "incarnation" | "host" | "port" | "zone" | "processorCores"
>;

/** The part of a hello that the VM's own tasks fill in. */
export type OwnHello = Omit<
  PeerHello,
  keyof GossipIdentity | "sequence" | "standsMs"
>;

/** The part of a status that the VM's own tasks fill in. */
export type OwnState = Omit<PeerStatus, keyof PeerHello>;

/** The part of a keeper's status that the VM's own tasks fill in. */
export type OwnVoterState = Pick<
  VoterStatus,
  "lifeMs" | "grantAgesMs" | "silentServers"
>;

/** Options of {@link PeerGossip}. */
export interface PeerGossipOptions {
  readonly self: GossipIdentity;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  readonly log: PartLog;
  readonly ownHello: () => OwnHello;
  readonly ownState: () => OwnState;
  readonly ownVoterState: () => OwnVoterState;
  readonly ownLoads: () => PeerStatus["loads"];
  /** Momentary speeds that have changed since the last call. */
  readonly takeSlowdowns: () => LoadUpdate["slowdowns"];
  /** A datagram leaves. */
  readonly onSent: (
    method: string,
    bytes: number,
    isSameZone: boolean,
  ) => void;
  /** VMs that answer for range maps. */
  readonly voters: () => ReadonlySet<contracts.VmId>;
}

/** A keeper's status with the moment that it answers. */
export interface ReceivedVoterStatus {
  readonly status: VoterStatus;
  /** When the own status left that the peer has echoed. */
  readonly askedAtMs: number;
  readonly receivedAtMs: number;
}

/** Between two statuses of keepers, well below the age limit of evidence. */
const KEEPER_STATUS_MS = 200;
/** Between two statuses of any VM to its cell. */
const CELL_STATUS_MS = 400;
/** Datagrams of load that a VM sends in a second for each core that it has. */
const LOAD_DATAGRAMS_PER_CORE_SECOND = 400;
/** Least time between two messages of load; a request takes longer. */
const LOAD_INTERVAL_MIN_MS = 40;
/** A peer counts as lost after so many intervals without a status. */
const STATUS_TIMEOUT_INTERVALS = 4;
/**
 * Between two hellos to one peer, times the number of peers: keeps a VM's
 * traffic constant in a deployment of any size.
 */
const HELLO_PER_PEER_MS = 100;
const HELLO_MIN_MS = 1_000;
/** Covers two lost hellos and some lateness. */
const HELLO_TIMEOUT_INTERVALS = 2.5;
/** A peer silent for this long gets only hellos. */
const STATUS_RECIPIENT_TTL_MS = 3_000;
/**
 * Members that change together are told together: each time, all servers are
 * shared out anew.
 */
const MEMBERS_DELAY_MS = 50;
/** Own hellos and statuses whose send time is kept. */
const SENT_TIMES_KEPT = 256;

/** What the VMs of a deployment tell one another of themselves. */
export class PeerGossip {
  readonly #options: PeerGossipOptions;
  readonly #channel: PeerChannel;
  readonly #book: PeerRegistry;
  readonly #seeds = new Set<string>();
  readonly #statusListeners: ((status: PeerStatus) => void)[] = [];
  readonly #keeperListeners: ((heard: ReceivedVoterStatus) => void)[] = [];
  readonly #helloListeners: ((hello: PeerHello) => void)[] = [];
  readonly #loadListeners: ((news: LoadUpdate) => void)[] = [];
  readonly #memberListeners: (() => void)[] = [];
  /** Set while a change of members waits to be passed on. */
  #membersTimer: NodeJS.Timeout | undefined;
  /** When each own hello or status left, by its sequence. */
  readonly #sentMs = new Map<number, number>();
  #sequence = 0;
  #cellSentAtMs = Number.NEGATIVE_INFINITY;
  #loadsSentAtMs = Number.NEGATIVE_INFINITY;
  /** Set while changed load waits to be sent. */
  #loadsTimer: NodeJS.Timeout | undefined;
  /** Loads as last sent. */
  #lastLoads: PeerStatus["loads"] = {};

  constructor(options: PeerGossipOptions) {
    this.#options = options;
    this.#book = new PeerRegistry(options);
    this.#book.onMembersChange(() => this.#noteMembers());
    const { self: { host, port, zone }, log, onSent } = options;
    this.#channel = new PeerChannel({
      host,
      port,
      log,
      onSent: (method, bytes, to) => onSent(method, bytes, to.zone === zone),
    });
    this.on(HELLO_METHOD, peerHelloSchema, (hello) => this.#takeHello(hello));
    this.onGuarded(
      STATUS_METHOD,
      isPeerStatus,
      (status) => this.#takeStatus(status),
    );
    this.onGuarded(
      VOTER_METHOD,
      isVoterStatus,
      (status) => this.#takeKeeper(status),
    );
    this.on(
      BROADCAST_METHOD,
      broadcastMessageSchema,
      (message) => this.#takeSpread(message),
    );
    this.on(
      PEER_FAILURE_METHOD,
      peerFailureSchema,
      (loss) => this.#book.noteFailure(loss),
    );
    this.onGuarded(LOAD_METHOD, isLoadUpdate, (news) => {
      for (const listener of this.#loadListeners) listener(news);
    });
  }

  /** Starts to listen. Errors: the port is taken. */
  async start(lifeCycle: LifeCycle): Promise<void> {
    await this.#channel.listen(lifeCycle);
    lifeCycle.onStop({
      name: "news of load and members",
      timeoutMs: 100,
      run: () => {
        clearTimeout(this.#loadsTimer);
        clearTimeout(this.#membersTimer);
      },
    });
    lifeCycle.every(KEEPER_STATUS_MS, () => this.#tick());
  }

  /** Adds a VM that the store or a peer has named. */
  addPeer(vm: contracts.VmId, host: string, port: number): void {
    this.#book.add(vm, host, port);
  }

  /** Adds an address at which some VM may listen. */
  addSeed(host: string): void {
    if (host !== this.#options.self.host) this.#seeds.add(host);
  }

  /** Addresses of other VMs that the settings name. */
  get seedCount(): number {
    return this.#seeds.size;
  }

  /** Called with each status of a peer that is newer than the last. */
  onStatus(listener: (status: PeerStatus) => void): void {
    this.#statusListeners.push(listener);
  }

  /** Called with each keeper's status that is newer than the last. */
  onVoterStatus(listener: (heard: ReceivedVoterStatus) => void): void {
    this.#keeperListeners.push(listener);
  }

  /** Called with each hello or status of a peer that is newer than the last. */
  onHello(listener: (hello: PeerHello) => void): void {
    this.#helloListeners.push(listener);
  }

  /** Called with changes of a peer's load between its statuses. */
  onLoad(listener: (news: LoadUpdate) => void): void {
    this.#loadListeners.push(listener);
  }

  /** Called soon after VMs came or went. */
  onMembersChange(listener: () => void): void {
    this.#memberListeners.push(listener);
  }

  /** VMs of an availability zone that are up, this one included, by name. */
  liveVmsIn(zone: contracts.ZoneId): readonly contracts.VmId[] {
    return this.#book.liveVmsIn(zone);
  }

  /** VMs of a zone, or of all, that were heard lately, up or not, by name. */
  knownIn(zone: contracts.ZoneId | undefined): readonly contracts.VmId[] {
    return this.#book.knownVmsIn(zone);
  }

  #noteMembers(): void {
    this.#membersTimer ??= setTimeout(() => {
      this.#membersTimer = undefined;
      for (const listener of this.#memberListeners) listener();
    }, MEMBERS_DELAY_MS);
  }

  /** Registers who takes a method's parameters. */
  on<Params>(
    method: string,
    schema: z.ZodType<Params>,
    take: (params: Params) => void,
  ): void {
    this.#channel.on(method, schema, take);
  }

  /** The same for messages that come too often for a schema. */
  onGuarded<Params>(
    method: string,
    isParams: (params: unknown) => params is Params,
    take: (params: Params) => void,
  ): void {
    this.#channel.onGuarded(method, isParams, take);
  }

  /** Sends a notification to some peers, or to all. */
  send(
    method: string,
    params: object,
    vms?: readonly contracts.VmId[],
  ): void {
    const peers = vms?.flatMap((vm) => this.#book.get(vm) ?? []) ??
      [...this.#book.all];
    this.#channel.send(method, params, peers.map(targetOf));
  }

  /**
   * Sends a notification to all: to the own cell, and to one VM of every other
   * cell, which passes it on.
   */
  broadcast(method: string, params: object): void {
    this.send(method, params, this.#cellPeers());
    const message: BroadcastMessage = { method, params };
    this.send(BROADCAST_METHOD, message, this.#oneOfEachOtherCell());
  }

  #oneOfEachOtherCell(): contracts.VmId[] {
    const { random, self } = this.#options;
    return this.cellPlan.others(self.vm).flatMap((members) => {
      const live = members.filter((vm) => this.#book.get(vm)?.isLive);
      // Drawn anew each time, so that one that is lost keeps little from a cell.
      const drawn = live[Math.floor(random.next() * live.length)];
      return drawn === undefined ? [] : [drawn];
    });
  }

  #takeSpread({ method, params }: BroadcastMessage): void {
    this.#channel.dispatch(method, params);
    if (typeof params !== "object" || params === null) return;
    this.send(method, params, this.#cellPeers());
  }

  /** Tells the changed load as soon as it may. */
  scheduleLoadUpdate(): void {
    if (this.#loadsTimer !== undefined) return;
    const nowMs = this.#options.clock.nowMs();
    const sinceMs = nowMs - this.#loadsSentAtMs;
    const waitMs = Math.max(0, this.#loadIntervalMs() - sinceMs);
    this.#loadsTimer = setTimeout(() => {
      this.#loadsTimer = undefined;
      this.#sendLoads(this.#options.clock.nowMs());
    }, waitMs);
  }

  /** Sends the status to the other keepers at once: they wait for it. */
  notifyVoters(): void {
    this.#sendKeeperStatus(this.#options.clock.nowMs());
  }

  /** Sends a hello to every VM at once, as when this one stops. */
  sendHelloToAll(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const peer of this.#book.all) {
      peer.sentAtMs = Number.NEGATIVE_INFINITY;
    }
    this.#sendHellos(nowMs);
  }

  /** Peers that are up. */
  get live(): readonly PeerHello[] {
    return this.#book.live;
  }

  /** A peer that is up, one of the own availability zone if there is any. */
  randomPeer(): PeerHello | undefined {
    const { random, self } = this.#options;
    const near = this.live.filter(({ zone }) => zone === self.zone);
    const peers = near.length > 0 ? near : this.live;
    return peers[Math.floor(random.next() * peers.length)];
  }

  /** Latest statuses of the peers in close touch. */
  statuses(): Iterable<PeerStatus> {
    return this.#book.statuses();
  }

  /** The cells of the VMs that are up. */
  get cellPlan(): cells.CellPlan {
    return this.#book.cellPlan;
  }

  /** Time since a peer's last message; infinite for an unknown one. */
  sinceLastMessageMs(vm: contracts.VmId): number {
    const peer = this.#book.get(vm);
    if (peer === undefined) return Number.POSITIVE_INFINITY;
    return this.#options.clock.nowMs() - peer.heardAtMs;
  }

  /** Entry VMs that are up, this one included. */
  get vmCount(): number {
    return 1 + this.#book.live.length;
  }

  #tick(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const peer of this.#book.expire()) this.#spreadLoss(peer);
    this.#sendHellos(nowMs);
    this.#sendKeeperStatus(nowMs);
    const isCellDue =
      nowMs - this.#cellSentAtMs >= CELL_STATUS_MS - KEEPER_STATUS_MS / 2;
    if (isCellDue) this.#sendCellStatus(nowMs);
  }

  /** Of the cell's VMs the first that is up tells all of a loss. */
  #spreadLoss({ vm, incarnation, sequence }: Peer): void {
    const members = this.#cellPeers();
    const { self } = this.#options;
    const first = members.find((member) =>
      member === self.vm || this.#book.get(member)?.isLive
    );
    if (!members.includes(vm) || first !== self.vm) return;
    if (incarnation === undefined) return;
    const loss: PeerFailure = { vm, incarnation, sequence };
    this.broadcast(PEER_FAILURE_METHOD, loss);
  }

  #loadIntervalMs(): number {
    const perSecond = LOAD_DATAGRAMS_PER_CORE_SECOND *
      this.#options.self.processorCores;
    return Math.max(
      LOAD_INTERVAL_MIN_MS,
      1_000 * (this.#cellPeers().length - 1) / perSecond,
    );
  }

  #cellPeers(): readonly contracts.VmId[] {
    return this.#book.cellPlan.members(this.#options.self.vm);
  }

  #sendLoads(nowMs: number): void {
    this.#loadsSentAtMs = nowMs;
    const { self, ownLoads, takeSlowdowns } = this.#options;
    const loads = ownLoads();
    const changed = changesOf(this.#lastLoads, loads);
    this.#lastLoads = loads;
    const slowdowns = takeSlowdowns();
    if (Object.keys(changed).length === 0 && slowdowns === undefined) return;
    const news: LoadUpdate = { vm: self.vm, loads: changed, slowdowns };
    const live = this.#cellPeers()
      .filter((vm) => this.#book.get(vm)?.isLive);
    this.send(LOAD_METHOD, news, live);
  }

  #hello(standsMs: number): PeerHello {
    this.#sequence++;
    this.#sentMs.set(this.#sequence, this.#options.clock.nowMs());
    this.#sentMs.delete(this.#sequence - SENT_TIMES_KEPT);
    const { self, ownHello } = this.#options;
    return { ...self, ...ownHello(), sequence: this.#sequence, standsMs };
  }

  /** Evidence for grants: a keeper's status to the other keepers. */
  #sendKeeperStatus(nowMs: number): void {
    const peers = this.#follow(
      "isFellowKeeper",
      ({ vm }) => this.#book.isFellowVoter(vm),
      nowMs,
    );
    if (peers.length === 0) return;
    const { vm, incarnation, maps, sequence, standsMs } = this.#hello(
      KEEPER_STATUS_MS * STATUS_TIMEOUT_INTERVALS,
    );
    const state = this.#options.ownVoterState();
    for (const peer of peers) {
      const echo: VoterStatus["echo"] = peer.incarnation === undefined
        ? null
        : [peer.incarnation, peer.sequence];
      const word = { vm, incarnation, sequence, standsMs, maps };
      const status: VoterStatus = { ...word, ...state, echo };
      this.#channel.send(VOTER_METHOD, status, [targetOf(peer)]);
    }
  }

  /** Peers that get a status now, without those silent for long. */
  #follow(
    mark: "isInCell" | "isFellowKeeper",
    belongs: (peer: Peer) => boolean,
    nowMs: number,
  ): Peer[] {
    const peers: Peer[] = [];
    for (const peer of this.#book.all) {
      const wasFollowed = peer[mark];
      peer[mark] = belongs(peer) && isHeard(peer, nowMs);
      if (peer[mark]) peers.push(peer);
      // The last status times out before the next hello is due.
      else if (wasFollowed) peer.sentAtMs = Number.NEGATIVE_INFINITY;
    }
    return peers;
  }

  /** This VM's load and what it has received, to its cell. */
  #sendCellStatus(nowMs: number): void {
    this.#cellSentAtMs = nowMs;
    const state = this.#options.ownState();
    this.#lastLoads = state.loads;
    const status: PeerStatus = {
      ...this.#hello(CELL_STATUS_MS * STATUS_TIMEOUT_INTERVALS),
      ...state,
    };
    const members = new Set(this.#cellPeers());
    const peers = this.#follow(
      "isInCell",
      ({ vm }) => members.has(vm),
      nowMs,
    );
    for (const peer of peers) peer.sentAtMs = nowMs;
    const isAlone = this.#book.live.length === 0;
    const seeds = isAlone ? this.#seedTargets() : [];
    const targets = [...peers.map(targetOf), ...seeds];
    this.#channel.send(STATUS_METHOD, status, targets);
  }

  #seedTargets(): PeerTarget[] {
    const { port } = this.#options.self;
    return [...this.#seeds].map((host) => ({ host, port }));
  }

  /** To each peer that got no message of this VM for the interval. */
  #sendHellos(nowMs: number): void {
    const intervalMs = Math.max(
      HELLO_MIN_MS,
      this.#book.size * HELLO_PER_PEER_MS,
    );
    const due = [...this.#book.all]
      .filter(({ sentAtMs }) => nowMs - sentAtMs >= intervalMs);
    if (due.length === 0) return;
    for (const peer of due) peer.sentAtMs = nowMs;
    const hello = this.#hello(intervalMs * HELLO_TIMEOUT_INTERVALS);
    this.#channel.send(HELLO_METHOD, hello, due.map(targetOf));
  }

  #takeHello(hello: PeerHello): void {
    if (this.#book.noteHello(hello, undefined) === undefined) return;
    for (const listener of this.#helloListeners) listener(hello);
  }

  #takeStatus(status: PeerStatus): void {
    if (this.#book.noteHello(status, status) === undefined) return;
    for (const listener of this.#helloListeners) listener(status);
    for (const listener of this.#statusListeners) listener(status);
  }

  #takeKeeper(status: VoterStatus): void {
    if (!this.#book.noteVoterStatus(status)) return;
    const heard = {
      status,
      askedAtMs: this.#askedAtMs(status),
      receivedAtMs: this.#options.clock.nowMs(),
    };
    for (const listener of this.#keeperListeners) listener(heard);
  }

  /** When the own message left that the peer echoed; long ago if none. */
  #askedAtMs({ echo }: VoterStatus): number {
    const { incarnation } = this.#options.self;
    const [run, sequence] = echo ?? [];
    const sentMs = run === incarnation && sequence !== undefined
      ? this.#sentMs.get(sequence)
      : undefined;
    return sentMs ?? Number.NEGATIVE_INFINITY;
  }
}

function targetOf({ host, port, hello }: Peer): PeerTarget {
  return { host, port, zone: hello?.zone };
}

/** Whether a peer is up, or was a short while ago. */
function isHeard({ isLive, heardAtMs }: Peer, nowMs: number): boolean {
  return isLive || nowMs - heardAtMs < STATUS_RECIPIENT_TTL_MS;
}

/** Servers whose figures differ, with their new ones. */
function changesOf(
  before: PeerStatus["loads"],
  now: PeerStatus["loads"],
): PeerStatus["loads"] {
  const changed: PeerStatus["loads"] = {};
  for (const [server, load] of Object.entries(now)) {
    if (before[server] !== load) changed[server] = load;
  }
  for (const server of Object.keys(before)) {
    if (now[server] === undefined) changed[server] = 0;
  }
  return changed;
}
