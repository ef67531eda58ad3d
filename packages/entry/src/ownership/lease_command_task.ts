/**
 * Sends lease commands to the servers of one service and learns from their
 * replies which servers are alive. Several voters (`renewers`, by default two)
 * renew the leases of each server, and so does the leader, which has to know
 * all of them.
 */
import type * as contracts from "@guavatide/contracts";
import * as ownership from "@guavatide/decisions/ownership/mod";
import type { ServerAddress } from "../contracts/views.ts";
import type { Logger } from "../utils/log.ts";
import type { ServerControl, ServiceContext } from "./service_context.ts";

/** Timeout of a lease command. A later reply is of no use. */
const COMMAND_TIMEOUT_MS = 800;
const FAILURE_CHECK_INTERVAL_MS = 100;
/** How long an unlisted server that isn't a target is kept. */
const UNLISTED_TTL_MS = 60_000;

/** The voters that renew one server's leases. */
interface Renewers {
  /** Whether this VM is one of them. */
  readonly includesSelf: boolean;
  readonly others: readonly contracts.VmId[];
}

/** Inputs that the current renewers were chosen from. */
interface RenewerInputs {
  readonly live: readonly contracts.VmId[];
  readonly voters: readonly contracts.VmId[];
}

interface ServerEndpoint {
  readonly address: ServerAddress;
  readonly control: ServerControl;
}

/** Owns the control connections to one service's servers. */
export class LeaseCommandTask {
  readonly #context: ServiceContext;
  readonly #log: Logger;
  readonly #scheduler: ownership.LeaseCommandScheduler;
  readonly #detector: ownership.FailureDetector;
  readonly #endpoints = new Map<contracts.ServerId, ServerEndpoint>();
  readonly #lost = new Set<contracts.ServerId>();
  readonly #unlistedSinceMs = new Map<contracts.ServerId, number>();
  #renewers = new Map<contracts.ServerId, Renewers>();
  #renewerInputs: RenewerInputs = { live: [], voters: [] };
  /** Servers that this VM sends lease commands to. */
  #targets: readonly contracts.ServerId[] = [];
  #listedServers: readonly ServerAddress[] = [];
  #haveEndpointsChanged = true;
  #failuresCheckedAtMs = Number.NEGATIVE_INFINITY;
  #targetsAll = false;
  #onReply: (reply: ownership.AnsweredCommand) => void = () => {};

  constructor(context: ServiceContext) {
    this.#context = context;
    this.#log = context.log.part("owner");
    this.#scheduler = new ownership.LeaseCommandScheduler(context.timings);
    this.#detector = new ownership.FailureDetector(context.timings);
  }

  /** Whether this VM renews the leases of any server. */
  get isRenewing(): boolean {
    return this.#targets.length > 0;
  }

  /** Calls back with each lease command that was replied to. */
  onReply(callback: (reply: ownership.AnsweredCommand) => void): void {
    this.#onReply = callback;
  }

  /** Targets all servers, or only those that this VM renews. */
  setTargetAll(targetsAll: boolean): void {
    this.#targetsAll = targetsAll;
    this.#chooseTargets();
  }

  markUrgent(servers: Iterable<contracts.ServerId>): void {
    this.#scheduler.markUrgent(servers);
  }

  status(server: contracts.ServerId): ownership.ServerStatus | undefined {
    return this.#scheduler.status(server);
  }

