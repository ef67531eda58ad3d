/**
 * Sends ownership orders to the servers of one service and hears from their
 * answers who is there. Each server is renewed by two keepers, and by the
 * holder of control duty, who has to know all of them.
 */
import type * as contracts from "@guavatide/contracts";
import * as ownership from "@guavatide/decisions/ownership/mod";
import type { ServerAddress } from "../contracts/views.ts";
import type { Logger } from "../utils/log.ts";
import type { ServerControl, ServiceContext } from "./service_context.ts";

/** Time a server has to answer an order; a later answer is of no use. */
const COMMAND_TIMEOUT_MS = 800;
const FAILURE_CHECK_INTERVAL_MS = 100;
/** How long the address of an unlisted server is kept without an answer. */
const UNLISTED_TTL_MS = 60_000;

/** The keepers that renew one server. */
interface Renewers {
  /** Whether this VM is one of them. */
  readonly includesSelf: boolean;
  readonly others: readonly contracts.VmId[];
}

/** What the renewers were chosen from. */
interface RenewerInputs {
  readonly live: readonly contracts.VmId[];
  readonly voters: readonly contracts.VmId[];
}

interface ServerEndpoint {
  readonly address: ServerAddress;
  readonly control: ServerControl;
}

/** Owns the control links to one service's servers. */
export class LeaseCommandTask {
  readonly #context: ServiceContext;
  readonly #log: Logger;
  readonly #book: ownership.LeaseCommandScheduler;
  readonly #detector: ownership.FailureDetector;
  readonly #contacts = new Map<contracts.ServerId, ServerEndpoint>();
  readonly #lost = new Set<contracts.ServerId>();
  readonly #unlistedSinceMs = new Map<contracts.ServerId, number>();
  #renewers = new Map<contracts.ServerId, Renewers>();
  #chosenFor: RenewerInputs = { live: [], voters: [] };
  /** Servers that this VM sends orders to. */
  #targets: readonly contracts.ServerId[] = [];
  #listed: readonly ServerAddress[] = [];
  #isContactChange = true;
  #judgedAtMs = Number.NEGATIVE_INFINITY;
  #ordersAll = false;
  #onAnswer: (answer: ownership.AnsweredCommand) => void = () => {};

  constructor(context: ServiceContext) {
    this.#context = context;
    this.#log = context.log.part("owner");
    this.#book = new ownership.LeaseCommandScheduler(context.timings);
    this.#detector = new ownership.FailureDetector(context.timings);
  }

  /** Whether this VM renews any server. */
  get isRenewing(): boolean {
    return this.#targets.length > 0;
  }

  /** Calls back with each answered order. */
  onReply(callback: (answer: ownership.AnsweredCommand) => void): void {
    this.#onAnswer = callback;
  }

  /** Sends to all servers, or only to those that this VM renews. */
  setTargetAll(isOn: boolean): void {
    this.#ordersAll = isOn;
    this.#chooseTargets();
  }

  markUrgent(servers: Iterable<contracts.ServerId>): void {
    this.#book.markUrgent(servers);
  }

  status(server: contracts.ServerId): ownership.ServerStatus | undefined {
    return this.#book.status(server);
  }

  /** Servers that may be sent orders, listed or still answering. */
  addresses(): ServerAddress[] {
    return [...this.#contacts.values()].map(({ address }) => address);
  }

  isLost(server: contracts.ServerId): boolean {
    return this.#lost.has(server);
  }

  /** Servers that do not answer, to tell peers. */
  unresponsiveServers(
    nowMs: number,
  ): NonNullable<contracts.KnownRevision["silent"]> {
    return [...this.#detector.unresponsiveServers(nowMs)]
      .map(([server, silentMs]) => ({ server, silentMs }));
  }

  /** A peer told which servers do not answer it. */
  notePeerReport(vm: contracts.VmId, known: contracts.KnownRevision): void {
    const silent = new Map(
      known.silent?.map(({ server, silentMs }) => [server, silentMs]),
    );
    this.#detector.notePeerReport(vm, silent, this.#context.clock.nowMs());
  }

  tick(nowMs: number): void {
    this.#detector.noteTick(nowMs);
    this.#refreshContacts();
    this.#refreshRenewers();
    const { known, service } = this.#context;
    const orders = this.#book.takeDue({
      nowMs,
      service,
      revision: Math.max(1, known.revision),
      slices: known.slices,
      timings: known.timings,
      confirmedAtMs: known.confirmedAtMs(nowMs),
      servers: this.#targets,
    });
    for (const order of orders) void this.#send(order, nowMs);
    this.#judge(nowMs);
  }

