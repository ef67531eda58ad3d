/**
 * Datagrams between entry VMs. The VMs of a cell, and the keepers of range
 * maps, tell one another their state when it has changed and at a heartbeat;
 * all others get a short hello now and then.
 */
import type * as contracts from "@guavatide/contracts";
import type * as cells from "@guavatide/decisions/cells/mod";
import * as dgram from "node:dgram";
import type * as z from "zod";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PartLog } from "../utils/log.ts";
import { type Peer, PeerBook } from "./peer_book.ts";
import { decodeMessage, encodeMessage } from "./peer_codec.ts";
import {
  HELLO_METHOD,
  isLoadNews,
  LOAD_METHOD,
  type LoadNews,
  type PeerHello,
  peerHelloSchema,
  type PeerStatus,
  peerStatusSchema,
  STATUS_METHOD,
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
export type OwnState = Omit<PeerStatus, keyof PeerHello | "echoes">;

/** Options of {@link PeerGossip}. */
export interface PeerGossipOptions {
  readonly self: GossipIdentity;
  readonly clock: contracts.Clock;
  readonly log: PartLog;
  readonly ownHello: () => OwnHello;
  readonly ownState: () => OwnState;
  readonly ownLoads: () => PeerStatus["loads"];
  /** A datagram leaves. */
  readonly onSent: (
    method: string,
    bytes: number,
    isSameZone: boolean,
  ) => void;
  /** VMs that answer for range maps. */
  readonly keepers: () => ReadonlySet<contracts.VmId>;
}

/** A status with the moment that it answers. */
export interface HeardStatus {
  readonly status: PeerStatus;
  /** When the own status left that the peer has echoed. */
  readonly askedAtMs: number;
  readonly receivedAtMs: number;
}

/** Between two statuses of keepers: evidence for grants is good for 700 ms. */
const KEEPER_STATUS_MS = 200;
/** Between two statuses of any VM to its cell. */
const CELL_STATUS_MS = 500;
/**
 * Datagrams of load that a VM sends in a second for each core that it has, with
 * as many to take: 4% of its processor at 50 µs for each.
 */
const LOADS_PER_CORE_SECOND = 400;
/** Least time between two messages of load; a request takes longer. */
const SPACING_MIN_MS = 40;
/** A VM that tells its status is live when one of four was heard. */
const STATUSES_STAND = 4;
/**
 * Between two hellos to one peer, for each peer: 20 a second leave a VM in a
 * deployment of any size, so that a loss at 82 VMs is known after 10 s. Who
 * needs to know it sooner is in the same cell.
 */
const HELLO_PER_PEER_MS = 50;
const HELLO_MIN_MS = 1_000;
/**
 * Keepers tell so more often: all others send their counts of keys to the one
 * that makes the moves.
 */
const KEEPER_HELLO_PER_PEER_MS = 8;
/** A hello stands for two that got lost, and some lateness. */
const HELLOS_STAND = 2.5;
/** A peer that was silent for so long gets only hellos. */
const SILENT_MS = 3_000;
/** Own hellos and statuses whose time is remembered. */
const REMEMBERED = 256;

/** The task that owns the datagram socket. */
export class PeerGossip {
  readonly #options: PeerGossipOptions;
  readonly #socket = dgram.createSocket({ type: "udp4", lookup: noLookup });
  readonly #book: PeerBook;
  readonly #seeds = new Set<string>();
  readonly #handlers = new Map<string, (params: unknown) => void>();
  readonly #statusListeners: ((heard: HeardStatus) => void)[] = [];
  readonly #helloListeners: ((hello: PeerHello) => void)[] = [];
  readonly #loadListeners: ((news: LoadNews) => void)[] = [];
  /** When each own hello or status left, by its sequence. */
  readonly #sentMs = new Map<number, number>();
  #sequence = 0;
  #cellSentAtMs = Number.NEGATIVE_INFINITY;
  #loadsSentAtMs = Number.NEGATIVE_INFINITY;
  /** Set while changed load waits until it may be told. */
  #loadsTimer: NodeJS.Timeout | undefined;
  /** Loads as last told. */
  #toldLoads: PeerStatus["loads"] = {};

  constructor(options: PeerGossipOptions) {
    this.#options = options;
    this.#book = new PeerBook(options);
    this.on(HELLO_METHOD, peerHelloSchema, (hello) => this.#takeHello(hello));
    this.onGuarded(LOAD_METHOD, isLoadNews, (news) => {
      for (const listener of this.#loadListeners) listener(news);
    });
    this.#socket.on("message", (bytes) => this.#receive(bytes));
    this.#socket.on(
      "error",
      (error) =>
        options.log.warn("Datagram socket failed.", { error: error.message }),
    );
  }

  /** Starts to listen. Errors: the port is taken. */
  async start(lifeCycle: LifeCycle): Promise<void> {
    const { host, port } = this.#options.self;
    await new Promise<void>((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(port, host, () => {
        this.#socket.off("error", reject);
        resolve();
      });
    });
    lifeCycle.onStop({
      name: "datagrams to peers",
      timeoutMs: 100,
      run: () => {
        clearTimeout(this.#loadsTimer);
        this.#socket.close();
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
  onStatus(listener: (heard: HeardStatus) => void): void {
    this.#statusListeners.push(listener);
  }

  /** Called with each hello or status of a peer that is newer than the last. */
  onHello(listener: (hello: PeerHello) => void): void {
    this.#helloListeners.push(listener);
  }

  /** Called with changes of a peer's load between its statuses. */
  onLoad(listener: (news: LoadNews) => void): void {
    this.#loadListeners.push(listener);
  }

  /** Called when a VM came or went. */
  onMembers(listener: () => void): void {
    this.#book.onMembers(listener);
  }

  /** Registers who takes a method's parameters. */
  on<Params>(
    method: string,
    schema: z.ZodType<Params>,
    take: (params: Params) => void,
  ): void {
    this.#register(method, (params) => schema.safeParse(params).data, take);
  }

  /** The same for messages that come too often for a schema. */
  onGuarded<Params>(
    method: string,
    isParams: (params: unknown) => params is Params,
    take: (params: Params) => void,
  ): void {
    this.#register(
      method,
      (params) => isParams(params) ? params : undefined,
      take,
    );
  }

  #register<Params>(
    method: string,
    read: (params: unknown) => Params | undefined,
    take: (params: Params) => void,
  ): void {
    this.#handlers.set(method, (params) => {
      const known = read(params);
      if (known !== undefined) take(known);
      else this.#options.log.warn("Ignores a datagram.", { method });
    });
  }

  /** Sends a notification to some peers, or to all. */
  send(
    method: string,
    params: object,
    vms?: readonly contracts.VmId[],
  ): void {
    const bytes = encodeMessage(method, params);
    const peers = vms?.map((vm) => this.#book.get(vm)) ?? this.#book.all;
    for (const peer of peers) {
      if (peer !== undefined) this.#sendTo(peer, method, bytes);
    }
  }

  /** Tells the changed load as soon as it may. */
  noteChanged(): void {
    if (this.#loadsTimer !== undefined) return;
    const nowMs = this.#options.clock.nowMs();
    const sinceMs = nowMs - this.#loadsSentAtMs;
    const waitMs = Math.max(0, this.#loadSpacingMs() - sinceMs);
    this.#loadsTimer = setTimeout(() => {
      this.#loadsTimer = undefined;
      this.#sendLoads(this.#options.clock.nowMs());
    }, waitMs);
  }

  /** Sends the status to the other keepers at once: they wait for it. */
  sendNow(): void {
    this.#sendKeeperStatus(this.#options.clock.nowMs());
  }

  /** Tells every VM at once, as when this one stops. */
  sendToAll(): void {
    this.sendNow();
    this.#sendCellStatus(this.#options.clock.nowMs());
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

  /** Latest statuses of the peers in close touch. */
  statuses(): Iterable<PeerStatus> {
    return this.#book.statuses();
  }

  /** The cells of the VMs that are up. */
  get plan(): cells.CellPlan {
    return this.#book.plan;
  }

  /** How long each known peer has not been heard. */
  silentMs(vm: contracts.VmId): number {
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
    this.#book.tick();
    this.#sendHellos(nowMs);
    this.#sendKeeperStatus(nowMs);
    const isCellDue =
      nowMs - this.#cellSentAtMs >= CELL_STATUS_MS - KEEPER_STATUS_MS / 2;
    if (isCellDue) this.#sendCellStatus(nowMs);
  }

  #loadSpacingMs(): number {
    const perSecond = LOADS_PER_CORE_SECOND * this.#options.self.processorCores;
    return Math.max(
      SPACING_MIN_MS,
      1_000 * (this.#cellPeers().length - 1) / perSecond,
    );
  }

  #cellPeers(): readonly contracts.VmId[] {
    return this.#book.plan.members(this.#options.self.vm);
  }

  #sendLoads(nowMs: number): void {
    this.#loadsSentAtMs = nowMs;
    const { self, ownLoads } = this.#options;
    const loads = ownLoads();
    const changed = changesOf(this.#toldLoads, loads);
    this.#toldLoads = loads;
    if (Object.keys(changed).length === 0) return;
    const news: LoadNews = { vm: self.vm, loads: changed };
    const bytes = encodeMessage(LOAD_METHOD, news);
    for (const vm of this.#cellPeers()) {
      const peer = this.#book.get(vm);
      if (peer?.isLive) this.#sendTo(peer, LOAD_METHOD, bytes);
    }
  }

  #hello(standsMs: number): PeerHello {
    this.#sequence++;
    this.#sentMs.set(this.#sequence, this.#options.clock.nowMs());
    this.#sentMs.delete(this.#sequence - REMEMBERED);
    const { self, ownHello } = this.#options;
    return { ...self, ...ownHello(), sequence: this.#sequence, standsMs };
  }

  /** Evidence for grants: a keeper's status to the other keepers. */
  #sendKeeperStatus(nowMs: number): void {
    const keepers = this.#closePeers(nowMs)
      .filter(({ vm }) => this.#book.areKeepers(vm));
    if (keepers.length > 0) this.#sendStatus(keepers, KEEPER_STATUS_MS, nowMs);
  }

  /** This VM's load and what it has heard, to its cell. */
  #sendCellStatus(nowMs: number): void {
    this.#cellSentAtMs = nowMs;
    const peers = this.#closePeers(nowMs)
      .filter(({ vm }) => !this.#book.areKeepers(vm));
    this.#sendStatus(peers, CELL_STATUS_MS, nowMs);
  }

  #sendStatus(
    peers: readonly Peer[],
    intervalMs: number,
    nowMs: number,
  ): void {
    const status: PeerStatus = {
      ...this.#hello(intervalMs * STATUSES_STAND),
      ...this.#options.ownState(),
      echoes: echoesOf(peers),
    };
    const bytes = encodeMessage(STATUS_METHOD, status);
    for (const peer of peers) {
      peer.sentAtMs = nowMs;
      this.#sendTo(peer, STATUS_METHOD, bytes);
    }
    if (this.#book.live.length === 0) this.#sendToSeeds(bytes);
  }

  #closePeers(nowMs: number): Peer[] {
    const close: Peer[] = [];
    for (const peer of this.#book.all) {
      const wasClose = peer.isClose;
      peer.isClose = this.#book.isClose(peer.vm) &&
        (peer.isLive || nowMs - peer.heardAtMs < SILENT_MS);
      if (peer.isClose) close.push(peer);
      // The last status stands for less than the time until the next hello.
      else if (wasClose) peer.sentAtMs = Number.NEGATIVE_INFINITY;
    }
    return close;
  }

  /** To each peer that has had no word of this VM for the interval. */
  #sendHellos(nowMs: number): void {
    const { self, keepers } = this.#options;
    const perPeerMs = keepers().has(self.vm)
      ? KEEPER_HELLO_PER_PEER_MS
      : HELLO_PER_PEER_MS;
    const intervalMs = Math.max(HELLO_MIN_MS, this.#book.size * perPeerMs);
    let bytes: Uint8Array | undefined;
    for (const peer of this.#book.all) {
      if (nowMs - peer.sentAtMs < intervalMs) continue;
      peer.sentAtMs = nowMs;
      bytes ??= encodeMessage(
        HELLO_METHOD,
        this.#hello(intervalMs * HELLOS_STAND),
      );
      this.#sendTo(peer, HELLO_METHOD, bytes);
    }
  }

  #sendToSeeds(bytes: Uint8Array): void {
    const { port } = this.#options.self;
    for (const host of this.#seeds) {
      this.#sendTo({ host, port }, STATUS_METHOD, bytes);
    }
  }

  #sendTo(
    { host, port, hello }: Pick<Peer, "host" | "port"> & Partial<Peer>,
    method: string,
    bytes: Uint8Array,
  ): void {
    const { self, onSent } = this.#options;
    onSent(method, bytes.length, hello?.zone === self.zone);
    this.#socket.send(bytes, port, host, (error) => {
      if (error === null) return;
      this.#options.log.debug("Datagram not sent.", {
        host,
        reason: error.message,
      });
    });
  }

  #receive(bytes: Buffer): void {
    const message = decodeMessage(bytes);
    if (message === undefined) {
      this.#options.log.warn("Ignores a datagram.", { bytes: bytes.length });
      return;
    }
    const { method, params } = message;
    if (method === STATUS_METHOD) this.#takeStatus(params);
    else this.#handlers.get(method)?.(params);
  }

  #takeHello(hello: PeerHello): void {
    if (this.#book.note(hello, undefined) === undefined) return;
    for (const listener of this.#helloListeners) listener(hello);
  }

  #takeStatus(params: unknown): void {
    const parsed = peerStatusSchema.safeParse(params);
    if (!parsed.success) {
      this.#options.log.warn("Ignores a status.", {
        problem: parsed.error.issues[0]?.path.join("."),
      });
      return;
    }
    const status = parsed.data;
    if (this.#book.note(status, status) === undefined) return;
    for (const listener of this.#helloListeners) listener(status);
    const heard = {
      status,
      askedAtMs: this.#askedAtMs(status),
      receivedAtMs: this.#options.clock.nowMs(),
    };
    for (const listener of this.#statusListeners) listener(heard);
  }

  /** When the own status left that the peer had heard; long ago if none. */
  #askedAtMs(status: PeerStatus): number {
    const { vm, incarnation } = this.#options.self;
    const [run, sequence] = status.echoes[vm] ?? [];
    const sentMs = run === incarnation && sequence !== undefined
      ? this.#sentMs.get(sequence)
      : undefined;
    return sentMs ?? Number.NEGATIVE_INFINITY;
  }
}

/** Peers are named by IP number; the system's resolver takes a turn for each. */
function noLookup(
  host: string,
  _options: unknown,
  done: (error: null, address: string, family: number) => void,
): void {
  done(null, host, 4);
}

function echoesOf(peers: readonly Peer[]): PeerStatus["echoes"] {
  const echoes: PeerStatus["echoes"] = {};
  for (const { vm, incarnation, sequence } of peers) {
    if (incarnation !== undefined) echoes[vm] = [incarnation, sequence];
  }
  return echoes;
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
