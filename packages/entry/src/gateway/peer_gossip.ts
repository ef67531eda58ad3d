/**
 * Datagrams between entry VMs. Each tells its state to all peers when its load
 * has changed, and at a heartbeat otherwise.
 */
import type * as contracts from "@guavatide/contracts";
import * as msgpack from "@msgpack/msgpack";
import * as jsonRpc from "json-rpc-2.0";
import * as dgram from "node:dgram";
import type * as z from "zod";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PartLog } from "../utils/log.ts";
import {
  isLoadNews,
  LOAD_METHOD,
  type LoadNews,
  type PeerStatus,
  peerStatusSchema,
  STATUS_METHOD,
} from "./peer_messages.ts";

/** The part of a status that the VM's own tasks fill in. */
export type OwnState = Omit<
  PeerStatus,
  "vm" | "incarnation" | "host" | "port" | "zone" | "sequence" | "echoes"
>;

/** Who this VM is. */
export interface GossipIdentity {
  readonly vm: contracts.VmId;
  readonly incarnation: contracts.Incarnation;
  readonly host: string;
  readonly port: number;
  readonly zone: contracts.ZoneId;
}

/** Options of {@link PeerGossip}. */
export interface PeerGossipOptions {
  readonly self: GossipIdentity;
  readonly clock: contracts.Clock;
  readonly log: PartLog;
  readonly ownState: () => OwnState;
  readonly ownLoads: () => PeerStatus["loads"];
}

/** A status with the moment that it answers. */
export interface HeardStatus {
  readonly status: PeerStatus;
  /** When the own status left that the peer has echoed. */
  readonly askedAtMs: number;
  readonly receivedAtMs: number;
}

/** Between two statuses: evidence for grants is good for 700 ms. */
const HEARTBEAT_MS = 200;
/** Interval at which changed load is looked for. */
const TICK_MS = 20;
/**
 * Least time between two messages to all, for each peer: at most 200 datagrams
 * a second leave a VM, about 2% of half a core.
 */
const SPACING_PER_PEER_MS = 5;
const SPACING_MIN_MS = 40;
/** A peer is live when it was heard within four heartbeats. */
const LIVE_MS = 800;
/** A silent peer is told of this VM only now and then. */
const SILENT_MS = 3_000;
const SILENT_HEARTBEAT_MS = 1_000;
/** A peer that was silent for so long is forgotten. */
const FORGET_MS = 60_000;
/** Own statuses whose time is remembered. */
const REMEMBERED = 256;

interface Peer {
  host: string;
  port: number;
  incarnation: contracts.Incarnation | undefined;
  sequence: number;
  heardAtMs: number;
  sentAtMs: number;
  isLive: boolean;
  status: PeerStatus | undefined;
}

interface Message {
  readonly jsonrpc: "2.0";
  readonly method: string;
  readonly params: unknown;
}

/** The task that owns the datagram socket. */
export class PeerGossip {
  readonly #options: PeerGossipOptions;
  readonly #socket = dgram.createSocket("udp4");
  readonly #peers = new Map<contracts.VmId, Peer>();
  readonly #seeds = new Set<string>();
  readonly #handlers = new Map<string, (params: unknown) => void>();
  readonly #statusListeners: ((heard: HeardStatus) => void)[] = [];
  /** When each own status left, by its sequence. */
  readonly #sentMs = new Map<number, number>();
  #sequence = 0;
  #sentAtMs = Number.NEGATIVE_INFINITY;
  #loadsSentAtMs = Number.NEGATIVE_INFINITY;
  #isChanged = false;
  /** Loads as last told. */
  #toldLoads: PeerStatus["loads"] = {};
  readonly #loadListeners: ((news: LoadNews) => void)[] = [];