  async close(): Promise<void> {
    await Promise.all(
      [...this.#contacts.values()].map(({ control }) => control.close()),
    );
  }

  async #send(
    order: contracts.LeaseCommand,
    sentAtMs: number,
  ): Promise<void> {
    const { server } = order;
    const contact = this.#contacts.get(server);
    if (contact === undefined) return this.#book.noteFailure(server);
    this.#detector.noteRequest(server, sentAtMs);
    const result = await contact.control.sendLeaseCommand(order, {
      timeoutMs: COMMAND_TIMEOUT_MS,
    });
    if (result.isErr()) {
      this.#log.debug("order not answered", {
        server,
        kind: result.error.kind,
      });
      return this.#book.noteFailure(server);
    }
    this.#noteReply(order, result.value, sentAtMs);
  }

  #noteReply(
    order: contracts.LeaseCommand,
    reply: contracts.LeaseCommandReply,
    sentAtMs: number,
  ): void {
    const { clock, servers } = this.#context;
    const nowMs = clock.nowMs();
    const { server } = order;
    const before = this.#book.status(server);
    this.#detector.noteReply(server, nowMs);
    this.#book.noteReply(server, reply, { sentAtMs, nowMs });
    if (before?.instance !== reply.instance) {
      this.#log.info("server met", {
        server,
        instance: reply.instance,
        checksFences: reply.checksFences,
      });
    }
    if (reply.draining) servers.noteDraining(server);
    else if (before?.draining === true) servers.noteNotDraining(server);
    this.#onAnswer({ command: order, reply, sentAtMs, nowMs });
  }

  /**
   * A server that the lagging list has dropped, or does not name yet, keeps
   * its orders for as long as it answers: an error of the list alone must
   * not end its lease.
   */
  #refreshContacts(): void {
    const { service, servers } = this.#context;
    const listed = servers.servers(service);
    const isSettled = this.#lost.size === 0 && this.#unlistedSinceMs.size === 0;
    if (listed === this.#listed && isSettled) return;
    this.#listed = listed;
    for (const address of listed) this.#meet(address);
    const names = new Set(listed.map(({ server }) => server));
    const nowMs = this.#context.clock.nowMs();
    for (const server of this.#contacts.keys()) {
      if (names.has(server)) this.#unlistedSinceMs.delete(server);
      else if (this.#isGone(server, nowMs)) this.#drop(server);
    }
  }

  /** Unlisted, and lost or, where this VM can't tell, unlisted for long. */
  #isGone(server: contracts.ServerId, nowMs: number): boolean {
    if (this.isLost(server)) return true;
    const sinceMs = this.#unlistedSinceMs.get(server) ?? nowMs;
    this.#unlistedSinceMs.set(server, sinceMs);
    const isTarget = this.#targets.includes(server);
    return !isTarget && nowMs >= sinceMs + UNLISTED_TTL_MS;
  }

  #drop(server: contracts.ServerId): void {
    void this.#contacts.get(server)?.control.close();
    this.#contacts.delete(server);
    this.#unlistedSinceMs.delete(server);
    this.#detector.forget(server);
    this.#lost.delete(server);
    this.#book.keepOnly(new Set(this.#contacts.keys()));
    this.#isContactChange = true;
  }

  #meet(address: ServerAddress): void {
    const known = this.#contacts.get(address.server);
    if (known === undefined || !isSameAddress(known.address, address)) {
      void known?.control.close();
      const control = this.#context.connect(address);
      this.#contacts.set(address.server, { address, control });
      this.#isContactChange = true;
      return;
    }
    if (known.address === address) return;
    this.#contacts.set(address.server, { ...known, address });
  }

  /** Chosen anew only when keepers, live VMs or servers have changed. */
  #refreshRenewers(): void {
    const { peers, known } = this.#context;
    const live = peers.live();
    const { voters: keepers } = known;
    const isSame = live === this.#chosenFor.live &&
      keepers === this.#chosenFor.voters && !this.#isContactChange;
    if (isSame) return;
    this.#chosenFor = { live, voters: keepers };
    this.#isContactChange = false;
    const present = keepers.filter((vm) => live.includes(vm));
    const chosen = present.length > 0 ? present : live;
    this.#renewers = new Map(
      [...this.#contacts.keys()].map((server) => [
        server,
        this.#chooseRenewers(server, chosen),
      ]),
    );
    this.#chooseTargets();
  }

  #chooseRenewers(
    server: contracts.ServerId,
    vms: readonly contracts.VmId[],
  ): Renewers {
    const { peers, hasher, timings } = this.#context;
    const ranked = ownership.rendezvousOrder(server, vms, { hasher })
      .slice(0, timings.renewersPerServer);
    const others = ranked.filter((vm) => vm !== peers.self.vm);
    return { includesSelf: others.length < ranked.length, others };
  }

  #chooseTargets(): void {
    const servers = [...this.#contacts.keys()];
    this.#targets = this.#ordersAll
      ? servers
      : servers.filter((server) => this.#renewers.get(server)?.includesSelf);
    this.#forgetOthers(this.#targets);
  }

  #forgetOthers(servers: readonly contracts.ServerId[]): void {
    const targets = new Set(servers);
    for (const server of this.#contacts.keys()) {
      if (targets.has(server)) continue;
      this.#detector.forget(server);
      this.#lost.delete(server);
    }
  }

  /** Only servers that this VM sends orders to; of others it knows nothing. */
  #judge(nowMs: number): void {
    if (nowMs < this.#judgedAtMs + FAILURE_CHECK_INTERVAL_MS) return;
    this.#judgedAtMs = nowMs;
    for (const server of this.#targets) {
      const otherRenewers = this.#renewers.get(server)?.others ?? [];
      const isLost = this.#detector.isLost(server, { nowMs, otherRenewers });
      if (isLost) this.#noteLost(server);
      else if (this.#detector.isResponsive(server, nowMs)) {
        this.#noteFound(server);
      }
    }
  }

  #noteLost(server: contracts.ServerId): void {
    if (this.#lost.has(server)) return;
    this.#lost.add(server);
    this.#log.info("server lost", { server });
  }

  /** Votes that run out bring no server back, only its own answer does. */
  #noteFound(server: contracts.ServerId): void {
    if (!this.#lost.delete(server)) return;
    this.#log.info("server answers again", { server });
  }
}

function isSameAddress(left: ServerAddress, right: ServerAddress): boolean {
  return left.host === right.host && left.port === right.port;
}
