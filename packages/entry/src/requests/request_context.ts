/** Dependencies that the requests of one service share. */
import type * as contracts from "@guavatide/contracts";
import type * as routing from "@guavatide/decisions/routing/mod";
import type { OwnerView, ServerAddress } from "../contracts/views.ts";
import type { ConnectionPool } from "../links/connection_pool.ts";
import type { Logger } from "../utils/log.ts";
import type { CrashGuard } from "./crash_guard.ts";
import type { RequestMetrics } from "./request_metrics.ts";
import type { SlotAllocator } from "./slot_allocator.ts";

/** What a request needs to run. */
export interface RequestContext {
  readonly service: contracts.Service;
  /** Name of the load balancing policy, for log lines. */
  readonly policy: string;
  readonly allocator: SlotAllocator;
  readonly retryBudget: routing.RetryBudget;
  readonly owners: OwnerView;
  /** Knows which requests crash the servers that run them. */
  readonly crashGuard: CrashGuard;
  readonly clock: contracts.Clock;
  readonly log: Logger;
  readonly metrics: RequestMetrics;
  /** Time that a request with an unknown outcome stays counted as forwarded. */
  readonly unknownOutcomeHoldMs: number;
  connectionPool(address: ServerAddress): ConnectionPool;
  /**
   * Time from sending within which a server that does not check fencing tokens
   * must finish a request, in milliseconds. After it the server refuses it.
   */
  readonly unfencedTimeoutMs: number;
  /** Tells a server to stop a request whose answer is no longer awaited. */
  cancel(address: ServerAddress, id: contracts.RequestId): void;
  /** Records that the server refused a request because it is draining. */
  noteDraining(server: contracts.ServerId): void;
  nextRequestId(): contracts.RequestId;
}
