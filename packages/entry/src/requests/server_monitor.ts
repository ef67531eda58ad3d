/**
 * Watches the servers of one service for one allocator: what is in flight,
 * which are out of use, and the probes that bring them back.
 */
import type * as contracts from "@guavatide/contracts";
import * as routing from "@guavatide/decisions/routing/mod";
import type { ServerAddress, ServerView } from "../contracts/views.ts";
import type { Logger } from "../utils/log.ts";
import type { Slot } from "./slot_allocator.ts";

/** Options of {@link ServerMonitor}, given by whoever makes the allocator. */
export interface ServerMonitorOptions {
  readonly service: contracts.Service;
  readonly servers: ServerView;
  readonly clock: contracts.Clock;
  readonly log: Logger;
  /** Requests given to one server beyond its slots. */
  readonly extraRequestsPerServer: number;
  /** Whether a server that fails or falls silent may be put out of use. */
  readonly mayEject: boolean;
  /** Requests for which this VM has connections to one server. */
  readonly linkLimit: () => number;
  /** Called when a server went out of use. */
  readonly onEjected: (server: contracts.ServerId) => void;
  /** Asks a server whether it answers at all. */
  readonly probe: (address: ServerAddress) => Promise<boolean>;
}

/** Load and health of the servers of one service. */
export class ServerMonitor {
  readonly #options: ServerMonitorOptions;
  readonly #board: routing.ServerTracker;
  /** Called when a server may take a request that could not before. */
  readonly #onOpen: () => void;
  #service: contracts.Service;
  #wakeUp: NodeJS.Timeout | undefined;

  constructor(options: ServerMonitorOptions, onOpen: () => void) {
    this.#options = options;
    this.#onOpen = onOpen;
    this.#service = options.service;
    const nowMs = options.clock.nowMs();
    this.#board = new routing.ServerTracker(this.#boardOptions(), nowMs);
  }

  configure(service: contracts.Service): void {
    this.#service = service;
    this.#board.configure(this.#boardOptions());
  }

  /** Servers that take new work. */
  liveServers(): ServerAddress[] {
    return this.#known().filter((address) => address.state === "live");
  }

  /**
   * Those of the given servers that may take one more request now. When none
   * may, `onOpen` is called as soon as a paused one may be asked again.
   */
  candidates(servers: Iterable<contracts.ServerId>): routing.Candidate[] {
    const nowMs = this.#options.clock.nowMs();
    const candidates = this.#board.candidates(servers, nowMs);
    if (candidates.length === 0) this.#wakeIn(this.#board.pauseLeftMs(nowMs));
    return candidates;
  }

  /** Counts a request that is given to a server. */
  acquireSlot(
    address: ServerAddress,
    ownership?: Slot["ownership"],
  ): Slot {
    const sentMs = this.#options.clock.nowMs();
    this.#board.recordSent(address.server, sentMs);
    return { address, sentMs, ownership };
  }

  /** The attempt of a slot has ended. */
  releaseSlot(slot: Slot, end: routing.AttemptOutcome): void {
    const nowMs = this.#options.clock.nowMs();
    const { server } = slot.address;
    this.#tell(
      server,
      this.#board.recordOutcome(server, slot.sentMs, { end, nowMs }),
    );
  }

  /** Looks for silent servers and sends the probes that are due. */
  refresh(): void {
    const nowMs = this.#options.clock.nowMs();
    const known = this.#known();
    const ids = known.map((address) => address.server);
    this.#board.configure(this.#boardOptions());
    this.#board.keepOnly(new Set(ids), nowMs);
    for (const server of this.#board.ejectUnresponsive(nowMs)) {
      this.#tell(server, "ejected");
    }
    for (const address of known) {
      if (this.#board.tryProbe(address.server, nowMs)) this.#probe(address);
    }
  }

  /** Calls `onOpen` after a time, once for all who ask meanwhile. */
  #wakeIn(waitMs: number | undefined): void {
    if (waitMs === undefined || this.#wakeUp !== undefined) return;
    this.#wakeUp = setTimeout(() => {
      this.#wakeUp = undefined;
      this.#onOpen();
    }, Math.ceil(waitMs));
  }

  #probe(address: ServerAddress): void {
    this.#options.probe(address).then((isAnswered) => {
      const nowMs = this.#options.clock.nowMs();
      const { server } = address;
      this.#tell(server, this.#board.recordProbe(server, isAnswered, nowMs));
      this.#onOpen();
    });
  }

  #tell(server: contracts.ServerId, event: routing.EjectionEvent): void {
    if (event === undefined) return;
    const service = this.#service.name;
    this.#options.log.info(`Server is ${event}.`, { service, server });
    if (event === "ejected") this.#options.onEjected(server);
  }

  #known(): readonly ServerAddress[] {
    return this.#options.servers.servers(this.#service.name);
  }

  #boardOptions(): routing.ServerTrackerOptions {
    const { slotsPerServer } = this.#service;
    const wanted = slotsPerServer + this.#options.extraRequestsPerServer;
    const localLimit = Math.min(wanted, this.#options.linkLimit());
    const { mayEject } = this.#options;
    return { slotsPerServer, maxLocalInFlight: localLimit, mayEject };
  }
}
