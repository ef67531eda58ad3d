/**
 * Registry of the entry VMs that this one knows: which of them are up, and
 * their division into cells.
 */
import type * as contracts from "@guavatide/contracts";
import * as cells from "@guavatide/decisions/cells/mod";
import * as grants from "@guavatide/decisions/grants/mod";
import { Listeners } from "../../utils/listeners.ts";
import type { Logger } from "../../utils/log.ts";
import type {
  PeerFailure,
  PeerHello,
  PeerStatus,
  VoterStatus,
} from "./peer_messages.ts";

/** A VM that the store or a peer has named, or that has sent a message. */
export interface Peer {
  readonly vm: contracts.VmId;
  host: string;
  port: number;
  incarnation: contracts.Incarnation | undefined;
  /** Sequence number of its last message; -1 before the first. */
  sequence: number;
  /** When its last message arrived; when it was added, before the first. */
  lastMessageAtMs: number;
  /**
   * Heartbeat timeout: without another message the peer counts as lost then.
   */
  liveUntilMs: number;
  /** When this VM last sent it a heartbeat. */
  sentAtMs: number;
  isLive: boolean;
  /**
   * A peer lost without a leave message stays a member of its cell until then;
   * undefined for any other.
   */
  cellMemberUntilMs: number | undefined;
  /** Whether it was sent this VM's last status. */
  receivesStatus: boolean;
  /** Whether it was sent this VM's last status as a voter. */
  receivesVoterStatus: boolean;
  hello: PeerHello | undefined;
  status: PeerStatus | undefined;
}

/** Options of {@link PeerRegistry}. */
export interface PeerRegistryOptions {
  readonly self: cells.CellVm & grants.VmStrength;
  readonly clock: contracts.Clock;
  readonly log: Logger;
  /** Voters of range maps: each exchanges its status with all others. */
  readonly voters: () => ReadonlySet<contracts.VmId>;
}

/** A peer without a message for this long is removed. */
const PEER_TTL_MS = 60_000;
/**
 * A lost peer stays a member of its cell for this long: busy VMs miss one
 * another's heartbeats for a moment, and new cells make all of them list the
 * store.
 */
const CELL_MEMBER_TTL_MS = 5_000;

/** Peers by VM. */
export class PeerRegistry {
  readonly #options: PeerRegistryOptions;
  readonly #peers = new Map<contracts.VmId, Peer>();
  #live: readonly PeerHello[] | undefined;
  #cellPlan: cells.CellPlan | undefined;
  /**
   * Cache of the VMs that are up, by availability zone; without a zone, those
   * of all zones.
   */
  readonly #liveByZone = new Map<
    contracts.ZoneId | undefined,
    readonly contracts.VmId[]
  >();
  /**
   * Cache of all known VMs, up or not, by availability zone; without a zone,
   * those of all zones.
   */
  readonly #knownByZone = new Map<
    contracts.ZoneId | undefined,
    readonly contracts.VmId[]
  >();
  #roleWeights: grants.VmWeights = new Map();
  #areWeightsCurrent = false;
  readonly #listeners: Listeners;

  constructor(options: PeerRegistryOptions) {
    this.#options = options;
    this.#listeners = new Listeners("changes of peers", options.log);
  }

  /** All known peers. */
  get all(): Iterable<Peer> {
    return this.#peers.values();
  }

  /** Number of known peers. */
  get size(): number {
    return this.#peers.size;
  }

  /**
   * Registers a listener for VMs that join, leave, fail or change their zone.
   */
  onMembersChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  get(vm: contracts.VmId): Peer | undefined {
    return this.#peers.get(vm);
  }

