/**
 * Plans the handovers of one service's ranges from the load that VMs report.
 */
import type * as contracts from "@guavatide/contracts";
import * as grants from "@guavatide/decisions/grants/mod";
import type { LabelledCounts } from "../../metrics/labelled_counts.ts";
import type { Logger } from "../../utils/log.ts";
import type { KeyCounts } from "../peers/peer_messages.ts";

/** Options of {@link MovePlanner}. */
export interface MovePlannerOptions {
  readonly service: contracts.ServiceId;
  readonly clock: contracts.Clock;
  readonly log: Logger;
  /**
   * Capacity of a server in requests per second; `factor` is how much longer
   * than average it takes, if other VMs have measured that.
   */
  readonly capacity: (
    server: contracts.RegisteredServer,
    factor: number | undefined,
  ) => number;
  /** Whether a server is in slow start and can take little load. */
  readonly isCold: (server: contracts.RegisteredServer) => boolean;
  /**
   * Ranges whose renewals a server that limits its calls has room for;
   * undefined for any other server.
   */
  readonly maxRangesOf: (server: contracts.ServerId) => number | undefined;
  /** Whether a server's ranges stay, as handovers from it take long. */
  readonly keepsRanges: (server: contracts.ServerId) => boolean;
  /** Servers that have asked entry VMs to back off. */
  readonly backoffOf: (
    server: contracts.ServerId,
  ) => grants.ServerBackoff | undefined;
  /** Decisions on hot keys, by service and decision; absent in tests. */
  readonly hotKeyCounts?: LabelledCounts;
}

/** Interval of plans that rebalance load. */
const REBALANCE_INTERVAL_MS = 250;
/** A new leader first gathers request counts by key for this long. */
const REBALANCE_GRACE_MS = 600;

/** Of a plan with more moves, one line tells their number. */
const MAX_LOGGED_MOVES = 30;
/** A move of more keys is one of a range, not of hot keys. */
const MAX_HOT_KEYS_PER_MOVE = 32;
/**
 * No load is rebalanced for this long after a server has named a limit: others
 * may do so as well, and all keys would move to the last one. Each owner is
 * called within this time, as its leases are renewed.
 */
const LIMIT_SETTLE_MS = 600;

/** Plans the handovers of one service. */
export class MovePlanner {
  readonly #options: MovePlannerOptions;
  readonly #loads = new grants.KeyRateTracker();
  /**
   * By server, how much longer than average it takes, as peers' slot
   * coordinators report.
   */
  readonly #latencyFactors = new Map<contracts.ServerId, number>();
  #startedAtMs = 0;
  #rebalancedAtMs = 0;
  #limited: ReadonlySet<contracts.ServerId> = new Set();
  /** When the newest limit became known. */
  #limitedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: MovePlannerOptions) {
    this.#options = options;
  }

  /** This VM is the leader from now on. */
  start(nowMs: number): void {
    this.#startedAtMs = nowMs;
  }

  /** Adds request counts by key since the last message of a peer or this VM. */
  noteKeyCounts({ counts, serverFactors }: KeyCounts): void {
    for (const [server, factor] of Object.entries(serverFactors)) {
      this.#latencyFactors.set(server as contracts.ServerId, factor);
    }
    const pairs: [number, number][] = [];
    for (let index = 0; index + 1 < counts.length; index += 2) {
      pairs.push([counts[index]!, counts[index + 1]!]);
    }
    this.#loads.decay(this.#options.clock.nowMs());
    this.#loads.add(pairs);
  }

  /** Handovers to start now; none while there is nothing to gain. */
  plan(
    map: contracts.RangeMap,
    usable: ReadonlyMap<contracts.ServerId, contracts.RegisteredServer>,
    nowMs: number,
  ): grants.RangeMove[] {
    if (usable.size === 0) return [];
    const { capacity, isCold, maxRangesOf, keepsRanges, backoffOf } =
      this.#options;
    this.#noteLimits(usable, nowMs);
    const mayBalance = nowMs - this.#startedAtMs >= REBALANCE_GRACE_MS &&
      nowMs - this.#rebalancedAtMs >= REBALANCE_INTERVAL_MS &&
      nowMs - this.#limitedAtMs >= LIMIT_SETTLE_MS;
    const hasLostOwner = map.ranges.some(({ owner }) =>
      usable.get(owner.server)?.bornMs !== owner.bornMs
    );
    if (!mayBalance && !hasLostOwner) return [];
    if (mayBalance) this.#rebalancedAtMs = nowMs;
    this.#loads.decay(nowMs);
    for (const server of this.#latencyFactors.keys()) {
      if (!usable.has(server)) this.#latencyFactors.delete(server);
    }
    const servers = new Map(
      [...usable.values()].map((entry) => {
        const { server, bornMs } = entry;
        const owner = { server, bornMs };
        const capacityPerSecond = capacity(
          entry,
          this.#latencyFactors.get(server),
        );
        return [server, {
          owner,
          capacityPerSecond,
          isCold: isCold(entry),
          maxRanges: maxRangesOf(server),
          keepsRanges: keepsRanges(server),
          backoff: backoffOf(server),
        }];
      }),
    );
    const moves = grants.planRangeMoves({
      ranges: map.ranges,
      servers,
      rates: this.#loads.rates(),
      mayBalance,
    });
    this.#report(moves);
    return moves;
  }

  #report(moves: readonly grants.RangeMove[]): void {
    const { service, log, hotKeyCounts } = this.#options;
    const hotKeyMoves = moves.filter(({ fromKey, toKey }) =>
      toKey - fromKey < MAX_HOT_KEYS_PER_MOVE
    );
    if (hotKeyMoves.length > 0) {
      hotKeyCounts?.add(hotKeyMoves.length, { service, decision: "moved" });
    }
    for (const { fromKey, toKey, to } of moves.slice(0, MAX_LOGGED_MOVES)) {
      log.info("Planned a handover.", {
        service,
        fromKey,
        toKey,
        to: to.server,
      });
    }
    if (moves.length <= MAX_LOGGED_MOVES) return;
    log.info("Planned further handovers.", {
      service,
      moves: moves.length,
      ofHotKeys: hotKeyMoves.length,
    });
  }

  #noteLimits(
    usable: ReadonlyMap<contracts.ServerId, contracts.RegisteredServer>,
    nowMs: number,
  ): void {
    const limited = new Set(
      [...usable.keys()].filter((server) =>
        this.#options.maxRangesOf(server) !== undefined
      ),
    );
    const hasNew = [...limited].some((server) => !this.#limited.has(server));
    if (hasNew) this.#limitedAtMs = nowMs;
    this.#limited = limited;
  }
}
