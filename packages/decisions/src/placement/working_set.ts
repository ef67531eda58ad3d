/** Servers and slices while a plan is being made. */
import * as contracts from "@guavatide/contracts";
import type { LoadEstimate } from "./load_aggregator.ts";
import type { PlacementSettings } from "./placement_settings.ts";

/** A server that may own slices. */
export interface PlacementServer {
  readonly server: contracts.ServerId;
  readonly zone: contracts.ZoneId;
  /**
   * `leaving`: it takes no new work and gives its slices up in order.
   * `lost`: its slices are taken from it.
   */
  readonly state: "live" | "leaving" | "lost";
  /** Relative size; 1 for an ordinary server. */
  readonly capacity: number;
  /** Speed against the median, see `LoadBook.speeds`. */
  readonly speed?: number;
  /** How long it has been live; absent when that is unknown. */
  readonly liveForMs?: number;
}

/** A slice with its part of the service's load. */
export interface WorkingSlice {
  readonly fromHash: number;
  readonly toHash: number;
  readonly state: contracts.Slice["state"];
  server: WorkingServer;
  /** Part of the whole service's weight; all slices add up to 1. */
  readonly weight: number;
  /** Part of the whole hash space. */
  readonly keyShare: number;
  /** Changed in this plan or not long ago. */
  isCoolingDown: boolean;
  /** Place in its server's list. */
  position: number;
}

/** A zone's sums. */
export interface WorkingZone {
  capacityShare: number;
  weight: number;
}

/** A server with what it owns. */
export interface WorkingServer {
  readonly id: contracts.ServerId;
  readonly state: PlacementServer["state"];
  readonly zone: WorkingZone;
  /** Part of all live servers' capacity; 0 when it must own nothing. */
  readonly capacityShare: number;
  /** In no order; a list, since plans at large sizes fill it each time. */
  readonly slices: WorkingSlice[];
  weight: number;
}

/** What a plan is made from. */
export interface PlacementInput {
  readonly nowMs: number;
  /** In order of `fromHash`, as in the assignment. */
  readonly slices: readonly contracts.Slice[];
  readonly servers: readonly PlacementServer[];
  readonly load: LoadEstimate;
}

/** Least part of its capacity that a server counts with while it warms up. */
const MIN_WARM_UP_CAPACITY = 0.25;
/** How much a zone's load counts beside the server's own. */
const ZONE_WEIGHT = 0.1;

/** The sums that the rules work on. */
export class WorkingSet {
  readonly servers = new Map<contracts.ServerId, WorkingServer>();
  readonly live: WorkingServer[] = [];
  /** In order of `fromHash`; parts made by a split are not added. */
  readonly slices: WorkingSlice[] = [];
  sliceCount = 0;

  constructor(
    input: PlacementInput,
    settings: PlacementSettings,
    isCooling: (fromHash: number) => boolean,
  ) {
    this.#addServers(input.servers, settings);
    this.#addSlices(input, settings, isCooling);
  }

  /** Load against what the server's capacity makes fair; 1 is even. */
  relativeLoad(server: WorkingServer): number {
    return server.capacityShare === 0
      ? Number.POSITIVE_INFINITY
      : server.weight / server.capacityShare;
  }

  /**
   * How full a server is as a target. Between servers about as full, the one
   * in the zone with less load comes first, so that the loss of any zone
   * takes about the same part of the load with it.
   */
  zoneAwareLoad(server: WorkingServer): number {
    const zone = server.zone.weight / server.zone.capacityShare;
    return this.relativeLoad(server) + ZONE_WEIGHT * (zone - 1);
  }

  /** A slice's weight against an average server's. */
  relativeWeight(slice: WorkingSlice): number {
    return slice.weight * this.live.length;
  }

  move(slice: WorkingSlice, to: WorkingServer): void {
    this.#take(slice);
    slice.server = to;
    slice.isCoolingDown = true;
    this.#give(slice);
  }

  /** Replaces a slice by others of the same owner. */
  replace(old: readonly WorkingSlice[], parts: readonly WorkingSlice[]): void {
    for (const slice of old) this.#take(slice);
    for (const slice of parts) this.#give(slice);
    this.sliceCount += parts.length - old.length;
  }

  #take(slice: WorkingSlice): void {
    const { slices } = slice.server;
    const last = slices.pop()!;
    if (last !== slice) {
      slices[slice.position] = last;
      last.position = slice.position;
    }
    slice.server.weight -= slice.weight;
    slice.server.zone.weight -= slice.weight;
  }

  #give(slice: WorkingSlice): void {
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
    isCooling: (fromHash: number) => boolean,
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
        isCoolingDown: state === "vacating" || isCooling(fromHash),
        position: 0,
      };
      this.slices.push(working);
      this.#give(working);
    });
    this.sliceCount = slices.length;
  }

  /** An owner that no list names any more counts as lost. */
  #serverOf(id: contracts.ServerId): WorkingServer {
    return this.servers.get(id) ?? this.#addServer(id, {
      state: "lost",
      zone: { capacityShare: 0, weight: 0 },
      capacityShare: 0,
    });
  }
}

/**
 * Capacity that counts: none unless live, less while warming up or slow. A
 * small difference in speed is noise and must not move keys.
 */
function effectiveCapacity(
  server: PlacementServer,
  settings: PlacementSettings,
): number {
  if (server.state !== "live") return 0;
  const warmth = (server.liveForMs ?? settings.warmUpMs) / settings.warmUpMs;
  const warm = Math.min(1, Math.max(MIN_WARM_UP_CAPACITY, warmth));
  const speed = server.speed ?? 1;
  const isOrdinary = Math.abs(speed - 1) <= settings.speedTolerance;
  return server.capacity * warm * (isOrdinary ? 1 : Math.min(2, speed));
}
