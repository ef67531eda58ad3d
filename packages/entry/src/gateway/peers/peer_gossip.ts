/**
 * Gossip between entry VMs by datagrams. The VMs of a cell, and the voters of
 * range maps, send one another their state when it changes and as a heartbeat;
 * all other VMs get a short hello at a longer interval.
 */
import type * as contracts from "@guavatide/contracts";
import * as cells from "@guavatide/decisions/cells/mod";
import * as grants from "@guavatide/decisions/grants/mod";
import type * as z from "zod";
import type { LifeCycle } from "../../utils/life_cycle.ts";
import { Listeners } from "../../utils/listeners.ts";
import type { Logger } from "../../utils/log.ts";
import { type Peer, PeerRegistry } from "./peer_registry.ts";
import { PeerChannel, type PeerTarget } from "./peer_channel.ts";
import { encodeMessage } from "./peer_codec.ts";
import {
  BROADCAST_METHOD,
  type BroadcastMessage,
  HELLO_METHOD,
  isBroadcastMessage,
  isLoadUpdate,
  isPeerHello,
  isPeerStatus,
  isVoterStatus,
  LOAD_METHOD,
  type LoadUpdate,
  PEER_FAILURE_METHOD,
  type PeerFailure,
  peerFailureSchema,
  type PeerHello,
  type PeerStatus,
  STATUS_METHOD,
  VOTER_METHOD,
  type VoterStatus,
} from "./peer_messages.ts";

/** Identity of this VM. */
export type GossipIdentity = Pick<
  PeerHello,
  | "vm"
  | "incarnation"
  | "host"
  | "port"
  | "zone"
  | "processorCores"
  | "linkMbps"
>;

/** The fields of a hello that the gossip itself does not fill in. */
export type OwnHello = Omit<
  PeerHello,
  keyof GossipIdentity | "sequence" | "standsMs"
>;

/** The fields of a status that are not in a hello. */
export type OwnState = Omit<PeerStatus, keyof PeerHello>;

/** The fields of a voter's status that the gossip itself does not fill in. */
export type OwnVoterState = Pick<
  VoterStatus,
  "lifeMs" | "grantAgesMs" | "handoverGrantTimesMs" | "silentServers"
>;

/** Options of {@link PeerGossip}. */
export interface PeerGossipOptions {
  readonly self: GossipIdentity;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  readonly log: Logger;
  readonly ownHello: () => OwnHello;
  readonly ownState: () => OwnState;
  readonly ownVoterState: () => OwnVoterState;
  readonly ownLoads: () => PeerStatus["loads"];
  /** Servers whose momentary slowdown has changed since the last call. */
  readonly takeSlowdowns: () => LoadUpdate["slowdowns"];
  /** Called for each datagram sent. */
  readonly onSent: (
    method: string,
    bytes: number,
    isSameZone: boolean,
  ) => void;
  /** Voters of range maps. */
  readonly voters: () => ReadonlySet<contracts.VmId>;
}

/** A voter's status with its times on this VM's clock. */
export interface ReceivedVoterStatus {
  readonly status: VoterStatus;
  /**
   * When this VM sent the message that the status echoes, so the status is no
   * older; negative infinity without an echo.
   */
  readonly sentAtMs: number;
  readonly receivedAtMs: number;
}

/**
 * Interval of a voter's statuses, well below the time after which confirmations
 * of range maps expire.
 */
const VOTER_STATUS_INTERVAL_MS = 200;
/** Interval of a VM's statuses to its cell. */
const CELL_STATUS_INTERVAL_MS = 400;
/** Limit on datagrams with load updates that a VM sends per second and core. */
const MAX_LOAD_DATAGRAMS_PER_CORE_SECOND = 400;
/** Shortest interval of load updates; a request takes longer. */
const LOAD_INTERVAL_MIN_MS = 40;
/** A peer counts as lost after so many intervals without a status. */
const STATUS_TIMEOUT_INTERVALS = 4;
/**
 * The interval of hellos to one peer is this times the number of peers: keeps a
 * VM's traffic constant in a deployment of any size.
 */
