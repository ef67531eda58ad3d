/** Tells peers which servers this VM doesn't reach, and keeps what they tell. */
import type * as contracts from "@guavatide/contracts";
import type { LifeCycle, PeriodicTask } from "../../utils/life_cycle.ts";
import { CoalescedCallback } from "../../utils/coalesced_callback.ts";
import type { PeerGossip } from "../peers/peer_gossip.ts";
import {
  isUnreachedServers,
  REACH_METHOD,
  type UnreachedServers,
} from "../peers/peer_messages.ts";
import { RepeatedBroadcast } from "../peers/repeated_broadcast.ts";

/** Options of {@link PeerReach}. */
export interface PeerReachOptions {
  readonly vm: contracts.VmId;
  readonly gossip: Pick<PeerGossip, "onGuarded" | "broadcast">;
  readonly clock: contracts.Clock;
  /** What this VM doesn't reach. */
  readonly own: () => OwnReach;
}

/** What this VM says of its own paths. */
export interface OwnReach {
  /** Whether it reaches no server at all. */
  readonly isCutOff: boolean;
  /** Servers that it doesn't reach. */
  readonly lostServers: ReadonlySet<contracts.ServerId>;
}

/** While a path is lost, peers are told again at this interval. */
const REFRESH_INTERVAL_MS = 1_000;
/** What a peer told counts for this time. */
const NEWS_TTL_MS = 3_000;
/** The end of a partition is told twice: datagrams get lost. */
const REPEAT_MS = 200;
/** More servers than this are not named in one datagram. */
const MAX_SERVERS = 200;

interface PeerNews {
  readonly isCutOff: boolean;
  readonly servers: ReadonlySet<string>;
  readonly untilMs: number;
}

/** Which VMs reach which servers. All do, until one says otherwise. */
export class PeerReach {
  readonly #options: PeerReachOptions;
  readonly #news = new Map<contracts.VmId, PeerNews>();
  readonly #broadcasts = new RepeatedBroadcast(REPEAT_MS);
  readonly #telling = new CoalescedCallback(() =>
    this.#lifeCycle?.guard("news of lost paths", () => this.#tell())
  );
  #lifeCycle: LifeCycle | undefined;
  #refreshTask: PeriodicTask | undefined;

  constructor(options: PeerReachOptions) {
    this.#options = options;
    options.gossip.onGuarded(
      REACH_METHOD,
      isUnreachedServers,
      (news) => this.#note(news),
    );
  }

  /** Starts the periodic work. */
  start(lifeCycle: LifeCycle): void {
    this.#lifeCycle = lifeCycle;
    this.#broadcasts.start(lifeCycle, "news of unreached servers");
    this.#refreshTask = lifeCycle.every(
      Number.POSITIVE_INFINITY,
      () => this.#tell(),
      "news of lost paths",
    );
  }

  /** This VM has lost a path or has it back. */
  noteOwnChange(): void {
    this.#telling.schedule();
  }

  /** Whether any VM, this one included, doesn't reach some server. */
  get hasAny(): boolean {
    return this.#news.size > 0 || this.#options.own().lostServers.size > 0;
  }

  /** Whether a VM reaches a server, as far as it has said. */
  reaches(vm: contracts.VmId, server: contracts.ServerId): boolean {
    const { own } = this.#options;
    if (vm === this.#options.vm) return !own().lostServers.has(server);
    const news = this.#newsOf(vm);
    return news === undefined ||
      !news.isCutOff && !news.servers.has(server);
  }

  /** Whether a VM reaches any server, as far as it has said. */
  reachesAny(vm: contracts.VmId): boolean {
    const { own } = this.#options;
    return vm === this.#options.vm
      ? !own().isCutOff
      : this.#newsOf(vm)?.isCutOff !== true;
  }

  #newsOf(vm: contracts.VmId): PeerNews | undefined {
    const news = this.#news.get(vm);
    if (news === undefined) return undefined;
    if (this.#options.clock.nowMs() < news.untilMs) return news;
    this.#news.delete(vm);
    return undefined;
  }

  #note({ vm, isCutOff, servers }: UnreachedServers): void {
    if (vm === this.#options.vm) return;
    if (!isCutOff && servers.length === 0) {
      this.#news.delete(vm);
      return;
    }
    const untilMs = this.#options.clock.nowMs() + NEWS_TTL_MS;
    this.#news.set(vm, { isCutOff, servers: new Set(servers), untilMs });
  }

  #tell(): void {
    const hasLost = this.#options.own().lostServers.size > 0;
    this.#refreshTask?.setIntervalMs(
      hasLost ? REFRESH_INTERVAL_MS : Number.POSITIVE_INFINITY,
    );
    if (hasLost) this.#broadcast();
    else this.#broadcasts.send(() => this.#broadcast());
  }

  #broadcast(): void {
    const { vm, gossip, own } = this.#options;
    const { isCutOff, lostServers } = own();
    const message: UnreachedServers = {
      vm,
      isCutOff,
      servers: isCutOff ? [] : [...lostServers].slice(0, MAX_SERVERS),
    };
    gossip.broadcast(REACH_METHOD, message);
  }
}
