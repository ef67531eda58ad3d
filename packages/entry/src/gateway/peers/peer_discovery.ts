/**
 * Discovery of the other entry VMs: through the seeds of the settings, through
 * any peer, and, when no peer answers, through registrations in the store.
 */
import * as contracts from "@guavatide/contracts";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import * as z from "zod";
import type { LifeCycle } from "../../utils/life_cycle.ts";
import type { Logger } from "../../utils/log.ts";
import type { GossipIdentity, PeerGossip } from "./peer_gossip.ts";
import * as messages from "./peer_messages.ts";
import type { StoreHealth } from "../store/store_health.ts";

/** Options of {@link PeerDiscovery}. */
export interface PeerDiscoveryOptions {
  readonly self: GossipIdentity;
  readonly store: contracts.PlatformStore;
  readonly health: StoreHealth;
  readonly gossip: PeerGossip;
  readonly hasher: ownership.KeyHasher;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  readonly log: Logger;
  /** Whether this VM registers in the store, so that joining VMs find it. */
  readonly shouldRegister: () => boolean;
}

const PREFIX = "entryvms/";
const TICK_MS = 250;
const CALL_TIMEOUT_MS = 1_000;
/** Pause after a failed call to the store. */
const RETRY_DELAY_MS = 1_000;
/** Seeds have this long to answer a joining VM. */
const JOIN_GRACE_MS = 1_500;
/**
 * Intervals of requests for the VMs that peers know: at first short, since all
 * VMs may start together; later long, so that two groups that know one VM in
 * common merge.
 */
const REQUEST_INTERVAL_MIN_MS = 250;
const REQUEST_INTERVAL_MAX_MS = 5_000;

const registrationSchema = z.object({
  host: contracts.ipv4AddressSchema,
  port: contracts.portSchema,
});

/** Finds the other entry VMs. */
export class PeerDiscovery {
  readonly #options: PeerDiscoveryOptions;
  #startedAtMs = 0;
  #requestIntervalMs = REQUEST_INTERVAL_MIN_MS;
  #nextRequestMs = 0;
  #isRegistered = false;
  #isCalling = false;
  #retryAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: PeerDiscoveryOptions) {
    this.#options = options;
    const { gossip } = options;
    gossip.on(
      messages.PEERS_REQUEST_METHOD,
      messages.peersRequestSchema,
      (request) => this.#sendKnownPeers(request),
    );
    gossip.on(
      messages.PEERS_METHOD,
      messages.knownPeersSchema,
      ({ peers }) => {
        for (const [vm, host, port] of peers) gossip.addPeer(vm, host, port);
      },
    );
  }

  /** Starts the periodic work. */
  start(lifeCycle: LifeCycle): void {
    this.#startedAtMs = this.#options.clock.nowMs();
    this.#tick();
    lifeCycle.every(TICK_MS, () => this.#tick(), "peer discovery");
  }

  #tick(): void {
    const { clock, gossip, shouldRegister } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs >= this.#nextRequestMs) this.#requestPeers(nowMs);
    const graceMs = gossip.seedCount > 0 ? JOIN_GRACE_MS : 0;
    const isAlone = gossip.live.length === 0 &&
      nowMs - this.#startedAtMs >= graceMs;
    const isDue = !this.#isCalling && nowMs >= this.#retryAtMs;
    if (this.#isRegistered || !isDue || !(isAlone || shouldRegister())) return;
    this.#isCalling = true;
    this.#register().then((isRegistered) => {
      this.#isCalling = false;
      this.#isRegistered = isRegistered;
      if (!isRegistered) this.#retryAtMs = clock.nowMs() + RETRY_DELAY_MS;
    }, (error) => {
      this.#isCalling = false;
      this.#retryAtMs = clock.nowMs() + RETRY_DELAY_MS;
      this.#options.log.error("Peer discovery failed.", {
        error: String(error),
      });
    });
  }

  /**
   * Requests the known VMs of one peer, from this VM's availability zone if it
   * has any.
   */
  #requestPeers(nowMs: number): void {
    const { gossip, random, self: { vm, host, port } } = this.#options;
    const peer = gossip.randomPeer();
    if (peer === undefined) return;
    const request: messages.PeersRequest = {
      vm,
      host,
      port,
      digest: this.#digest(),
    };
    gossip.send(messages.PEERS_REQUEST_METHOD, request, [peer.vm]);
    this.#nextRequestMs = nowMs +
      this.#requestIntervalMs * (0.5 + random.next());
    this.#requestIntervalMs = Math.min(
      REQUEST_INTERVAL_MAX_MS,
      this.#requestIntervalMs * 2,
    );
  }

  #sendKnownPeers({ vm, host, port, digest }: messages.PeersRequest): void {
    const { gossip, self } = this.#options;
    // Of two VMs that send requests to this one, the later learns of the
    // earlier.
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
   * Of two VMs that register at once, the later finds the other in its list,
   * and sends it a hello.
   */
  async #register(): Promise<boolean> {
    return await this.#write() && await this.#list();
  }

  /**
   * Writes this VM's address: one call, or two when its name is registered
   * already.
   */
  async #write(): Promise<boolean> {
    const { store, self, health } = this.#options;
    const { host, port } = self;
    const name = `${PREFIX}${self.vm}`;
    const value = JSON.stringify({ host, port });
    const timeoutMs = CALL_TIMEOUT_MS;
    const call = health.startCall();
    const created = await store.put(name, value, {
      timeoutMs,
      condition: { kind: "absent" },
    });
    const isNameTaken = created.isErr() && created.error.kind === "conflict";
    const result = isNameTaken
      ? await store.put(name, value, { timeoutMs, condition: { kind: "any" } })
      : created;
    call.noteResult(result);
    return result.isOk();
  }

  async #list(): Promise<boolean> {
    const { store, health, gossip, log } = this.#options;
    const call = health.startCall();
    const result = await store.list(PREFIX, { timeoutMs: CALL_TIMEOUT_MS });
    call.noteResult(result);
    if (result.isErr()) return false;
    for (const { name, value } of result.value.objects) {
      const vm = contracts.vmIdSchema.safeParse(name.slice(PREFIX.length));
      const address = parseRegistration(value);
      if (!vm.success || address === undefined) {
        log.warn("Ignored a malformed registration of an entry VM.", { name });
        continue;
      }
      gossip.addPeer(vm.data, address.host, address.port);
    }
    return true;
  }
}

function parseRegistration(
  value: string,
): z.infer<typeof registrationSchema> | undefined {
  return contracts.decodeJson(value, registrationSchema).unwrapOr(undefined);
}
