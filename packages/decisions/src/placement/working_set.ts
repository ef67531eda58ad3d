/** Servers and slices while a plan is computed. */
import * as contracts from "@guavatide/contracts";
import type { LoadEstimate } from "./load_aggregator.ts";
import type { PlacementSettings } from "./placement_settings.ts";

/** A server that may own slices. */
export interface PlacementServer {
  readonly server: contracts.ServerId;
  readonly zone: contracts.ZoneId;
  /**
   * `leaving`: it takes no new slices and hands its own over. `lost`: its
   * slices are moved without it.
   */
  readonly state: "live" | "leaving" | "lost";
  /** Relative size; 1 for a normal server. */
  readonly capacity: number;
  /** Speed relative to the median, see `LoadAggregator.speeds`. */
  readonly speed?: number;
  /** How long it has been live; absent when that is unknown. */
  readonly liveForMs?: number;
}

/** A slice with its fraction of the service's load. */
export interface WorkingSlice {
  readonly fromHash: number;
  readonly toHash: number;
  readonly state: contracts.Slice["state"];
  server: WorkingServer;
  /** Fraction of the service's weight; all slices add up to 1. */
  readonly weight: number;
  /** Fraction of the hash space. */
  readonly keyShare: number;
  /** Changed in this plan or within the cooldown. */
  isCoolingDown: boolean;
  /** Index in its server's list. */
  position: number;
}

/** Sums over a zone's servers. */
export interface WorkingZone {
  capacityShare: number;
  weight: number;
}

/** A server with its slices. */
export interface WorkingServer {
  readonly id: contracts.ServerId;
  readonly state: PlacementServer["state"];
  readonly zone: WorkingZone;
  /** Fraction of all live servers' capacity; 0 when it must own nothing. */
  readonly capacityShare: number;
  /**
   * Unordered. An array, as each plan fills it anew and may have many slices.
   */
  readonly slices: WorkingSlice[];
  weight: number;
}

/** Input of the planner. */
export interface PlacementInput {
  readonly nowMs: number;
  /** In order of `fromHash`, as in the assignment. */
  readonly slices: readonly contracts.Slice[];
  readonly servers: readonly PlacementServer[];
  readonly load: LoadEstimate;
}

/** Lowest fraction of its capacity that a server has during warm-up. */
const MIN_WARM_UP_CAPACITY = 0.25;
/** Weight of the zone's load relative to the server's own. */
const ZONE_WEIGHT = 0.1;

/** Servers and slices that the rules modify, with sums of their loads. */
export class WorkingSet {
  readonly servers = new Map<contracts.ServerId, WorkingServer>();
  readonly live: WorkingServer[] = [];
  /** In order of `fromHash`, without the parts of a split. */
  readonly slices: WorkingSlice[] = [];
  sliceCount = 0;

  constructor(
    input: PlacementInput,
    settings: PlacementSettings,
    isCoolingDown: (fromHash: number) => boolean,
  ) {
    this.#addServers(input.servers, settings);
    this.#addSlices(input, settings, isCoolingDown);
  }

  /** Load relative to the server's fair share by capacity; 1 is balanced. */
  relativeLoad(server: WorkingServer): number {
    return server.capacityShare === 0
      ? Number.POSITIVE_INFINITY
      : server.weight / server.capacityShare;
  }

  /**
   * Load of a server for choosing the target of a move. Of servers with about
   * the same load, the one in the less loaded zone is preferred, so that the
   * loss of any zone affects about the same fraction of the load.
   */
  zoneAwareLoad(server: WorkingServer): number {
    const zone = server.zone.weight / server.zone.capacityShare;
    return this.relativeLoad(server) + ZONE_WEIGHT * (zone - 1);
  }

  /** A slice's weight relative to an average server's. */
  relativeWeight(slice: WorkingSlice): number {
    return slice.weight * this.live.length;
  }

  /** Moves a slice to another server and starts its cooldown. */
  move(slice: WorkingSlice, to: WorkingServer): void {
    this.#detach(slice);
    slice.server = to;
    slice.isCoolingDown = true;
    this.#attach(slice);
  }

