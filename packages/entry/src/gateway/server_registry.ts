/** Backend servers of all services, as they registered in the store. */
import type * as contracts from "@guavatide/contracts";
import type { PartLog } from "../utils/log.ts";
import type { ObjectChange } from "./object_table.ts";
import type { PlatformAdapter } from "./platform_adapter.ts";
import type { ZoneEvacuations } from "./zone_evacuations.ts";

/** Options of {@link ServerRegistry}. */
export interface ServerRegistryOptions {
  readonly adapter: Pick<PlatformAdapter, "decodeServer" | "prefixes">;
  /** How long the store has answered without a failure. */
  readonly storeCalmMs: () => number;
  readonly evacuations: ZoneEvacuations;
  /**
   * How long after an evacuation is learned its zone's servers may still get
   * requests for keys that they own.
   */
  readonly evacuationGraceMs: number;
  /** How the servers of a service bear load while cold. */
  readonly coldStartOf: (
    service: contracts.ServiceId,
  ) => contracts.ColdStart | undefined;
  readonly clock: contracts.Clock;
  readonly log: PartLog;
}

/**
 * How long a leaving server may still get requests for keys that it owns:
 * longer than a move, shorter than the platform's limit less the delay of the
 * news.
 */
const DRAINING_GRACE_MS = 1_200;
/** Grace after the store's return for entries that lapsed while it was away. */
const EXPIRED_ENTRY_GRACE_MS = 2_400;
/** An ended run is kept this long, for control calls and to know its end. */
const ENDED_INCARNATION_TTL_MS = 60_000;

interface KnownServer {
  entry: contracts.RegisteredServer;
  /** Since when it leaves or is gone. */
  drainingSinceMs: number | undefined;
  /** When its entry was found missing. */
  missingSinceMs: number | undefined;
  coldUntilMs: number;
  /** Whether it was in use when listeners were last called by time. */
  isUsable: boolean;
}

/** Entries by server id, with those that are leaving and gone. */
export class ServerRegistry {
  readonly #options: ServerRegistryOptions;
  readonly #known = new Map<contracts.ServerId, KnownServer>();
  readonly #listeners: (() => void)[] = [];
  readonly #unreadable = new Map<string, string>();
  /** Evacuated zones whose servers get nothing at all any more. */
  readonly #drainedZones = new Set<contracts.ZoneId>();
  #isListed = false;

