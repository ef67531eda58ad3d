/** Options of the queue of one service's requests. */
import type * as contracts from "@guavatide/contracts";
import type { CappedServers } from "./capped_servers.ts";
import type { ServerBackoffs } from "./server_backoffs.ts";
import type { ServerRateLimit } from "./server_rate_limit.ts";
import type { ServiceTimes } from "./service_times.ts";
import type { ShortRequestReserve } from "./short_request_reserve.ts";
import type { SlotSource, WaitingRequest } from "./waiting_request.ts";

/** Current owner of a key, as far as this entry VM knows. */
export type KeyOwner =
  | {
    readonly kind: "owned";
    readonly server: contracts.ServerId;
    /** When the owning incarnation of the server started. */
    readonly bornMs: number;
    /** Fencing token of the lease. */
    readonly fence: number;
  }
  /** Handed over from one owner to the next, or not granted yet. */
  | {
    readonly kind: "moving";
    /** How long it has had no owner. */
    readonly ageMs: number;
    /** Lease duration of the service. */
    readonly holdMs: number;
    /** Whether no VM can finish the handover at present; absent for no. */
    readonly isBlocked?: boolean;
  }
  /** Ownership is not known. */
  | {
    readonly kind: "unknown";
    /** How long it has not been known. */
    readonly ageMs: number;
  };

/** Whether requests get to a server, over any VM. */
export type ServerReach =
  | "reached"
  /** One request may show whether it is reached again. */
  | "trial"
  | "unreached";

/** Options of a {@link ServiceQueue} whose requests have keys. */
export interface KeyedQueueOptions {
  readonly ownerOf: (key: number) => KeyOwner;
  /** Source of slots at the owners. */
  readonly slots: SlotSource;
}

/** Servers that have asked other VMs to back off. */
export interface PeerBackoffView {
  /** Whether any server has asked any VM. */
  readonly hasAny: boolean;
  /** Time for which a server turns away all VMs; 0 for any other server. */
  refusedForMs(server: contracts.ServerId): number;
  /**
   * Whether a server has asked another VM to back off: it gets a request only if
   * no other server has a free slot.
   */
  isAvoidedByPeers(server: contracts.ServerId): boolean;
}

/** What a queue knows of the shares of callers. */
export interface QueueShares {
  /** Whether shares and least fractions take effect. */
  readonly isActive: boolean;
  /**
   * Whether a request that would miss its target latency is refused rather
   * than queued: a longer queue only makes more answers late.
   */
  readonly refusesLate: boolean;
  /** Fraction of the capacity left for requests above shares. */
  leftRatio(nowMs: number): number;
  /**
   * Time for which a request that is refused for lack of room is promised
   * capacity; absent where a request's VM promises it.
   */
  retryAfterMs?(request: WaitingRequest, nowMs: number): number;
  /** Whether the VM may send a request within its share of the capacity. */
  mayAdmit?(request: WaitingRequest, nowMs: number): boolean;
  /**
   * Requests per second that this queue may send while others use the same
   * servers; undefined if it alone does.
   */
  queuePerSecond(nowMs: number): number | undefined;
}

/** Options of {@link ServiceQueue}. */
export interface ServiceQueueOptions {
  readonly zone: contracts.ZoneId;
  readonly times: ServiceTimes;
  readonly random: contracts.RandomSource;
  /** Absent for a service without keys. */
  readonly keyed?: KeyedQueueOptions;
  /** Absent where another VM limits the requests to cold servers. */
  readonly rateLimits?: ServerRateLimit | undefined;
  /**
   * Servers without keys that limit their requests. Absent where this queue
   * applies the limit itself.
   */
  readonly capped?: CappedServers | undefined;
  /** Servers that have asked this VM to back off; absent for none. */
  readonly backoffs?: ServerBackoffs | undefined;
  /** What servers have asked of other VMs; absent where that is not known. */
  readonly peerBackoffs?: PeerBackoffView | undefined;
  /** Present for a single server whose requests all pass through this queue. */
  readonly reserve?: ShortRequestReserve;
  /** Region of an availability zone; undefined for an unknown one. */
  readonly regionOf?: (
    zone: contracts.ZoneId,
  ) => contracts.RegionId | undefined;
  /**
   * Whether a server may get requests at this moment. Absent where all servers
   * of the queue may.
   */
  readonly mayReceive?: (server: contracts.RegisteredServer) => boolean;
  /** Whether any VM reaches a server. Absent where all count as reached. */
  readonly reachOf?: (server: contracts.ServerId) => ServerReach;
  /**
   * How long the queue's only server has ended no request, if it should have;
   * else 0.
   */
  readonly stalledMs?: (nowMs: number) => number;
  /** Absent where callers have no shares and routes no least fraction. */
  readonly shares?: QueueShares | undefined;
  /** Called when a request is queued. */
  readonly onWait?: () => void;
}
