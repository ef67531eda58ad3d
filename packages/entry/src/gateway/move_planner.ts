/** Plans the moves of one service's ranges from the load that VMs report. */
import type * as contracts from "@guavatide/contracts";
import * as grants from "@guavatide/decisions/grants/mod";
import type { PartLog } from "../utils/log.ts";
import type { KeyCounts } from "./peer_messages.ts";

/** Options of {@link MovePlanner}. */
export interface MovePlannerOptions {
  readonly service: contracts.ServiceId;
  readonly clock: contracts.Clock;
  readonly log: PartLog;
  /**
   * Requests a second that a server can carry; `factor` is how much longer than
   * average it takes where others have measured that.
   */
  readonly capacity: (
    server: contracts.RegisteredServer,
    factor: number | undefined,
  ) => number;
  /** Whether a server has just started and bears little load. */
  readonly isCold: (server: contracts.RegisteredServer) => boolean;
}

/** Interval of plans that even out load. */
const BALANCE_MS = 250;
/** A mover that has just taken over first gathers counts of keys. */
const BALANCE_AFTER_MS = 600;

/** The plans of one service. */
export class MovePlanner {
  readonly #options: MovePlannerOptions;
  readonly #loads = new grants.KeyRateTracker();
  /**
   * How much longer than average servers take, as peers' coordinators report.
   */
  readonly #factors = new Map<contracts.ServerId, number>();
  #begunMs = 0;
  #balancedAtMs = 0;

  constructor(options: MovePlannerOptions) {
    this.#options = options;
  }

  /** This VM makes the moves from now on. */
  start(nowMs: number): void {
    this.#begunMs = nowMs;
  }

  /** Requests by key since the last message of a peer, or of this VM. */
  noteKeyCounts({ counts, serverFactors }: KeyCounts): void {
    for (const [server, factor] of Object.entries(serverFactors)) {
      this.#factors.set(server as contracts.ServerId, factor);
    }
    const pairs: [number, number][] = [];
    for (let index = 0; index + 1 < counts.length; index += 2) {
      pairs.push([counts[index]!, counts[index + 1]!]);
    }
    this.#loads.decay(this.#options.clock.nowMs());
    this.#loads.add(pairs);
  }

  /** Moves to make now; none while there is nothing to gain. */
  plan(
    map: contracts.RangeMap,
    usable: ReadonlyMap<contracts.ServerId, contracts.RegisteredServer>,
    nowMs: number,
  ): grants.RangeMove[] {
    if (usable.size === 0) return [];
    const { capacity, isCold, service, log } = this.#options;
    const mayBalance = nowMs - this.#begunMs >= BALANCE_AFTER_MS &&
      nowMs - this.#balancedAtMs >= BALANCE_MS;
    const hasLoss = map.ranges.some(({ owner }) =>
      usable.get(owner.server)?.bornMs !== owner.bornMs
    );
    if (!mayBalance && !hasLoss) return [];
    if (mayBalance) this.#balancedAtMs = nowMs;
    this.#loads.decay(nowMs);
    for (const server of this.#factors.keys()) {
      if (!usable.has(server)) this.#factors.delete(server);
    }
    const servers = new Map(
      [...usable.values()].map((entry) => {
        const { server, bornMs } = entry;
        const owner = { server, bornMs };
        const capacityPerSecond = capacity(entry, this.#factors.get(server));
        return [server, { owner, capacityPerSecond, isCold: isCold(entry) }];
      }),
    );
    const moves = grants.planRangeMoves({
      ranges: map.ranges,
      servers,
      rates: this.#loads.rates(),
      mayBalance,
    });
    for (const { fromKey, toKey, to } of moves) {
      log.info("Plans a move.", { service, fromKey, toKey, to: to.server });
    }
    return moves;
  }
}
