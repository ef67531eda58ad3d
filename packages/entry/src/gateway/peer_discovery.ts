/**
 * Entry VMs find one another through the VMs named in their settings, through
 * any peer, and, when nobody answers, through objects of their own in the
 * store.
 */
import * as contracts from "@guavatide/contracts";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import * as z from "zod";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PartLog } from "../utils/log.ts";
import type { GossipIdentity, PeerGossip } from "./peer_gossip.ts";
import * as messages from "./peer_messages.ts";
import type { StoreHealth } from "./store_health.ts";

/** Options of {@link PeerDiscovery}. */
export interface PeerDiscoveryOptions {
  readonly self: GossipIdentity;
  readonly store: contracts.PlatformStore;
  readonly health: StoreHealth;
  readonly gossip: PeerGossip;
  readonly hasher: ownership.KeyHasher;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  readonly log: PartLog;
  /** Whether newcomers are to find this VM in the store. */
  readonly shouldRegister: () => boolean;
}

const PREFIX = "entryvms/";
const TICK_MS = 250;
const CALL_TIMEOUT_MS = 1_000;
/** Pause after a call to the store that failed. */
const RETRY_MS = 1_000;
/** Time that the VMs of the settings have to answer a newcomer. */
const JOIN_GRACE_MS = 1_500;
/**
 * A newcomer asks peers who else is there, at first often, since all may start
 * together; then seldom, so that two groups that know one VM in common join.
 */
const FIRST_ASK_MS = 250;
const LAST_ASK_MS = 5_000;

const vmObjectSchema = z.object({ host: z.string(), port: z.number().int() });

/** Finds the other entry VMs. */
export class PeerDiscovery {
  readonly #options: PeerDiscoveryOptions;
  #startedAtMs = 0;
  #askIntervalMs = FIRST_ASK_MS;
  #nextAskMs = 0;
  #isRegistered = false;
  #isCalling = false;
  #noCallBeforeMs = Number.NEGATIVE_INFINITY;

  constructor(options: PeerDiscoveryOptions) {
    this.#options = options;
    const { gossip } = options;
    gossip.on(
      messages.PEERS_REQUEST_METHOD,
      messages.peersRequestSchema,
      (wish) => this.#answer(wish),
    );
    gossip.on(
      messages.PEERS_METHOD,
      messages.knownPeersSchema,
      ({ peers }) => {
        for (const [vm, host, port] of peers) gossip.addPeer(vm, host, port);
      },
    );
  }

  /** Starts the regular work. */
  start(lifeCycle: LifeCycle): void {
    this.#startedAtMs = this.#options.clock.nowMs();
    this.#tick();
    lifeCycle.every(TICK_MS, () => this.#tick());
  }

  #tick(): void {
    const { clock, gossip, shouldRegister: isContact } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs >= this.#nextAskMs) this.#ask(nowMs);
    const graceMs = gossip.seedCount > 0 ? JOIN_GRACE_MS : 0;
    const isAlone = gossip.live.length === 0 &&
      nowMs - this.#startedAtMs >= graceMs;
    const mayCall = !this.#isCalling && nowMs >= this.#noCallBeforeMs;
    if (this.#isRegistered || !mayCall || !(isAlone || isContact())) return;
    this.#isCalling = true;
    this.#register().then((isDone) => {
      this.#isCalling = false;
      this.#isRegistered = isDone;
      if (!isDone) this.#noCallBeforeMs = clock.nowMs() + RETRY_MS;
    }, (error) => {
      this.#isCalling = false;
      this.#noCallBeforeMs = clock.nowMs() + RETRY_MS;
      this.#options.log.error("Finding peers failed.", {
        error: String(error),
      });
    });
  }

  /** Asks one peer, of the own availability zone if there is any. */
  #ask(nowMs: number): void {
    const { gossip, random, self: { vm, host, port } } = this.#options;
    const peer = gossip.randomPeer();
    if (peer === undefined) return;
    const wish: messages.PeersRequest = {
      vm,
      host,
      port,
      digest: this.#digest(),
    };
    gossip.send(messages.PEERS_REQUEST_METHOD, wish, [peer.vm]);
    this.#nextAskMs = nowMs + this.#askIntervalMs * (0.5 + random.next());
    this.#askIntervalMs = Math.min(LAST_ASK_MS, this.#askIntervalMs * 2);
  }

  #answer({ vm, host, port, digest }: messages.PeersRequest): void {
    const { gossip, self } = this.#options;
    // The later of two that ask this VM hears of the earlier.
    gossip.addPeer(vm, host, port);
    if (digest === this.#digest()) return;
    const peers = [self, ...gossip.live]
      .map((peer): messages.KnownPeers["peers"][number] => [
        peer.vm,
        peer.host,
        peer.port,
      ]);
    gossip.send(messages.PEERS_METHOD, { peers }, [vm]);
  }

  #digest(): number {
    const { gossip, self, hasher } = this.#options;
    const names = [self, ...gossip.live].map(({ vm }) => vm).sort();
    return hasher.hash(names.join());
  }

  /**
   * Of two VMs that register at once the later finds the other in its list, and
   * tells it of itself in a datagram.
   */
  async #register(): Promise<boolean> {
    return await this.#write() && await this.#list();
  }

  /** One call, or two for a name whose address has changed. */
  async #write(): Promise<boolean> {
    const { store, self, health } = this.#options;
    const { host, port } = self;
    const name = `${PREFIX}${self.vm}`;
    const value = JSON.stringify({ host, port });
    const timeoutMs = CALL_TIMEOUT_MS;
    const created = await store.put(name, value, {
      timeoutMs,
      condition: { kind: "absent" },
    });
    const isThere = created.isErr() && created.error.kind === "conflict";
    const result = isThere
      ? await store.put(name, value, { timeoutMs, condition: { kind: "any" } })
      : created;
    if (result.isErr()) health.noteFailure(result.error);
    else health.noteAnswer();
    return result.isOk();
  }

  async #list(): Promise<boolean> {
    const { store, health, gossip, log } = this.#options;
    const result = await store.list(PREFIX, { timeoutMs: CALL_TIMEOUT_MS });
    if (result.isErr()) {
      health.noteFailure(result.error);
      return false;
    }
    health.noteAnswer();
    for (const { name, value } of result.value.objects) {
      const address = parse(value);
      if (address === undefined) {
        log.warn("Ignores an entry VM's object.", { name });
        continue;
      }
      const vm = name.slice(PREFIX.length) as contracts.VmId;
      gossip.addPeer(vm, address.host, address.port);
    }
    return true;
  }
}

function parse(value: string): z.infer<typeof vmObjectSchema> | undefined {
  try {
    return vmObjectSchema.safeParse(JSON.parse(value)).data;
  } catch {
    // Not JSON; the caller writes the log line.
    return undefined;
  }
}
