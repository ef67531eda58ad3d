/**
 * Servers of a service without keys that limit their requests. A request gets
 * there with a slot of the server's coordinator only, which divides the limit
 * over all entry VMs.
 */
import type * as contracts from "@guavatide/contracts";
import type { ServerLoad } from "./server_load.ts";
import type { SlotSource, WaitingRequest } from "./waiting_request.ts";

/** Options of {@link CappedServers}. */
export interface CappedServersOptions {
  /** Whether any server of any service has a limit. */
  readonly hasAny: () => boolean;
  /** The limit in requests a second; undefined for none. */
  readonly limitOf: (server: contracts.ServerId) => number | undefined;
  /**
   * Whether a request should go to the server though others have room: nothing
   * else shows that the limit has ended.
   */
  readonly isTrialDue: (server: contracts.ServerId) => boolean;
  readonly slots: SlotSource;
  readonly random: contracts.RandomSource;
}

/** Servers that one request asks for a slot before it is refused. */
const MAX_SERVERS_ASKED = 3;
/** Least weight of a server in the choice of one to ask. */
const MIN_WEIGHT = 0.01;
/** Interval of a VM's requests that only try whether a limit has ended. */
const TRIAL_INTERVAL_MS = 1_000;
/** How long a request that another server has room for waits for a slot. */
const TRIAL_WAIT_MS = 25;

/** What one request has asked for. */
interface SlotAttempt {
  /** The server that is asked at present. */
  server: contracts.ServerId | undefined;
  askedAtMs: number;
  readonly refusedBy: Set<contracts.ServerId>;
}

/** Requests that ask for slots at capped servers. */
export class CappedServers {
  readonly #options: CappedServersOptions;
  readonly #attempts = new Map<WaitingRequest, SlotAttempt>();
  /** When this VM last sent a request to a server only to try it. */
  readonly #triedAtMs = new Map<contracts.ServerId, number>();

  constructor(options: CappedServersOptions) {
    this.#options = options;
  }

  /** Whether any server of any service has a limit. */
  get hasAny(): boolean {
    return this.#options.hasAny();
  }

  /** Whether requests need a slot at the server. */
  isCapped(server: contracts.ServerId): boolean {
    return this.#options.limitOf(server) !== undefined;
  }

  /** The server whose coordinator the request has asked for a slot. */
  serverAsked(request: WaitingRequest): contracts.ServerId | undefined {
    return this.#attempts.get(request)?.server;
  }

  /** Whether the request waits for a coordinator to decide on a slot. */
  isAsking(request: WaitingRequest): boolean {
    const server = this.serverAsked(request);
    return server !== undefined && this.isCapped(server);
  }

  /**
   * Returns the server at which the request has a slot; asks for one if it has
   * none. `hasOther` is whether another server has room for the request.
   */
  acquire(
    request: WaitingRequest,
    servers: readonly ServerLoad[],
    { hasOther, nowMs }: { readonly hasOther: boolean; readonly nowMs: number },
  ): ServerLoad | undefined {
    const attempt = this.#attempts.get(request) ??
      { server: undefined, askedAtMs: nowMs, refusedBy: new Set() };
    let load = servers.find(({ entry }) => entry.server === attempt.server);
    if (load === undefined) {
      this.#options.slots.cancel(request);
      load = hasOther
        ? this.#chooseTrial(servers, attempt, nowMs)
        : this.#choose(servers, attempt);
      attempt.server = load?.entry.server;
      attempt.askedAtMs = nowMs;
    }
    if (load === undefined) return undefined;
    this.#attempts.set(request, attempt);
    return this.#options.slots.tryAcquire(request, load, nowMs)
      ? load
      : undefined;
  }

  /** Whether a request that another server has room for still waits. */
  isTrialPending(request: WaitingRequest, nowMs: number): boolean {
    const attempt = this.#attempts.get(request);
    return attempt?.server !== undefined &&
      nowMs - attempt.askedAtMs < TRIAL_WAIT_MS;
  }

  /** Notes that a request uses its slot. The returned function releases it. */
  markInUse(request: WaitingRequest): (tookMs: number | undefined) => void {
    this.#attempts.delete(request);
    return this.#options.slots.markInUse(request);
  }

  /** Notes that the coordinator of the server asked has refused a slot. */
  recordRefusal(request: WaitingRequest): void {
    const attempt = this.#attempts.get(request);
    if (attempt?.server === undefined) return;
    attempt.refusedBy.add(attempt.server);
    attempt.server = undefined;
  }

  /** Forgets a request that was sent elsewhere, was refused or has left. */
  cancel(request: WaitingRequest): void {
    if (!this.#attempts.delete(request)) return;
    this.#options.slots.cancel(request);
  }

  #chooseTrial(
    servers: readonly ServerLoad[],
    { refusedBy }: SlotAttempt,
    nowMs: number,
  ): ServerLoad | undefined {
    const load = servers.find(({ entry: { server } }) => {
      const triedAtMs = this.#triedAtMs.get(server) ??
        Number.NEGATIVE_INFINITY;
      return !refusedBy.has(server) &&
        nowMs - triedAtMs >= TRIAL_INTERVAL_MS &&
        this.#options.isTrialDue(server);
    });
    if (load !== undefined) this.#triedAtMs.set(load.entry.server, nowMs);
    return load;
  }

  /** Forgets all other servers. */
  keepOnly(servers: ReadonlyMap<contracts.ServerId, unknown>): void {
    for (const server of this.#triedAtMs.keys()) {
      if (!servers.has(server)) this.#triedAtMs.delete(server);
    }
  }

  /** Draws a server, in proportion to the limits. */
  #choose(
    servers: readonly ServerLoad[],
    { refusedBy }: SlotAttempt,
  ): ServerLoad | undefined {
    if (refusedBy.size >= MAX_SERVERS_ASKED) return undefined;
    const { limitOf, random } = this.#options;
    const choices = servers.filter(({ entry }) => !refusedBy.has(entry.server));
    const weights = choices.map(({ entry }) =>
      Math.max(MIN_WEIGHT, limitOf(entry.server) ?? 0)
    );
    let left = random.next() * weights.reduce((sum, it) => sum + it, 0);
    for (const [index, load] of choices.entries()) {
      left -= weights[index]!;
      if (left <= 0) return load;
    }
    return choices.at(-1);
  }
}
