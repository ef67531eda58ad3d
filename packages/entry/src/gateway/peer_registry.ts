/** The entry VMs that this one knows, who of them is up, and their cells. */
import type * as contracts from "@guavatide/contracts";
import * as cells from "@guavatide/decisions/cells/mod";
import type { PartLog } from "../utils/log.ts";
import type {
  PeerFailure,
  PeerHello,
  PeerStatus,
  VoterStatus,
} from "./peer_messages.ts";

/** A VM that was named or heard. */
export interface Peer {
  readonly vm: contracts.VmId;
  host: string;
  port: number;
  incarnation: contracts.Incarnation | undefined;
  sequence: number;
  heardAtMs: number;
  /**
   * Heartbeat timeout: without another message the peer then counts as lost.
   */
  liveUntilMs: number;
  /** When this VM last sent it a heartbeat. */
  sentAtMs: number;
  isLive: boolean;
  /**
   * Lost without a leave message, it keeps its place in the cells until then.
   */
  placeUntilMs: number | undefined;
  /** Whether it got this VM's last status. */
  receivesStatus: boolean;
  /** Whether it got this VM's last status as a keeper. */
  receivesVoterStatus: boolean;
  hello: PeerHello | undefined;
  status: PeerStatus | undefined;
}

/** Options of {@link PeerRegistry}. */
export interface PeerRegistryOptions {
  readonly self: cells.CellVm;
  readonly clock: contracts.Clock;
  readonly log: PartLog;
  /** VMs that answer for range maps: all of them stay in close touch. */
  readonly voters: () => ReadonlySet<contracts.VmId>;
}

/** A peer silent for this long is forgotten. */
const PEER_TTL_MS = 60_000;
/**
 * A lost peer keeps its place in the cells: busy VMs miss one another's
 * heartbeats for a moment, and new cells make all of them list the store.
 */
const CELL_PLACE_TTL_MS = 5_000;

/** Peers by VM. */
export class PeerRegistry {
  readonly #options: PeerRegistryOptions;
  readonly #peers = new Map<contracts.VmId, Peer>();
  #live: readonly PeerHello[] | undefined;
  #plan: cells.CellPlan | undefined;
  /** VMs that are up by availability zone, for those asked for. */
  readonly #zones = new Map<contracts.ZoneId, readonly contracts.VmId[]>();
  /** The same for VMs that were heard lately; without a zone, all of them. */
  readonly #known = new Map<
    contracts.ZoneId | undefined,
    readonly contracts.VmId[]
  >();
  readonly #listeners: (() => void)[] = [];

  constructor(options: PeerRegistryOptions) {
    this.#options = options;
  }

  /** All known peers. */
  get all(): Iterable<Peer> {
    return this.#peers.values();
  }

  /** Number of known peers. */
  get size(): number {
    return this.#peers.size;
  }

  /** Called when a VM came, went, or told another zone. */
  onMembersChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  get(vm: contracts.VmId): Peer | undefined {
    return this.#peers.get(vm);
  }