  constructor(options: ServerRegistryOptions) {
    this.#options = options;
    options.evacuations.onChange((ended) => this.#followEvacuations(ended));
  }

  /** Whether the list has been read since the start. */
  get isListed(): boolean {
    return this.#isListed;
  }

  /** Called after each change. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Servers of a service that may get requests. Leaving ones, and those of
   * evacuated zones, are draining.
   */
  servers(service: contracts.ServiceId): contracts.RegisteredServer[] {
    const nowMs = this.#options.clock.nowMs();
    const found: contracts.RegisteredServer[] = [];
    for (const known of this.#known.values()) {
      if (known.entry.service !== service) continue;
      const useUntilMs = this.#useUntilMs(known);
      if (useUntilMs === Number.POSITIVE_INFINITY) found.push(known.entry);
      else if (nowMs < useUntilMs) {
        found.push({ ...known.entry, isDraining: true });
      }
    }
    return found;
  }

  /** Servers of a service that neither leave, nor are gone or evacuated. */
  staying(service: contracts.ServiceId): contracts.RegisteredServer[] {
    return [...this.#known.values()]
      .filter((known) =>
        known.entry.service === service &&
        this.#useUntilMs(known) === Number.POSITIVE_INFINITY
      )
      .map(({ entry }) => entry);
  }

  /** When its server may get no request any more; infinite while it stays. */
  #useUntilMs({ entry, drainingSinceMs: leavingSinceMs }: KnownServer): number {
    const { evacuations, evacuationGraceMs: evacuationUseMs } = this.#options;
    const evacuatedSinceMs = evacuations.sinceMs(entry.zone);
    return Math.min(
      (leavingSinceMs ?? Number.POSITIVE_INFINITY) + DRAINING_GRACE_MS,
      (evacuatedSinceMs ?? Number.POSITIVE_INFINITY) + evacuationUseMs,
    );
  }

  /** Until when a server bears little load; in the past for a warm one. */
  coldUntilMs(server: contracts.ServerId): number {
    return this.#known.get(server)?.coldUntilMs ?? Number.NEGATIVE_INFINITY;
  }

  /** Availability zone of a server. */
  zoneOf(server: contracts.ServerId): contracts.ZoneId | undefined {
    return this.#known.get(server)?.entry.zone;
  }

  /** A run of a server, also one that leaves or is gone; for control calls. */
  entry(owner: contracts.RangeOwner): contracts.RegisteredServer | undefined {
    const known = this.#known.get(owner.server);
    return known?.entry.bornMs === owner.bornMs ? known.entry : undefined;
  }

  /** Whether a later run of the server is known, so that this one has ended. */
  hasEnded(owner: contracts.RangeOwner): boolean {
    const known = this.#known.get(owner.server);
    return known !== undefined && known.entry.bornMs > owner.bornMs;
  }

  /** Ids of all servers that may get requests. */
  ids(): Set<contracts.ServerId> {
    return new Set(this.#known.keys());
  }

  /** Takes over a whole list. */
  applyList(objects: readonly contracts.StoredObject[]): void {
    const listed = new Set<string>();
    for (const object of objects) {
      listed.add(this.#serverOf(object.name));
      this.#take(object);
    }
    for (const [server, known] of this.#known) {
      if (!listed.has(server)) this.#noteMissing(known);
    }
    this.#isListed = true;
    this.#changed();
  }

  /** Takes over changes that were learned together. */
  applyChanges(changes: readonly ObjectChange[]): void {
    for (const { name, object } of changes) {
      const known = this.#known.get(
        this.#serverOf(name) as contracts.ServerId,
      );
      if (object !== undefined) this.#take(object);
      else if (known !== undefined) this.#noteMissing(known);
    }
    this.#changed();
  }

  /** Lets time pass: lapsed entries, servers that are gone for long. */
  tick(): void {
    const nowMs = this.#options.clock.nowMs();
    let isChanged = false;
    for (const [server, known] of this.#known) {
      const { missingSinceMs, drainingSinceMs: leavingSinceMs } = known;
      const isLapsed = missingSinceMs !== undefined &&
        leavingSinceMs === undefined && this.#isStoreStable();
      if (isLapsed) {
        this.#leave(known, "missing since the store is back");
        isChanged = true;
      }
      const wasInUse = known.isUsable;
      known.isUsable = nowMs < this.#useUntilMs(known);
      if (known.isUsable !== wasInUse) isChanged = true;
      if (leavingSinceMs === undefined) continue;
      if (nowMs - leavingSinceMs <= ENDED_INCARNATION_TTL_MS) continue;
      this.#known.delete(server);
      isChanged = true;
    }
    this.#noteDrainedZones(nowMs);
    if (isChanged) this.#changed();
  }

  /** Tells once of each zone whose servers are of no use any more. */
  #noteDrainedZones(nowMs: number): void {
    const { evacuations, evacuationGraceMs: evacuationUseMs, log } =
      this.#options;
    for (const zone of evacuations.zones) {
      const sinceMs = evacuations.sinceMs(zone)!;
      if (this.#drainedZones.has(zone) || nowMs - sinceMs < evacuationUseMs) {
        continue;
      }
      this.#drainedZones.add(zone);
      log.info("Zone is empty: its servers get nothing from here.", { zone });
    }
  }

  /** Servers of a zone that is taken back may have become cold meanwhile. */
  #followEvacuations(ended: readonly contracts.ZoneId[]): void {
    for (const zone of ended) this.#drainedZones.delete(zone);
    for (const known of this.#known.values()) {
      if (!ended.includes(known.entry.zone)) continue;
      const { warmUpMs = 0 } = this.#options.coldStartOf(known.entry.service) ??
        {};
      this.#noteCold(known, warmUpMs);
    }
    this.#changed();
  }

