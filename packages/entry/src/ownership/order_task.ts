/**
 * Sends ownership orders to the servers of one service and hears from their
 * answers who is there. Each server is renewed by two keepers, and by the
 * holder of control duty, who has to know all of them.
 */
import type * as contracts from "@guavatide/contracts";
import * as ownership from "@guavatide/decisions/ownership/mod";
import type { ServerAddress } from "../contracts/views.ts";
import type { PartLog } from "../utils/log.ts";
import type { ServerControl, ServiceContext } from "./service_context.ts";

/** Time a server has to answer an order; a later answer is of no use. */
const ORDER_TIMEOUT_MS = 800;

interface Contact {
  readonly address: ServerAddress;
  readonly control: ServerControl;
}

/** Owns the control links to one service's servers. */
export class OrderTask {
  readonly #context: ServiceContext;
  readonly #log: PartLog;
  readonly #book: ownership.OrderBook;
  readonly #detector: ownership.LossDetector;
  readonly #contacts = new Map<contracts.ServerId, Contact>();
  readonly #lost = new Set<contracts.ServerId>();
  /** Renewers of each server, best first. */
  #renewers = new Map<contracts.ServerId, contracts.VmId[]>();
  #renewersFor = "";
  #ordersAll = false;
  #onAnswer: (answer: ownership.AnsweredOrder) => void = () => {};

  constructor(context: ServiceContext) {
    this.#context = context;
    this.#log = context.log.part("owner");
    this.#book = new ownership.OrderBook(context.timings);
    this.#detector = new ownership.LossDetector(context.timings);
  }

  /** Whether this VM renews any server. */
  get isRenewing(): boolean {
    return this.#targets().length > 0;
  }

  /** Calls back with each answered order. */
  onAnswer(callback: (answer: ownership.AnsweredOrder) => void): void {
    this.#onAnswer = callback;
  }

  /** Sends to all servers, or only to those that this VM renews. */
  orderAll(isOn: boolean): void {
    this.#ordersAll = isOn;
  }

  hurry(servers: Iterable<contracts.ServerId>): void {
    this.#book.hurry(servers);
  }

  facts(server: contracts.ServerId): ownership.ServerFacts | undefined {
    return this.#book.facts(server);
  }

  /** Servers that may be sent orders, listed or still answering. */
  addresses(): ServerAddress[] {
    return [...this.#contacts.values()].map(({ address }) => address);
  }

  isLost(server: contracts.ServerId): boolean {
    return this.#lost.has(server);
  }

  /** Servers that do not answer, to tell peers. */
  silentServers(nowMs: number): NonNullable<contracts.KnownRevision["silent"]> {
    return [...this.#detector.silentServers(nowMs)]
      .map(([server, silentMs]) => ({ server, silentMs }));
  }

  /** A peer told which servers do not answer it. */
  notePeer(vm: contracts.VmId, known: contracts.KnownRevision): void {
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
    const servers = this.#targets();
    this.#forgetOthers(servers);
    const orders = this.#book.takeDue({
      nowMs,
      service,
      revision: Math.max(1, known.revision),
      slices: known.slices,
      timings: known.timings,
      evidenceAskedAtMs: known.evidenceAskedAtMs(nowMs),
      servers,
    });
    for (const order of orders) void this.#send(order, nowMs);
    this.#judge(servers, nowMs);
  }

  async close(): Promise<void> {
    await Promise.all(
      [...this.#contacts.values()].map(({ control }) => control.close()),
    );
  }

  async #send(
    order: contracts.OwnershipOrder,
    sentAtMs: number,
  ): Promise<void> {
    const { server } = order;
    const contact = this.#contacts.get(server);
    if (contact === undefined) return this.#book.noteFailure(server);
    this.#detector.noteAttempt(server, sentAtMs);
    const result = await contact.control.order(order, {
      timeoutMs: ORDER_TIMEOUT_MS,
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
    order: contracts.OwnershipOrder,
    reply: contracts.OwnershipReply,
    sentAtMs: number,
  ): void {
    const { clock, servers } = this.#context;
    const nowMs = clock.nowMs();
    const { server } = order;
    const before = this.#book.facts(server);
    this.#detector.noteContact(server, nowMs);
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
    this.#onAnswer({ order, reply, sentAtMs, nowMs });
  }

  /**
   * A server that the lagging list has dropped, or does not name yet, keeps
   * its orders for as long as it answers: an error of the list alone must
   * not end its lease.
   */
  #refreshContacts(): void {
    const { service, servers } = this.#context;
    const listed = servers.servers(service);
    for (const address of listed) this.#meet(address);
    const names = new Set(listed.map(({ server }) => server));
    for (const [server, { control }] of this.#contacts) {
      if (names.has(server) || !this.isLost(server)) continue;
      void control.close();
      this.#contacts.delete(server);
      this.#detector.forget(server);
    }
  }

  #meet(address: ServerAddress): void {
    const known = this.#contacts.get(address.server);
    if (known === undefined || !isSamePlace(known.address, address)) {
      void known?.control.close();
      const control = this.#context.connect(address);
      this.#contacts.set(address.server, { address, control });
      return;
    }
    if (known.address === address) return;
    this.#contacts.set(address.server, { ...known, address });
  }

  #refreshRenewers(): void {
    const { peers, known, hasher } = this.#context;
    const live = peers.live();
    const keepers = known.keepers.filter((vm) => live.includes(vm));
    const chosen = keepers.length > 0 ? keepers : live;
    const servers = [...this.#contacts.keys()];
    const key = `${chosen.join()}|${servers.join()}`;
    if (key === this.#renewersFor) return;
    this.#renewersFor = key;
    const { renewers } = this.#context.timings;
    this.#renewers = new Map(
      servers.map((server) => [
        server,
        ownership.rankByName(server, chosen, { hasher }).slice(0, renewers),
      ]),
    );
  }

  #targets(): contracts.ServerId[] {
    const servers = [...this.#contacts.keys()];
    if (this.#ordersAll) return servers;
    const { vm } = this.#context.peers.self;
    return servers.filter((server) => this.#renewers.get(server)?.includes(vm));
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
  #judge(servers: readonly contracts.ServerId[], nowMs: number): void {
    const { vm } = this.#context.peers.self;
    for (const server of servers) {
      const otherRenewers = (this.#renewers.get(server) ?? [])
        .filter((other) => other !== vm);
      const isLost = this.#detector.isLost(server, { nowMs, otherRenewers });
      if (isLost) this.#noteLost(server);
      else if (this.#detector.hasContact(server, nowMs)) {
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

function isSamePlace(left: ServerAddress, right: ServerAddress): boolean {
  return left.host === right.host && left.port === right.port;
}