const HELLO_INTERVAL_PER_PEER_MS = 100;
const HELLO_INTERVAL_MIN_MS = 1_000;
/** Hello timeout in intervals; covers two lost hellos and some delay. */
const HELLO_TIMEOUT_INTERVALS = 2.5;
/** A peer without a message for this long gets only hellos. */
const STATUS_RECIPIENT_TTL_MS = 3_000;
/**
 * Changes of members within this time are reported together, as each report
 * makes the VMs redistribute all servers.
 */
const MEMBERS_CHANGE_DELAY_MS = 50;
/** A message up to this size is one packet. */
const SMALL_MESSAGE_BYTES = 1_400;
/** Number of messages whose send time this VM keeps, for echoes. */
const MAX_SENT_TIMES = 256;

/** Membership and state exchange among the entry VMs of a deployment. */
export class PeerGossip {
  readonly #options: PeerGossipOptions;
  readonly #channel: PeerChannel;
  readonly #registry: PeerRegistry;
  readonly #seeds = new Set<string>();
  readonly #statusListeners: Listeners<[status: PeerStatus]>;
  readonly #voterListeners: Listeners<[received: ReceivedVoterStatus]>;
  readonly #helloListeners: Listeners<[hello: PeerHello]>;
  readonly #loadListeners: Listeners<[update: LoadUpdate]>;
  readonly #memberListeners: Listeners;
  /** Set while a change of members waits to be reported. */
  #membersTimer: NodeJS.Timeout | undefined;
  /** When this VM sent each hello or status, by its sequence number. */
  readonly #sentAtMs = new Map<number, number>();
  readonly #relaySelection: cells.RelaySelection;
  #sequence = 0;
  #cellSentAtMs = Number.NEGATIVE_INFINITY;
  #loadsSentAtMs = Number.NEGATIVE_INFINITY;
  /** Set while a load update waits to be sent. */
  #loadsTimer: NodeJS.Timeout | undefined;
  /** Loads as last sent. */
  #lastSentLoads: PeerStatus["loads"] = {};
  #lifeCycle: LifeCycle | undefined;