  /**
   * Adds a VM that the store or a peer has named, or updates its address;
   * undefined for this VM itself.
   */
  add(vm: contracts.VmId, host: string, port: number): Peer | undefined {
    if (vm === this.#options.self.vm) return undefined;
    const found = this.#peers.get(vm);
    if (found !== undefined) return Object.assign(found, { host, port });
    const peer: Peer = {
      vm,
      host,
      port,
      incarnation: undefined,
      sequence: -1,
      lastMessageAtMs: this.#options.clock.nowMs(),
      liveUntilMs: Number.NEGATIVE_INFINITY,
      sentAtMs: Number.NEGATIVE_INFINITY,
      isLive: false,
      cellMemberUntilMs: undefined,
      receivesStatus: false,
      receivesVoterStatus: false,
      hello: undefined,
      status: undefined,
    };
    this.#peers.set(vm, peer);
    return peer;
  }

  /**
   * Records a peer's hello, or its status with the hello's fields; undefined
   * when a later message of its incarnation was received.
   */
  noteHello(
    hello: PeerHello,
    status: PeerStatus | undefined,
  ): Peer | undefined {
    const peer = this.add(hello.vm, hello.host, hello.port);
    if (peer === undefined) return undefined;
    const isSameIncarnation = peer.incarnation === hello.incarnation;
    // Datagrams may arrive out of order.
    if (isSameIncarnation && hello.sequence <= peer.sequence) return undefined;
    const nowMs = this.#options.clock.nowMs();
    const isLive = !hello.isLeaving;
    const isUnchanged = peer.isLive === isLive && isSameIncarnation &&
      peer.hello?.zone === hello.zone;
    const wasCellMember = isCellMember(peer) && peer.hello?.zone === hello.zone;
    if (!peer.isLive || !isSameIncarnation) {
      // It may not know this VM yet, so a hello is due at once.
      peer.sentAtMs = Number.NEGATIVE_INFINITY;
    }
    if (!peer.isLive) {
      this.#options.log.info("Received a hello from a peer that was not up.", {
        peer: hello.vm,
        isNewRun: !isSameIncarnation,
      });
    }
    Object.assign(peer, {
      incarnation: hello.incarnation,
      sequence: hello.sequence,
      lastMessageAtMs: nowMs,
      liveUntilMs: nowMs + hello.standsMs,
      isLive,
      cellMemberUntilMs: undefined,
      hello,
      status: status ?? (isSameIncarnation ? peer.status : undefined),
    });
    this.#live = undefined;
    if (!wasCellMember || !isLive) this.#cellPlan = undefined;
    if (!isUnchanged) this.#notifyMembersChange();
    return peer;
  }

  /**
   * Records a voter's status; false when a later message was received, or no
   * hello yet.
   */
  noteVoterStatus(
    { vm, incarnation, sequence, standsMs }: VoterStatus,
  ): boolean {
    const peer = this.#peers.get(vm);
    const isNewer = peer?.incarnation === incarnation &&
      sequence > peer.sequence;
    if (peer === undefined || !isNewer || !peer.isLive) return false;
    const nowMs = this.#options.clock.nowMs();
    // Shorter than the timeout of its hello: a lost voter has to be replaced
    // soon.
    const liveUntilMs = nowMs + standsMs;
    Object.assign(peer, { sequence, lastMessageAtMs: nowMs, liveUntilMs });
    return true;
  }

  /**
   * Handles a report by a peer's cell that it has failed. The report is ignored
   * when a later message of the peer was received here.
   */
  noteFailure({ vm, incarnation, sequence }: PeerFailure): void {
    const peer = this.#peers.get(vm);
    const isLatest = peer?.incarnation === incarnation &&
      peer.sequence <= sequence;
    if (isLatest) peer.liveUntilMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * Expires heartbeats and old entries; returns the peers whose heartbeat has
   * just timed out.
   */
  expire(): Peer[] {
    const nowMs = this.#options.clock.nowMs();
    const lost: Peer[] = [];
    let isChanged = false;
    for (const [vm, peer] of this.#peers) {
      const sinceLastMessageMs = nowMs - peer.lastMessageAtMs;
      if (peer.isLive && nowMs > peer.liveUntilMs) {
        peer.isLive = false;
        peer.cellMemberUntilMs = nowMs + CELL_MEMBER_TTL_MS;
        peer.status = undefined;
        isChanged = true;
        lost.push(peer);
        this.#options.log.warn("Peer's heartbeat timed out.", {
          peer: vm,
          silentMs: Math.round(sinceLastMessageMs),
        });
      }
      if (
        peer.cellMemberUntilMs !== undefined && nowMs > peer.cellMemberUntilMs
      ) {
        peer.cellMemberUntilMs = undefined;
        this.#cellPlan = undefined;
        isChanged = true;
      }
      if (sinceLastMessageMs > PEER_TTL_MS) {
        this.#peers.delete(vm);
        this.#knownByZone.clear();
        this.#areWeightsCurrent = false;
      }
    }
    if (isChanged) this.#notifyMembersChange();
    return lost;
  }

  /** Peers that are up. */
  get live(): readonly PeerHello[] {
    this.#live ??= [...this.#peers.values()]
      .filter(({ isLive }) => isLive).map(({ hello }) => hello!);
    return this.#live;
  }

  /**
   * VMs of an availability zone, or of all zones, that are up, this one
   * included, sorted by name.
   */
  liveVmsIn(zone: contracts.ZoneId | undefined): readonly contracts.VmId[] {
    const found = this.#liveByZone.get(zone);
    if (found !== undefined) return found;
    const vms = this.#sortedVmsIn(zone, this.live);
    this.#liveByZone.set(zone, vms);
    return vms;
  }

  /**
   * Known VMs of an availability zone, or of all zones, up or not, this one
   * included, sorted by name. A VM is known for a minute after its last
   * message.
   */
  knownVmsIn(zone: contracts.ZoneId | undefined): readonly contracts.VmId[] {
    const found = this.#knownByZone.get(zone);
    if (found !== undefined) return found;
    const hellos = [...this.#peers.values()].flatMap(({ hello }) =>
      hello ?? []
    );
    const vms = this.#sortedVmsIn(zone, hellos);
    this.#knownByZone.set(zone, vms);
    return vms;
  }

  /**
   * Weights of the known VMs, up or not, for roles that they take on for
   * others; the same map until one changes.
   */
  get roleWeights(): grants.VmWeights {
    if (this.#areWeightsCurrent) return this.#roleWeights;
    this.#areWeightsCurrent = true;
    const { self } = this.#options;
    const weights = new Map([[self.vm, grants.roleWeight(self)]]);
    for (const { vm, hello } of this.#peers.values()) {
      if (hello !== undefined) weights.set(vm, grants.roleWeight(hello));
    }
    const known = this.#roleWeights;
    const isSame = known.size === weights.size &&
      [...weights].every(([vm, weight]) => known.get(vm) === weight);
    if (!isSame) this.#roleWeights = weights;
    return this.#roleWeights;
  }

  #sortedVmsIn(
    zone: contracts.ZoneId | undefined,
    peers: readonly cells.CellVm[],
  ): readonly contracts.VmId[] {
    return [this.#options.self, ...peers]
      .filter((it) => zone === undefined || it.zone === zone)
      .map(({ vm }) => vm).sort();
  }

  /** Latest statuses of the peers that are up and send them to this VM. */
  *statuses(): Generator<PeerStatus> {
    for (const { isLive, status } of this.#peers.values()) {
      if (isLive && status !== undefined) yield status;
    }
  }

  /** The cells of the VMs that are up or were just lost, this one included. */
  get cellPlan(): cells.CellPlan {
    const { vm, zone } = this.#options.self;
    if (this.#cellPlan !== undefined) return this.#cellPlan;
    const cellMembers = [...this.#peers.values()]
      .filter(isCellMember)
      .map((peer) => ({ vm: peer.vm, zone: peer.hello!.zone }));
    this.#cellPlan = new cells.CellPlan([{ vm, zone }, ...cellMembers]);
    return this.#cellPlan;
  }

  /** Whether this VM and a peer are both voters of range maps. */
  isFellowVoter(vm: contracts.VmId): boolean {
    const { self, voters } = this.#options;
    const voterSet = voters();
    return voterSet.has(self.vm) && voterSet.has(vm);
  }

  #notifyMembersChange(): void {
    this.#live = undefined;
    this.#liveByZone.clear();
    this.#knownByZone.clear();
    this.#areWeightsCurrent = false;
    this.#listeners.notify();
  }
}

/** Whether a peer belongs to a cell: it is up, or was just lost. */
function isCellMember(
  { isLive, cellMemberUntilMs: placeUntilMs }: Peer,
): boolean {
  return isLive || placeUntilMs !== undefined;
}