  constructor(options: PeerGossipOptions) {
    this.#options = options;
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
      run: () => void this.#socket.close(),
    });
    lifeCycle.every(TICK_MS, () => this.#tick());
  }

  /** Adds a VM that the store or a peer has named. */
  addPeer(vm: contracts.VmId, host: string, port: number): void {
    if (vm === this.#options.self.vm) return;
    const found = this.#peers.get(vm);
    if (found !== undefined) {
      Object.assign(found, { host, port });
      return;
    }
    this.#peers.set(vm, {
      host,
      port,
      incarnation: undefined,
      sequence: -1,
      heardAtMs: this.#options.clock.nowMs() - LIVE_MS,
      sentAtMs: Number.NEGATIVE_INFINITY,
      isLive: false,
      status: undefined,
    });
  }

  /** Adds an address at which some VM may listen. */
  addSeed(host: string): void {
    if (host !== this.#options.self.host) this.#seeds.add(host);
  }

  /** Called with each status of a peer that is newer than the last. */
  onStatus(listener: (heard: HeardStatus) => void): void {
    this.#statusListeners.push(listener);
  }

  /** Called with changes of a peer's load between its statuses. */
  onLoad(listener: (news: LoadNews) => void): void {
    this.#loadListeners.push(listener);
  }

  /** Registers who takes a method's parameters. */
  on<Params>(
    method: string,
    schema: z.ZodType<Params>,
    take: (params: Params) => void,
  ): void {
    this.#handlers.set(method, (params) => {
      const parsed = schema.safeParse(params);
      if (parsed.success) take(parsed.data);
      else this.#options.log.warn("Ignores a datagram.", { method });
    });
  }

  /** Sends a notification to one peer, or to all. */
  send(method: string, params: object, vm?: contracts.VmId): void {
    const bytes = encode(method, params);
    for (const [id, peer] of this.#peers) {
      if (vm === undefined || vm === id) this.#sendTo(peer, bytes);
    }
  }

  /** Tells the changed load with the next tick that may. */
  noteChanged(): void {
    this.#isChanged = true;
  }

  /** Sends the status at once: peers wait for it. */
  sendNow(): void {
    this.#sendStatus(this.#options.clock.nowMs());
  }

  /** Peers that were heard lately, with their last status. */
  live(): Map<contracts.VmId, PeerStatus> {
    const live = new Map<contracts.VmId, PeerStatus>();
    for (const [vm, peer] of this.#peers) {
      if (peer.isLive && peer.status !== undefined) live.set(vm, peer.status);
    }
    return live;
  }

  /** How long each known peer has not been heard. */
  silentMs(vm: contracts.VmId): number {
    const peer = this.#peers.get(vm);
    if (peer === undefined) return Number.POSITIVE_INFINITY;
    return this.#options.clock.nowMs() - peer.heardAtMs;
  }

  /** How long some live peer has reached the store without a failure. */
  get storeCalmMs(): number {
    let calmMs = 0;
    for (const { hasStore, storeCalmMs } of this.live().values()) {
      if (hasStore) calmMs = Math.max(calmMs, storeCalmMs);
    }
    return calmMs;
  }

  /** Entry VMs that are up, this one included. */
  get vmCount(): number {
    return 1 + this.live().size;
  }

  #tick(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#watchPeers(nowMs);
    const spacingMs = Math.max(
      SPACING_MIN_MS,
      this.#peers.size * SPACING_PER_PEER_MS,
    );
    if (nowMs - this.#sentAtMs >= Math.max(HEARTBEAT_MS, spacingMs)) {
      return this.#sendStatus(nowMs);
    }
    const sinceMs = nowMs - Math.max(this.#sentAtMs, this.#loadsSentAtMs);
    if (this.#isChanged && sinceMs >= spacingMs) this.#sendLoads(nowMs);
  }

  #sendLoads(nowMs: number): void {
    this.#isChanged = false;
    this.#loadsSentAtMs = nowMs;
    const { self, ownLoads } = this.#options;
    const loads = ownLoads();
    const changed = changesOf(this.#toldLoads, loads);
    this.#toldLoads = loads;
    if (Object.keys(changed).length === 0) return;
    const news: LoadNews = { vm: self.vm, loads: changed };
    const bytes = encode(LOAD_METHOD, news);
    for (const peer of this.#peers.values()) {
      if (peer.isLive) this.#sendTo(peer, bytes);
    }
  }

  #watchPeers(nowMs: number): void {
    const { log } = this.#options;
    for (const [vm, peer] of this.#peers) {
      const silentMs = nowMs - peer.heardAtMs;
      if (peer.isLive && silentMs > LIVE_MS) {
        peer.isLive = false;
        log.warn("Lost a peer.", { peer: vm, silentMs: Math.round(silentMs) });
      }
      if (silentMs > FORGET_MS) this.#peers.delete(vm);
    }
  }

  #sendStatus(nowMs: number): void {
    this.#isChanged = false;
    this.#sentAtMs = nowMs;
    this.#sequence++;
    this.#sentMs.set(this.#sequence, nowMs);
    this.#sentMs.delete(this.#sequence - REMEMBERED);
    const state = this.#options.ownState();
    this.#toldLoads = state.loads;
    const status: PeerStatus = {
      ...this.#options.self,
      ...state,
      sequence: this.#sequence,
      echoes: this.#echoes(),
    };
    const bytes = encode(STATUS_METHOD, status);
    for (const peer of this.#peers.values()) {
      const isSilent = nowMs - peer.heardAtMs > SILENT_MS;
      if (isSilent && nowMs - peer.sentAtMs < SILENT_HEARTBEAT_MS) continue;
      peer.sentAtMs = nowMs;
      this.#sendTo(peer, bytes);
    }
    if (this.live().size === 0) this.#sendToSeeds(bytes);
  }

  #sendToSeeds(bytes: Uint8Array): void {
    const { port } = this.#options.self;
    for (const host of this.#seeds) this.#sendTo({ host, port }, bytes);
  }

  #echoes(): PeerStatus["echoes"] {
    const echoes: PeerStatus["echoes"] = {};
    for (const [vm, { incarnation, sequence }] of this.#peers) {
      if (incarnation !== undefined) echoes[vm] = [incarnation, sequence];
    }
    return echoes;
  }

  #sendTo(
    { host, port }: { readonly host: string; readonly port: number },
    bytes: Uint8Array,
  ): void {
    this.#socket.send(bytes, port, host, (error) => {
      if (error === null) return;
      this.#options.log.debug("Datagram not sent.", {
        host,
        reason: error.message,
      });
    });
  }

  #receive(bytes: Uint8Array): void {
    const message = decode(bytes);
    if (message === undefined) {
      this.#options.log.warn("Ignores a datagram.", { bytes: bytes.length });
      return;
    }
    const { method, params } = message;
    if (method === STATUS_METHOD) this.#takeStatus(params);
    else if (method === LOAD_METHOD) this.#takeLoads(params);
    else this.#handlers.get(method)?.(params);
  }

  #takeLoads(params: unknown): void {
    if (!isLoadNews(params)) {
      this.#options.log.warn("Ignores a datagram.", { method: LOAD_METHOD });
      return;
    }
    for (const listener of this.#loadListeners) listener(params);
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
    if (status.vm === this.#options.self.vm) return;
    this.addPeer(status.vm, status.host, status.port);
    const peer = this.#peers.get(status.vm)!;
    const isSameRun = peer.incarnation === status.incarnation;
    // Datagrams may overtake one another.
    if (isSameRun && status.sequence <= peer.sequence) return;
    const receivedAtMs = this.#options.clock.nowMs();
    if (!peer.isLive) {
      this.#options.log.info("Hears a peer.", {
        peer: status.vm,
        isNewRun: !isSameRun,
      });
    }
    Object.assign(peer, {
      incarnation: status.incarnation,
      sequence: status.sequence,
      heardAtMs: receivedAtMs,
      isLive: !status.isLeaving,
      status,
    });
    const askedAtMs = this.#askedAtMs(status);
    for (const listener of this.#statusListeners) {
      listener({ status, askedAtMs, receivedAtMs });
    }
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

function encode(method: string, params: object): Uint8Array {
  const message = jsonRpc.createJSONRPCNotification(method, params);
  return msgpack.encode(message);
}

/** Servers whose figures differ, with their new ones. */
function changesOf(
  before: PeerStatus["loads"],
  now: PeerStatus["loads"],
): PeerStatus["loads"] {
  const changed: PeerStatus["loads"] = {};
  for (const [server, load] of Object.entries(now)) {
    const told = before[server];
    const isSame = told?.[0] === load[0] && told[1] === load[1];
    if (!isSame) changed[server] = load;
  }
  for (const server of Object.keys(before)) {
    if (now[server] === undefined) changed[server] = [0, 0];
  }
  return changed;
}

function decode(bytes: Uint8Array): Message | undefined {
  try {
    const message = msgpack.decode(bytes) as Partial<Message> | null;
    const isMessage = message?.jsonrpc === "2.0" &&
      typeof message.method === "string";
    return isMessage ? message as Message : undefined;
  } catch {
    // Not MessagePack; the caller writes the log line.
    return undefined;
  }
}
