/** What every request of one service shares. */
import type * as contracts from "@guavatide/contracts";
import type * as routing from "@guavatide/decisions/routing/mod";
import type { OwnerView, ServerAddress } from "../contracts/views.ts";
import type { ConnectionPool } from "../links/connection_pool.ts";
import type { Logger } from "../utils/log.ts";
import type { RequestMetrics } from "./request_metrics.ts";
import type { SlotAllocator } from "./slot_allocator.ts";

/** Parts that the requests of one service use. */
export interface RequestContext {
  readonly service: contracts.Service;
  /** Name of the policy in use, for log lines. */
  readonly policy: string;
  readonly allocator: SlotAllocator;
  readonly retryBudget: routing.RetryBudget;
  readonly owners: OwnerView;
  readonly clock: contracts.Clock;
  readonly log: Logger;
  readonly metrics: RequestMetrics;
  /** Time a request of unknown fate stays counted as forwarded. */
  readonly unknownOutcomeHoldMs: number;
  connectionPool(address: ServerAddress): ConnectionPool;
  /** Time within which a server that checks no fences must end a request. */
  readonly unfencedTimeoutMs: number;
  cancel(address: ServerAddress, id: contracts.RequestId): void;
  noteDraining(server: contracts.ServerId): void;
  nextRequestId(): contracts.RequestId;
}