  /** Servers that may be sent lease commands, listed or still responding. */
  addresses(): ServerAddress[] {
    return [...this.#endpoints.values()].map(({ address }) => address);
  }

  isLost(server: contracts.ServerId): boolean {
    return this.#lost.has(server);
  }

  /** Servers that don't respond, for reports to peers. */
  unresponsiveServers(
    nowMs: number,
  ): NonNullable<contracts.KnownRevision["silent"]> {
    return [...this.#detector.unresponsiveServers(nowMs)]
      .map(([server, silentMs]) => ({ server, silentMs }));
  }

  /** Records which servers don't respond to a peer. */
  notePeerReport(vm: contracts.VmId, known: contracts.KnownRevision): void {
    const unresponsive = new Map(
      known.silent?.map(({ server, silentMs }) => [server, silentMs]),
    );
    this.#detector.notePeerReport(
      vm,
      unresponsive,
      this.#context.clock.nowMs(),
    );
  }

  tick(nowMs: number): void {
    this.#detector.noteTick(nowMs);
    this.#refreshEndpoints();
    this.#refreshRenewers();
    const { known, service } = this.#context;
    const commands = this.#scheduler.takeDue({
      nowMs,
      service,
      revision: Math.max(1, known.revision),
      slices: known.slices,
      timings: known.timings,
      confirmedAtMs: known.confirmedAtMs(nowMs),
      servers: this.#targets,
    });
    for (const command of commands) void this.#send(command, nowMs);
    this.#checkFailures(nowMs);
  }

  async close(): Promise<void> {
    await Promise.all(
      [...this.#endpoints.values()].map(({ control }) => control.close()),
    );
  }

  async #send(
    command: contracts.LeaseCommand,
    sentAtMs: number,
  ): Promise<void> {
    const { server } = command;
    const endpoint = this.#endpoints.get(server);
    if (endpoint === undefined) return this.#scheduler.noteFailure(server);
    this.#detector.noteRequest(server, sentAtMs);
    const result = await endpoint.control.sendLeaseCommand(command, {
      timeoutMs: COMMAND_TIMEOUT_MS,
    });
    if (result.isErr()) {
      this.#log.debug("lease command failed", {
        server,
        kind: result.error.kind,
      });
      return this.#scheduler.noteFailure(server);
    }
    this.#noteReply(command, result.value, sentAtMs);
  }

  #noteReply(
    command: contracts.LeaseCommand,
    reply: contracts.LeaseCommandReply,
    sentAtMs: number,
  ): void {
    const { clock, servers } = this.#context;
    const nowMs = clock.nowMs();
    const { server } = command;
    const previous = this.#scheduler.status(server);
    this.#detector.noteReply(server, nowMs);
    this.#scheduler.noteReply(server, reply, { sentAtMs, nowMs });
    if (previous?.instance !== reply.instance) {
      this.#log.info("new server instance responded", {
        server,
        instance: reply.instance,
        checksFences: reply.checksFences,
      });
    }
    if (reply.draining) servers.noteDraining(server);
    else if (previous?.draining === true) servers.noteNotDraining(server);
    this.#onReply({ command, reply, sentAtMs, nowMs });
  }

  /**
   * A server that the lagging list has dropped or doesn't name yet keeps
   * receiving lease commands for as long as it responds: an error of the list
   * alone must not let its lease expire.
   */
  #refreshEndpoints(): void {
    const { service, servers } = this.#context;
    const listed = servers.servers(service);
    const isUnchanged = this.#lost.size === 0 &&
      this.#unlistedSinceMs.size === 0;
    if (listed === this.#listedServers && isUnchanged) return;
    this.#listedServers = listed;
    for (const address of listed) this.#connect(address);
    const names = new Set(listed.map(({ server }) => server));
    const nowMs = this.#context.clock.nowMs();
    for (const server of this.#endpoints.keys()) {
      if (names.has(server)) this.#unlistedSinceMs.delete(server);
      else if (this.#isExpired(server, nowMs)) this.#drop(server);
    }
  }

  /**
   * Whether an unlisted server is lost or, if it isn't a target and so its
   * state is unknown here, has been unlisted for `UNLISTED_TTL_MS`.
   */
  #isExpired(server: contracts.ServerId, nowMs: number): boolean {
    if (this.isLost(server)) return true;
    const sinceMs = this.#unlistedSinceMs.get(server) ?? nowMs;
    this.#unlistedSinceMs.set(server, sinceMs);
    const isTarget = this.#targets.includes(server);
    return !isTarget && nowMs >= sinceMs + UNLISTED_TTL_MS;
  }

  #drop(server: contracts.ServerId): void {
    void this.#endpoints.get(server)?.control.close();
    this.#endpoints.delete(server);
    this.#unlistedSinceMs.delete(server);
    this.#detector.forget(server);
    this.#lost.delete(server);
    this.#scheduler.keepOnly(new Set(this.#endpoints.keys()));
    this.#haveEndpointsChanged = true;
  }

  #connect(address: ServerAddress): void {
    const known = this.#endpoints.get(address.server);
    if (known === undefined || !isSameAddress(known.address, address)) {
      void known?.control.close();
      const control = this.#context.connect(address);
      this.#endpoints.set(address.server, { address, control });
      this.#haveEndpointsChanged = true;
      return;
    }
    if (known.address === address) return;
    this.#endpoints.set(address.server, { ...known, address });
  }

  /** Chooses the renewers again when voters, live VMs or servers change. */
  #refreshRenewers(): void {
    const { peers, known } = this.#context;
    const live = peers.live();
    const { voters } = known;
    const isUnchanged = live === this.#renewerInputs.live &&
      voters === this.#renewerInputs.voters && !this.#haveEndpointsChanged;
    if (isUnchanged) return;
    this.#renewerInputs = { live, voters };
    this.#haveEndpointsChanged = false;
    const liveVoters = voters.filter((vm) => live.includes(vm));
    const candidates = liveVoters.length > 0 ? liveVoters : live;
    this.#renewers = new Map(
      [...this.#endpoints.keys()].map((server) => [
        server,
        this.#chooseRenewers(server, candidates),
      ]),
    );
    this.#chooseTargets();
  }

  #chooseRenewers(
    server: contracts.ServerId,
    vms: readonly contracts.VmId[],
  ): Renewers {
    const { peers, hasher, timings } = this.#context;
    const renewers = ownership.rendezvousOrder(server, vms, { hasher })
      .slice(0, timings.renewersPerServer);
    const others = renewers.filter((vm) => vm !== peers.self.vm);
    return { includesSelf: others.length < renewers.length, others };
  }

  #chooseTargets(): void {
    const servers = [...this.#endpoints.keys()];
    this.#targets = this.#targetsAll
      ? servers
      : servers.filter((server) => this.#renewers.get(server)?.includesSelf);
    this.#forgetExcept(this.#targets);
  }

  #forgetExcept(servers: readonly contracts.ServerId[]): void {
    const targets = new Set(servers);
    for (const server of this.#endpoints.keys()) {
      if (targets.has(server)) continue;
      this.#detector.forget(server);
      this.#lost.delete(server);
    }
  }

  /** Checks only targets: this VM knows nothing about other servers. */
  #checkFailures(nowMs: number): void {
    if (nowMs < this.#failuresCheckedAtMs + FAILURE_CHECK_INTERVAL_MS) return;
    this.#failuresCheckedAtMs = nowMs;
    for (const server of this.#targets) {
      const otherRenewers = this.#renewers.get(server)?.others ?? [];
      const isLost = this.#detector.isLost(server, { nowMs, otherRenewers });
      if (isLost) this.#noteLost(server);
      else if (this.#detector.isResponsive(server, nowMs)) {
        this.#noteRecovered(server);
      }
    }
  }

  #noteLost(server: contracts.ServerId): void {
    if (this.#lost.has(server)) return;
    this.#lost.add(server);
    this.#log.info("server lost", { server });
  }

  /** Only a server's own reply ends its failed state, not expired reports. */
  #noteRecovered(server: contracts.ServerId): void {
    if (!this.#lost.delete(server)) return;
    this.#log.info("server responds again", { server });
  }
}

function isSameAddress(left: ServerAddress, right: ServerAddress): boolean {
  return left.host === right.host && left.port === right.port;
}