  #noteCold(known: KnownServer, leftMs: number): void {
    if (leftMs <= 0) return;
    const nowMs = this.#options.clock.nowMs();
    if (known.coldUntilMs < nowMs) {
      const { server, service } = known.entry;
      this.#options.log.info("Server is cold.", { server, service, leftMs });
    }
    const untilMs = nowMs + leftMs;
    known.coldUntilMs = Math.max(known.coldUntilMs, untilMs);
  }

  /** Whether a missing entry has not lapsed while the store was away. */
  #isStoreStable(): boolean {
    return this.#options.storeCalmMs() > EXPIRED_ENTRY_GRACE_MS;
  }

  #take(object: contracts.StoredObject): void {
    const { adapter, log } = this.#options;
    const decoded = adapter.decodeServer(object.name, object.value);
    if (decoded.isErr()) return this.#noteUnreadable(object, decoded.error);
    this.#unreadable.delete(object.name);
    const entry = decoded.value;
    const known = this.#known.get(entry.server);
    const isOlderRun = known !== undefined &&
      known.entry.bornMs > entry.bornMs;
    if (isOlderRun) return;
    const isNew = known === undefined || known.entry.bornMs !== entry.bornMs;
    if (isNew) {
      const { server, service, bornMs, host, port, zone } = entry;
      log.info("Server seen.", { server, service, bornMs, host, port, zone });
      if (!this.#options.evacuations.isKnown(zone)) {
        log.warn(
          "Server of a zone that the settings don't name. Add the zone there.",
          { server, zone },
        );
      }
    }
    const next: KnownServer = isNew
      ? {
        entry,
        drainingSinceMs: undefined,
        missingSinceMs: undefined,
        coldUntilMs: Number.NEGATIVE_INFINITY,
        isUsable: true,
      }
      : { ...known, entry, missingSinceMs: undefined };
    this.#known.set(entry.server, next);
    this.#noteCold(next, entry.warmUpLeftMs);
    if (entry.isDraining) this.#leave(next, "says that it drains");
    else if (next.drainingSinceMs !== undefined) {
      log.info("Server is back.", { server: entry.server });
      next.drainingSinceMs = undefined;
    }
  }

  /** The entry is not there: gone, or lapsed while the store was away. */
  #noteMissing(known: KnownServer): void {
    if (known.drainingSinceMs !== undefined) return;
    known.missingSinceMs ??= this.#options.clock.nowMs();
    if (this.#isStoreStable()) this.#leave(known, "its entry was removed");
  }

  #leave(known: KnownServer, reason: string): void {
    if (known.drainingSinceMs !== undefined) return;
    known.drainingSinceMs = this.#options.clock.nowMs();
    const { server, service } = known.entry;
    this.#options.log.info("Server leaves.", { server, service, reason });
  }

  /**
   * An unreadable entry is logged once a version and names no server to use.
   */
  #noteUnreadable(
    object: contracts.StoredObject,
    error: { readonly field: string; readonly message: string },
  ): void {
    if (this.#unreadable.get(object.name) === object.version) return;
    this.#unreadable.set(object.name, object.version);
    const { field, message } = error;
    this.#options.log.warn("Ignores an entry.", {
      name: object.name,
      field,
      message,
    });
    const known = this.#known.get(
      this.#serverOf(object.name) as contracts.ServerId,
    );
    if (known !== undefined) this.#leave(known, "its entry became unreadable");
  }

  #serverOf(name: string): string {
    return name.slice(this.#options.adapter.prefixes.servers.length);
  }

  #changed(): void {
    for (const listener of this.#listeners) listener();
  }
}