  /** Replaces slices by others of the same owner. */
  replace(old: readonly WorkingSlice[], parts: readonly WorkingSlice[]): void {
    for (const slice of old) this.#detach(slice);
    for (const slice of parts) this.#attach(slice);
    this.sliceCount += parts.length - old.length;
  }

  #detach(slice: WorkingSlice): void {
    const { slices } = slice.server;
    const last = slices.pop()!;
    if (last !== slice) {
      slices[slice.position] = last;
      last.position = slice.position;
    }
    slice.server.weight -= slice.weight;
    slice.server.zone.weight -= slice.weight;
  }

  #attach(slice: WorkingSlice): void {
    slice.position = slice.server.slices.length;
    slice.server.slices.push(slice);
    slice.server.weight += slice.weight;
    slice.server.zone.weight += slice.weight;
  }

  #addServers(
    servers: readonly PlacementServer[],
    settings: PlacementSettings,
  ): void {
    const zones = new Map<contracts.ZoneId, WorkingZone>();
    const capacities = servers.map((server) =>
      effectiveCapacity(server, settings)
    );
    const total = capacities.reduce((sum, capacity) => sum + capacity, 0);
    servers.forEach((server, index) => {
      const zone = zones.get(server.zone) ?? { capacityShare: 0, weight: 0 };
      zones.set(server.zone, zone);
      const capacityShare = total === 0 ? 0 : capacities[index]! / total;
      zone.capacityShare += capacityShare;
      this.#addServer(server.server, {
        state: server.state,
        zone,
        capacityShare,
      });
    });
  }

  #addServer(
    id: contracts.ServerId,
    from: Pick<WorkingServer, "state" | "zone" | "capacityShare">,
  ): WorkingServer {
    const server = { ...from, id, slices: [], weight: 0 };
    this.servers.set(id, server);
    if (server.capacityShare > 0) this.live.push(server);
    return server;
  }

  #addSlices(
    { slices, load }: PlacementInput,
    settings: PlacementSettings,
    isCoolingDown: (fromHash: number) => boolean,
  ): void {
    const rates = load.slices;
    const sum = rates.reduce((total, rate) => total + rate, 0);
    const isMeasured = sum >= settings.minRequestsPerSecond;
    const widthWeight = isMeasured ? settings.widthWeight : 1;
    slices.forEach((slice, index) => {
      const { fromHash, toHash, state } = slice;
      const keyShare = (toHash - fromHash) / contracts.HASH_SPACE;
      const loadShare = isMeasured ? rates[index]! / sum : 0;
      const working: WorkingSlice = {
        fromHash,
        toHash,
        state,
        server: this.#serverOf(slice.server),
        weight: widthWeight * keyShare + (1 - widthWeight) * loadShare,
        keyShare,
        isCoolingDown: state === "vacating" || isCoolingDown(fromHash),
        position: 0,
      };
      this.slices.push(working);
      this.#attach(working);
    });
    this.sliceCount = slices.length;
  }

  /** An owner that is not among the given servers counts as lost. */
  #serverOf(id: contracts.ServerId): WorkingServer {
    return this.servers.get(id) ?? this.#addServer(id, {
      state: "lost",
      zone: { capacityShare: 0, weight: 0 },
      capacityShare: 0,
    });
  }
}

/**
 * Effective capacity: 0 unless live, less during warm-up, and in proportion to
 * the speed. A small difference in speed is noise and must not move keys.
 */
function effectiveCapacity(
  server: PlacementServer,
  settings: PlacementSettings,
): number {
  if (server.state !== "live") return 0;
  const progress = (server.liveForMs ?? settings.warmUpMs) / settings.warmUpMs;
  const warm = Math.min(1, Math.max(MIN_WARM_UP_CAPACITY, progress));
  const speed = server.speed ?? 1;
  const isNormal = Math.abs(speed - 1) <= settings.speedTolerance;
  return server.capacity * warm * (isNormal ? 1 : Math.min(2, speed));
}