  constructor(options: PeerGossipOptions) {
    this.#options = options;
    this.#statusListeners = new Listeners("statuses of peers", options.log);
    this.#voterListeners = new Listeners("statuses of voters", options.log);
    this.#helloListeners = new Listeners("hellos of peers", options.log);
    this.#loadListeners = new Listeners("loads of peers", options.log);
    this.#memberListeners = new Listeners("changes of members", options.log);
    this.#registry = new PeerRegistry(options);
    this.#relaySelection = new cells.RelaySelection(options.random);
    this.#registry.onMembersChange(() => this.#scheduleMembersChange());
    const { self: { host, port, zone }, log, onSent } = options;
    this.#channel = new PeerChannel({
      host,
      port,
      log,
      onSent: (method, bytes, to) => onSent(method, bytes, to.zone === zone),
    });
    this.onGuarded(
      HELLO_METHOD,
      isPeerHello,
      (hello) => this.#handleHello(hello),
    );
    this.onGuarded(
      STATUS_METHOD,
      isPeerStatus,
      (status) => this.#handleStatus(status),
    );
    this.onGuarded(
      VOTER_METHOD,
      isVoterStatus,
      (status) => this.#handleVoterStatus(status),
    );
    this.onGuarded(
      BROADCAST_METHOD,
      isBroadcastMessage,
      (message) => this.#relayBroadcast(message),
    );
    this.on(
      PEER_FAILURE_METHOD,
      peerFailureSchema,
      (failure) => this.#registry.noteFailure(failure),
    );
    this.onGuarded(
      LOAD_METHOD,
      isLoadUpdate,
      (update) => this.#loadListeners.notify(update),
    );
  }

  /**
   * Starts to listen, and the periodic work. Rejects when the port is taken.
   */
  async start(lifeCycle: LifeCycle): Promise<void> {
    this.#lifeCycle = lifeCycle;
    await this.#channel.listen(lifeCycle);
    lifeCycle.onStop({
      name: "news of load and members",
      timeoutMs: 100,
      run: () => {
        clearTimeout(this.#loadsTimer);
        clearTimeout(this.#membersTimer);
      },
    });
    lifeCycle.every(VOTER_STATUS_INTERVAL_MS, () => this.#tick(), "statuses");
  }

  /** Adds a VM that the store or a peer has named. */
  addPeer(vm: contracts.VmId, host: string, port: number): void {
    this.#registry.add(vm, host, port);
  }

  /** Adds the address of a seed: some VM may listen there. */
  addSeed(host: string): void {
    if (host !== this.#options.self.host) this.#seeds.add(host);
  }

  /** Number of seeds in the settings, without this VM. */
  get seedCount(): number {
    return this.#seeds.size;
  }

  /** Registers a listener for statuses of peers; outdated ones are left out. */
  onStatus(listener: (status: PeerStatus) => void): void {
    this.#statusListeners.add(listener);
  }

  /**
   * Registers a listener for statuses of voters; outdated ones are left out.
   */
  onVoterStatus(listener: (received: ReceivedVoterStatus) => void): void {
    this.#voterListeners.add(listener);
  }

  /**
   * Registers a listener for hellos and statuses of peers; outdated ones are
   * left out.
   */
  onHello(listener: (hello: PeerHello) => void): void {
    this.#helloListeners.add(listener);
  }

  /** Registers a listener for load updates of peers, sent between statuses. */
  onLoad(listener: (update: LoadUpdate) => void): void {
    this.#loadListeners.add(listener);
  }

  /** Registers a listener called soon after VMs joined, left or failed. */
  onMembersChange(listener: () => void): void {
    this.#memberListeners.add(listener);
  }

  /**
   * VMs of an availability zone, or of all zones, that are up, this one
   * included, sorted by name.
   */
  liveVmsIn(zone: contracts.ZoneId | undefined): readonly contracts.VmId[] {
    return this.#registry.liveVmsIn(zone);
  }

  /**
   * Known VMs of an availability zone, or of all zones, up or not, sorted by
   * name.
   */
  knownIn(zone: contracts.ZoneId | undefined): readonly contracts.VmId[] {
    return this.#registry.knownVmsIn(zone);
  }

  /** Weights of the known VMs for roles; the same map until one changes. */
  get roleWeights(): grants.VmWeights {
    return this.#registry.roleWeights;
  }

  #scheduleMembersChange(): void {
    const notify = () => {
      this.#membersTimer = undefined;
      this.#memberListeners.notify();
    };
    this.#membersTimer ??= this.#lifeCycle?.after(
      MEMBERS_CHANGE_DELAY_MS,
      notify,
      "change of members",
    );
  }

  /** Registers the handler of a method. */
  on<Params>(
    method: string,
    schema: z.ZodType<Params>,
    handler: (params: Params) => void,
  ): void {
    this.#channel.on(method, schema, handler);
  }

  /**
   * Like `on`, with a type guard: a schema is too slow for frequent messages.
   */
  onGuarded<Params>(
    method: string,
    isParams: (params: unknown) => params is Params,
    handler: (params: Params) => void,
  ): void {
    this.#channel.onGuarded(method, isParams, handler);
  }

  /** Sends a notification to some peers, or to all known ones. */
  send(
    method: string,
    params: object,
    vms?: readonly contracts.VmId[],
  ): void {
    const targets = vms?.flatMap((vm) => this.#registry.get(vm) ?? []) ??
      [...this.#registry.all];
    this.#channel.send(method, params, targets.map(targetOf));
  }

  /**
   * Sends a notification to all VMs: to those of its own cell, and to one VM of
   * every other cell, which relays it to its cell.
   */
  broadcast(method: string, params: object): void {
    this.send(method, params, this.#cellMembers());
    const message: BroadcastMessage = { method, params };
    const bytes = encodeMessage(BROADCAST_METHOD, message);
    const isLarge = bytes.length > SMALL_MESSAGE_BYTES;
    const targets = this.#relays({ isLarge })
      .flatMap((vm) => this.#registry.get(vm) ?? [])
      .map(targetOf);
    this.#channel.sendEncoded(BROADCAST_METHOD, bytes, targets);
  }

  /** One VM of every other cell. */
  #relays(options: cells.ChooseRelayOptions): contracts.VmId[] {
    const { self } = this.#options;
    return this.cellPlan.others(self.vm).flatMap((members) => {
      const live = members.filter((vm) => this.#registry.get(vm)?.isLive);
      const weak = grants.weakVms(live, this.roleWeights);
      return this.#relaySelection.choose({ live, weak }, options) ?? [];
    });
  }

  #relayBroadcast({ method, params }: BroadcastMessage): void {
    this.#channel.dispatch(method, params);
    if (typeof params !== "object" || params === null) return;
    this.send(method, params, this.#cellMembers());
  }

  /** Schedules a load update as soon as the rate limit permits. */
  scheduleLoadUpdate(): void {
    if (this.#loadsTimer !== undefined) return;
    const nowMs = this.#options.clock.nowMs();
    const sinceMs = nowMs - this.#loadsSentAtMs;
    const waitMs = Math.max(0, this.#loadIntervalMs() - sinceMs);
    const send = () => {
      this.#loadsTimer = undefined;
      this.#sendLoads(this.#options.clock.nowMs());
    };
    this.#loadsTimer = this.#lifeCycle?.after(waitMs, send, "loads");
  }

  /**
   * Sends the voter status to the other voters at once, as when they wait for
   * an acknowledgement.
   */
  notifyVoters(): void {
    this.#sendVoterStatus(this.#options.clock.nowMs());
  }

  /** Sends a hello to every VM at once, as when this one stops. */
  sendHelloToAll(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const peer of this.#registry.all) {
      peer.sentAtMs = Number.NEGATIVE_INFINITY;
    }
    this.#sendHellos(nowMs);
  }

  /** Peers that are up. */
  get live(): readonly PeerHello[] {
    return this.#registry.live;
  }

  /**
   * A random peer that is up, from this VM's availability zone if it has any.
   */
  randomPeer(): PeerHello | undefined {
    const { random, self } = this.#options;
    const sameZone = this.live.filter(({ zone }) => zone === self.zone);
    const peers = sameZone.length > 0 ? sameZone : this.live;
    return peers[Math.floor(random.next() * peers.length)];
  }

  /** Latest statuses of the peers that send them to this VM. */
  statuses(): Iterable<PeerStatus> {
    return this.#registry.statuses();
  }

  /** The cells of the VMs that are up or were just lost. */
  get cellPlan(): cells.CellPlan {
    return this.#registry.cellPlan;
  }

  /**
   * Whether a run of a VM has sent hellos from an address within the last
   * minute; it may be stopping.
   */
  isKnownRun(
    { vm, incarnation }: Pick<PeerHello, "vm" | "incarnation">,
    host: string | undefined,
  ): boolean {
    const peer = this.#registry.get(vm);
    return peer !== undefined && peer.incarnation === incarnation &&
      peer.host === host;
  }

  /** Time since a peer's last message; infinite for an unknown peer. */
  sinceLastMessageMs(vm: contracts.VmId): number {
    const peer = this.#registry.get(vm);
    if (peer === undefined) return Number.POSITIVE_INFINITY;
    return this.#options.clock.nowMs() - peer.lastMessageAtMs;
  }

  /** Number of entry VMs that are up, this one included. */
  get vmCount(): number {
    return 1 + this.#registry.live.length;
  }

  #tick(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const peer of this.#registry.expire()) this.#broadcastFailure(peer);
    this.#sendHellos(nowMs);
    this.#sendVoterStatus(nowMs);
    const isCellDue = nowMs - this.#cellSentAtMs >=
      CELL_STATUS_INTERVAL_MS - VOTER_STATUS_INTERVAL_MS / 2;
    if (isCellDue) this.#sendCellStatus(nowMs);
  }

  /** Only the first live VM of a cell broadcasts the failure of a member. */
  #broadcastFailure({ vm, incarnation, sequence }: Peer): void {
    const members = this.#cellMembers();
    const { self } = this.#options;
    const first = members.find((member) =>
      member === self.vm || this.#registry.get(member)?.isLive
    );
    if (!members.includes(vm) || first !== self.vm) return;
    if (incarnation === undefined) return;
    const failure: PeerFailure = { vm, incarnation, sequence };
    this.broadcast(PEER_FAILURE_METHOD, failure);
  }

  #loadIntervalMs(): number {
    const maxPerSecond = MAX_LOAD_DATAGRAMS_PER_CORE_SECOND *
      this.#options.self.processorCores;
    return Math.max(
      LOAD_INTERVAL_MIN_MS,
      1_000 * (this.#cellMembers().length - 1) / maxPerSecond,
    );
  }

  #cellMembers(): readonly contracts.VmId[] {
    return this.#registry.cellPlan.members(this.#options.self.vm);
  }

  #sendLoads(nowMs: number): void {
    this.#loadsSentAtMs = nowMs;
    const { self, ownLoads, takeSlowdowns } = this.#options;
    const loads = ownLoads();
    const changed = changedLoads(this.#lastSentLoads, loads);
    this.#lastSentLoads = loads;
    const slowdowns = takeSlowdowns();
    if (Object.keys(changed).length === 0 && slowdowns === undefined) return;
    const update: LoadUpdate = { vm: self.vm, loads: changed, slowdowns };
    const live = this.#cellMembers()
      .filter((vm) => this.#registry.get(vm)?.isLive);
    this.send(LOAD_METHOD, update, live);
  }

  #createHello(timeoutMs: number): PeerHello {
    this.#sequence++;
    this.#sentAtMs.set(this.#sequence, this.#options.clock.nowMs());
    this.#sentAtMs.delete(this.#sequence - MAX_SENT_TIMES);
    const { self, ownHello } = this.#options;
    return {
      ...self,
      ...ownHello(),
      sequence: this.#sequence,
      standsMs: timeoutMs,
    };
  }

  /**
   * Sends this VM's status as a voter to the other voters: confirms range maps
   * for grants.
   */
  #sendVoterStatus(nowMs: number): void {
    const peers = this.#selectRecipients(
      "receivesVoterStatus",
      ({ vm }) => this.#registry.isFellowVoter(vm),
      nowMs,
    );
    if (peers.length === 0) return;
    const { vm, incarnation, maps, sequence, standsMs } = this.#createHello(
      VOTER_STATUS_INTERVAL_MS * STATUS_TIMEOUT_INTERVALS,
    );
    const state = this.#options.ownVoterState();
    for (const peer of peers) {
      const echo: VoterStatus["echo"] = peer.incarnation === undefined
        ? null
        : [peer.incarnation, peer.sequence];
      const commonFields = { vm, incarnation, sequence, standsMs, maps };
      const status: VoterStatus = { ...commonFields, ...state, echo };
      this.#channel.send(VOTER_METHOD, status, [targetOf(peer)]);
    }
  }

  /**
   * Selects the recipients of a status: peers that belong to the group and are
   * up or were a short while ago. Records the choice in their field `mark`.
   */
  #selectRecipients(
    mark: "receivesStatus" | "receivesVoterStatus",
    belongs: (peer: Peer) => boolean,
    nowMs: number,
  ): Peer[] {
    const peers: Peer[] = [];
    for (const peer of this.#registry.all) {
      const wasRecipient = peer[mark];
      peer[mark] = belongs(peer) && isRecentlyLive(peer, nowMs);
      if (peer[mark]) peers.push(peer);
      // This peer's last status would time out before the next hello is due.
      else if (wasRecipient) peer.sentAtMs = Number.NEGATIVE_INFINITY;
    }
    return peers;
  }

  /** Sends this VM's load and store positions to its cell. */
  #sendCellStatus(nowMs: number): void {
    this.#cellSentAtMs = nowMs;
    const state = this.#options.ownState();
    this.#lastSentLoads = state.loads;
    const status: PeerStatus = {
      ...this.#createHello(CELL_STATUS_INTERVAL_MS * STATUS_TIMEOUT_INTERVALS),
      ...state,
    };
    const members = new Set(this.#cellMembers());
    const peers = this.#selectRecipients(
      "receivesStatus",
      ({ vm }) => members.has(vm),
      nowMs,
    );
    for (const peer of peers) peer.sentAtMs = nowMs;
    const isAlone = this.#registry.live.length === 0;
    const seeds = isAlone ? this.#seedTargets() : [];
    const targets = [...peers.map(targetOf), ...seeds];
    this.#channel.send(STATUS_METHOD, status, targets);
  }

  #seedTargets(): PeerTarget[] {
    const { port } = this.#options.self;
    return [...this.#seeds].map((host) => ({ host, port }));
  }

  /** Sends a hello to each peer that got no message for the interval. */
  #sendHellos(nowMs: number): void {
    const intervalMs = Math.max(
      HELLO_INTERVAL_MIN_MS,
      this.#registry.size * HELLO_INTERVAL_PER_PEER_MS,
    );
    const due = [...this.#registry.all]
      .filter(({ sentAtMs }) => nowMs - sentAtMs >= intervalMs);
    if (due.length === 0) return;
    for (const peer of due) peer.sentAtMs = nowMs;
    const hello = this.#createHello(intervalMs * HELLO_TIMEOUT_INTERVALS);
    this.#channel.send(HELLO_METHOD, hello, due.map(targetOf));
  }

  #handleHello(hello: PeerHello): void {
    if (this.#registry.noteHello(hello, undefined) === undefined) return;
    this.#helloListeners.notify(hello);
  }

  #handleStatus(status: PeerStatus): void {
    if (this.#registry.noteHello(status, status) === undefined) return;
    this.#helloListeners.notify(status);
    this.#statusListeners.notify(status);
  }

  #handleVoterStatus(status: VoterStatus): void {
    if (!this.#registry.noteVoterStatus(status)) return;
    const received = {
      status,
      sentAtMs: this.#echoSentAtMs(status),
      receivedAtMs: this.#options.clock.nowMs(),
    };
    this.#voterListeners.notify(received);
  }

  /**
   * When this VM sent the message that the peer echoes; negative infinity
   * without an echo of this incarnation.
   */
  #echoSentAtMs({ echo }: VoterStatus): number {
    const { incarnation } = this.#options.self;
    const [echoedIncarnation, sequence] = echo ?? [];
    const sentAtMs = echoedIncarnation === incarnation && sequence !== undefined
      ? this.#sentAtMs.get(sequence)
      : undefined;
    return sentAtMs ?? Number.NEGATIVE_INFINITY;
  }
}

function targetOf({ host, port, hello }: Peer): PeerTarget {
  return { host, port, zone: hello?.zone };
}

/** Whether a peer is up, or was a short while ago. */
function isRecentlyLive(
  { isLive, lastMessageAtMs }: Peer,
  nowMs: number,
): boolean {
  return isLive || nowMs - lastMessageAtMs < STATUS_RECIPIENT_TTL_MS;
}

/** Servers whose load differs, with the new load. */
function changedLoads(
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