  /** Adds a VM that the store or a peer has named; undefined for this one. */
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
      heardAtMs: this.#options.clock.nowMs(),
      liveUntilMs: Number.NEGATIVE_INFINITY,
      sentAtMs: Number.NEGATIVE_INFINITY,
      isLive: false,
      placeUntilMs: undefined,
      receivesStatus: false,
      receivesVoterStatus: false,
      hello: undefined,
      status: undefined,
    };
    this.#peers.set(vm, peer);
    return peer;
  }

  /**
   * Takes a peer's message; undefined when a later one of its run was received.
   */
  noteHello(
    hello: PeerHello,
    status: PeerStatus | undefined,
  ): Peer | undefined {
    const peer = this.add(hello.vm, hello.host, hello.port);
    if (peer === undefined) return undefined;
    const isSameRun = peer.incarnation === hello.incarnation;
    // Datagrams may overtake one another.
    if (isSameRun && hello.sequence <= peer.sequence) return undefined;
    const nowMs = this.#options.clock.nowMs();
    const isLive = !hello.isLeaving;
    const isMember = peer.isLive === isLive && isSameRun &&
      peer.hello?.zone === hello.zone;
    const hadPlace = hasPlace(peer) && peer.hello?.zone === hello.zone;
    if (!peer.isLive || !isSameRun) {
      // It may not have heard of this VM yet, and is told at once.
      peer.sentAtMs = Number.NEGATIVE_INFINITY;
    }
    if (!peer.isLive) {
      this.#options.log.info("Hears a peer.", {
        peer: hello.vm,
        isNewRun: !isSameRun,
      });
    }
    Object.assign(peer, {
      incarnation: hello.incarnation,
      sequence: hello.sequence,
      heardAtMs: nowMs,
      liveUntilMs: nowMs + hello.standsMs,
      isLive,
      placeUntilMs: undefined,
      hello,
      status: status ?? (isSameRun ? peer.status : undefined),
    });
    this.#live = undefined;
    if (!hadPlace || !isLive) this.#plan = undefined;
    if (!isMember) this.#changed();
    return peer;
  }

  /**
   * Takes a keeper's status; false when a later one was received, or none yet.
   */
  noteVoterStatus(
    { vm, incarnation, sequence, standsMs }: VoterStatus,
  ): boolean {
    const peer = this.#peers.get(vm);
    const isNewer = peer?.incarnation === incarnation &&
      sequence > peer.sequence;
    if (peer === undefined || !isNewer || !peer.isLive) return false;
    const nowMs = this.#options.clock.nowMs();
    // Shorter than what its hello said: a lost keeper has to be replaced soon.
    const liveUntilMs = nowMs + standsMs;
    Object.assign(peer, { sequence, heardAtMs: nowMs, liveUntilMs });
    return true;
  }

  /** A peer's cell has lost it; what was heard of it since goes first. */
  noteFailure({ vm, incarnation, sequence }: PeerFailure): void {
    const peer = this.#peers.get(vm);
    const isKnown = peer?.incarnation === incarnation &&
      peer.sequence <= sequence;
    if (isKnown) peer.liveUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** Lets time pass, and returns peers whose heartbeat timed out. */
  expire(): Peer[] {
    const nowMs = this.#options.clock.nowMs();
    const lost: Peer[] = [];
    let isChanged = false;
    for (const [vm, peer] of this.#peers) {
      const silentMs = nowMs - peer.heardAtMs;
      if (peer.isLive && nowMs > peer.liveUntilMs) {
        peer.isLive = false;
        peer.placeUntilMs = nowMs + CELL_PLACE_TTL_MS;
        peer.status = undefined;
        isChanged = true;
        lost.push(peer);
        this.#options.log.warn("Lost a peer.", {
          peer: vm,
          silentMs: Math.round(silentMs),
        });
      }
      if (peer.placeUntilMs !== undefined && nowMs > peer.placeUntilMs) {
        peer.placeUntilMs = undefined;
        this.#plan = undefined;
        isChanged = true;
      }
      if (silentMs > PEER_TTL_MS) {
        this.#peers.delete(vm);
        this.#known.clear();
      }
    }
    if (isChanged) this.#changed();
    return lost;
  }

  /** Peers that are up. */
  get live(): readonly PeerHello[] {
    this.#live ??= [...this.#peers.values()]
      .filter(({ isLive }) => isLive).map(({ hello }) => hello!);
    return this.#live;
  }

  /** VMs of an availability zone that are up, this one included, by name. */
  liveVmsIn(zone: contracts.ZoneId): readonly contracts.VmId[] {
    const found = this.#zones.get(zone);
    if (found !== undefined) return found;
    const vms = this.#namesIn(zone, this.live);
    this.#zones.set(zone, vms);
    return vms;
  }

  /**
   * VMs of an availability zone, or of all, that were heard lately, up or not,
   * this one included, by name.
   */
  knownVmsIn(zone: contracts.ZoneId | undefined): readonly contracts.VmId[] {
    const found = this.#known.get(zone);
    if (found !== undefined) return found;
    const heard = [...this.#peers.values()].flatMap(({ hello }) => hello ?? []);
    const vms = this.#namesIn(zone, heard);
    this.#known.set(zone, vms);
    return vms;
  }

  #namesIn(
    zone: contracts.ZoneId | undefined,
    peers: readonly cells.CellVm[],
  ): readonly contracts.VmId[] {
    return [this.#options.self, ...peers]
      .filter((it) => zone === undefined || it.zone === zone)
      .map(({ vm }) => vm).sort();
  }

  /** Latest statuses of peers that are up and tell them. */
  *statuses(): Generator<PeerStatus> {
    for (const { isLive, status } of this.#peers.values()) {
      if (isLive && status !== undefined) yield status;
    }
  }

  /** The cells of the VMs that are up or just lost, this one included. */
  get cellPlan(): cells.CellPlan {
    const { vm, zone } = this.#options.self;
    if (this.#plan !== undefined) return this.#plan;
    const placed = [...this.#peers.values()]
      .filter(hasPlace)
      .map((peer) => ({ vm: peer.vm, zone: peer.hello!.zone }));
    this.#plan = new cells.CellPlan([{ vm, zone }, ...placed]);
    return this.#plan;
  }

  /** Whether this VM and a peer both answer for range maps. */
  isFellowVoter(vm: contracts.VmId): boolean {
    const { self, voters: keepers } = this.#options;
    const named = keepers();
    return named.has(self.vm) && named.has(vm);
  }

  #changed(): void {
    this.#live = undefined;
    this.#zones.clear();
    this.#known.clear();
    for (const listener of this.#listeners) listener();
  }
}

/** Whether the cells are drawn with a peer: it is up, or was just lost. */
function hasPlace({ isLive, placeUntilMs }: Peer): boolean {
  return isLive || placeUntilMs !== undefined;
}
