/** Backend servers of all services, as registered in the store. */
import type * as contracts from "@guavatide/contracts";
import { Listeners } from "../../utils/listeners.ts";
import type { Logger } from "../../utils/log.ts";
import type { ChangeOrigin } from "../store/kind_watch.ts";
import type { ObjectChange } from "../store/object_table.ts";
import type { PlatformAdapter } from "../platform_adapter.ts";
import type { ZoneEvacuations } from "./zone_evacuations.ts";

/** Options of {@link ServerRegistry}. */
export interface ServerRegistryOptions {
  readonly adapter: Pick<PlatformAdapter, "decodeServer" | "prefixes">;
  /** Milliseconds for which the store has responded without a failure. */
  readonly storeCalmMs: () => number;
  readonly evacuations: ZoneEvacuations;
  /**
   * How long after an evacuation began the zone's servers may still get requests
   * for keys that they own.
   */
  readonly evacuationGraceMs: number;
  /** Time in which requests to a draining server must cease. */
  readonly drainBoundMs: number;
  /** Slow start settings of a service; undefined where it has none. */
  readonly coldStartOf: (
    service: contracts.ServiceId,
  ) => contracts.ColdStart | undefined;
  readonly clock: contracts.Clock;
  readonly log: Logger;
}

/**
 * How long after this VM learns of a drain the server may still get requests for
 * keys that it owns: longer than a handover.
 */
const DRAINING_GRACE_MS = 1_200;
/**
 * Fraction of the time limit of a drain in which the same holds, from the drain
 * itself on; the rest is for requests on their way.
 */
const DRAIN_GRACE_RATIO = 0.6;
/** Grace after a store outage for entries that expired during it. */
const EXPIRED_ENTRY_GRACE_MS = 2_400;
/**
 * How long an ended incarnation is kept, for control calls and to recognize
 * that it has ended.
 */
const ENDED_INCARNATION_TTL_MS = 60_000;

/** How this VM has learned that a server drains or was removed. */
export type DrainOrigin = Partial<ChangeOrigin>;

interface KnownServer {
  entry: contracts.RegisteredServer;
  /** When this VM learned that it drains or was removed. */
  drainingSinceMs: number | undefined;
  /** Until when it may get requests for keys that it owns; infinite while it stays. */
  graceEndsAtMs: number;
  /** When its entry was found missing. */
  missingSinceMs: number | undefined;
  coldUntilMs: number;
  /** Whether it has said in an answer that it leaves. */
  isLeaving: boolean;
  /** Whether it could get requests at the last tick. */
  isUsable: boolean;
}

/** Entries by server id, including draining and recently removed servers. */
export class ServerRegistry {
  readonly #options: ServerRegistryOptions;
  readonly #known = new Map<contracts.ServerId, KnownServer>();
  readonly #listeners: Listeners;
  readonly #unreadable = new Map<string, string>();
  /** Evacuated zones whose servers get no more requests. */
  readonly #drainedZones = new Set<contracts.ZoneId>();
  #isListed = false;

  constructor(options: ServerRegistryOptions) {
    this.#options = options;
    this.#listeners = new Listeners("changes of servers", options.log);
    options.evacuations.onChange((ended) =>
      this.#handleEvacuationChange(ended)
    );
  }

  /** Whether the list of servers has been read since the start. */
  get isListed(): boolean {
    return this.#isListed;
  }

  /** Registers a listener that runs after each change. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /**
   * Servers of a service that may get requests. Servers about to be removed and
   * those of evacuated zones are marked as draining.
   */
  servers(service: contracts.ServiceId): contracts.RegisteredServer[] {
    const nowMs = this.#options.clock.nowMs();
    const found: contracts.RegisteredServer[] = [];
    for (const known of this.#known.values()) {
      if (known.entry.service !== service) continue;
      const usableUntilMs = this.#usableUntilMs(known);
      if (usableUntilMs === Number.POSITIVE_INFINITY) found.push(known.entry);
      else if (nowMs < usableUntilMs) {
        found.push({ ...known.entry, isDraining: true });
      }
    }
    return found;
  }

  /** Servers of a service that are not draining, removed or evacuated. */
  staying(service: contracts.ServiceId): contracts.RegisteredServer[] {
    return [...this.#known.values()]
      .filter((known) =>
        known.entry.service === service &&
        this.#usableUntilMs(known) === Number.POSITIVE_INFINITY
      )
      .map(({ entry }) => entry);
  }

  /** Until when the server may get requests; infinite while it stays. */
  #usableUntilMs({ entry, graceEndsAtMs }: KnownServer): number {
    const { evacuations, evacuationGraceMs } = this.#options;
    const evacuatedAfterMs = evacuations.beganAfterMs(entry.zone);
    return Math.min(
      graceEndsAtMs,
      (evacuatedAfterMs ?? Number.POSITIVE_INFINITY) + evacuationGraceMs,
    );
  }

  /**
   * Whether an incarnation may get requests at this moment; asked again before
   * the first byte of each.
   */
  mayReceive({ server, bornMs }: contracts.RangeOwner): boolean {
    const known = this.#known.get(server);
    return known?.entry.bornMs === bornMs &&
      this.#options.clock.nowMs() < this.#usableUntilMs(known);
  }

  /** End of a server's warm-up; in the past for a warm server. */
  coldUntilMs(server: contracts.ServerId): number {
    return this.#known.get(server)?.coldUntilMs ?? Number.NEGATIVE_INFINITY;
  }

  /** Availability zone of a server. */
  zoneOf(server: contracts.ServerId): contracts.ZoneId | undefined {
    return this.#known.get(server)?.entry.zone;
  }

  /** The last known incarnation of a server. */
  find(server: contracts.ServerId): contracts.RegisteredServer | undefined {
    return this.#known.get(server)?.entry;
  }

  /** When the last known incarnation of a server started. */
  bornMsOf(server: contracts.ServerId): number | undefined {
    return this.#known.get(server)?.entry.bornMs;
  }

  /** Entry of an incarnation, even a draining or removed one; for control calls. */
  entry(owner: contracts.RangeOwner): contracts.RegisteredServer | undefined {
    const known = this.#known.get(owner.server);
    return known?.entry.bornMs === owner.bornMs ? known.entry : undefined;
  }

  /** Ids of all known servers, including draining and recently removed ones. */
  ids(): Set<contracts.ServerId> {
    return new Set(this.#known.keys());
  }

  /** Applies a full list; servers that are not in it count as missing. */
  applyList(
    objects: readonly contracts.StoredObject[],
    origin: DrainOrigin,
  ): void {
    const listed = new Set<string>();
    for (const object of objects) {
      listed.add(this.#serverOf(object.name));
      this.#applyEntry(object, origin);
    }
    for (const [server, known] of this.#known) {
      if (!listed.has(server)) this.#markMissing(known, origin);
    }
    if (!this.#isListed) {
      this.#options.log.info("Servers listed.", { servers: this.#known.size });
    }
    this.#isListed = true;
    this.#notify();
  }

  /** Applies a batch of changes and notifies listeners once. */
  applyChanges(changes: readonly ObjectChange[], origin: DrainOrigin): void {
    for (const { name, object } of changes) {
      const known = this.#known.get(
        this.#serverOf(name) as contracts.ServerId,
      );
      if (object !== undefined) {
        this.#applyEntry(object, origin);
        continue;
      }
      this.#unreadable.delete(name);
      if (known !== undefined) this.#markMissing(known, origin);
    }
    this.#notify();
  }

  /**
   * Records that an incarnation has said in an answer that it leaves. It drains
   * from then on, whatever its registration says. Returns whether it is new.
   */
  noteLeaving(owner: contracts.RangeOwner): boolean {
    const known = this.#known.get(owner.server);
    if (known?.entry.bornMs !== owner.bornMs || known.isLeaving) return false;
    known.isLeaving = true;
    this.#drain(known, "says so in an answer", { ageMs: 0 });
    this.#notify();
    return true;
  }

  /** Incarnations that have said so and are still registered. */
  leaving(): contracts.RangeOwner[] {
    return [...this.#known.values()]
      .filter(({ isLeaving, missingSinceMs }) =>
        isLeaving && missingSinceMs === undefined
      )
      .map(({ entry: { server, bornMs } }) => ({ server, bornMs }));
  }

  /** Handles what is due: expired entries, grace times, servers removed for long. */
  tick(): void {
    const nowMs = this.#options.clock.nowMs();
    let isChanged = false;
    for (const [server, known] of this.#known) {
      const { missingSinceMs, drainingSinceMs } = known;
      const isExpired = missingSinceMs !== undefined &&
        drainingSinceMs === undefined && this.#isStoreStable();
      if (isExpired) {
        this.#drain(known, "missing since the store is back", { ageMs: 0 });
        isChanged = true;
      }
      const wasUsable = known.isUsable;
      known.isUsable = nowMs < this.#usableUntilMs(known);
      if (known.isUsable !== wasUsable) isChanged = true;
      if (drainingSinceMs === undefined) continue;
      if (nowMs - drainingSinceMs <= ENDED_INCARNATION_TTL_MS) continue;
      // Its registration would make it a new server.
      if (known.isLeaving && missingSinceMs === undefined) continue;
      this.#known.delete(server);
      isChanged = true;
    }
    this.#logDrainedZones(nowMs);
    if (isChanged) this.#notify();
  }

  /** Logs once for each zone whose servers get no more requests. */
  #logDrainedZones(nowMs: number): void {
    const { evacuations, evacuationGraceMs, log } = this.#options;
    for (const zone of evacuations.zones) {
      const leftMs = evacuations.beganAfterMs(zone)! + evacuationGraceMs -
        nowMs;
      if (this.#drainedZones.has(zone) || leftMs > 0) continue;
      this.#drainedZones.add(zone);
      log.info("Zone is drained: its servers get no requests from this VM.", {
        zone,
      });
    }
  }

  /** Servers of a zone that is back in use may have become cold meanwhile. */
  #handleEvacuationChange(ended: readonly contracts.ZoneId[]): void {
    for (const zone of ended) this.#drainedZones.delete(zone);
    for (const known of this.#known.values()) {
      if (!ended.includes(known.entry.zone)) continue;
      const { warmUpMs = 0 } = this.#options.coldStartOf(known.entry.service) ??
        {};
      this.#markCold(known, warmUpMs);
    }
    this.#notify();
  }

  #markCold(known: KnownServer, leftMs: number): void {
    if (leftMs <= 0) return;
    const nowMs = this.#options.clock.nowMs();
    if (known.coldUntilMs < nowMs) {
      const { server, service } = known.entry;
      this.#options.log.info("Server is cold.", { server, service, leftMs });
    }
    const untilMs = nowMs + leftMs;
    known.coldUntilMs = Math.max(known.coldUntilMs, untilMs);
  }

  /** Whether a missing entry was removed, rather than expired in a store outage. */
  #isStoreStable(): boolean {
    return this.#options.storeCalmMs() > EXPIRED_ENTRY_GRACE_MS;
  }

  #applyEntry(object: contracts.StoredObject, origin: DrainOrigin): void {
    const { adapter, log } = this.#options;
    const decoded = adapter.decodeServer(object.name, object.value);
    if (decoded.isErr()) {
      return this.#rejectEntry(object, decoded.error, origin);
    }
    this.#unreadable.delete(object.name);
    const entry = decoded.value;
    const known = this.#known.get(entry.server);
    const isOlderIncarnation = known !== undefined &&
      known.entry.bornMs > entry.bornMs;
    if (isOlderIncarnation) return;
    const isNew = known === undefined || known.entry.bornMs !== entry.bornMs;
    if (isNew) {
      const { server, service, bornMs, host, port, zone } = entry;
      const fields = { server, service, bornMs, host, port, zone };
      // At info, the first list would be a line for each VM and server.
      if (this.#isListed) log.info("Server seen.", fields);
      else log.debug("Server seen.", fields);
      if (!this.#options.evacuations.isKnown(zone)) {
        log.warn(
          "Server is in a zone that the settings don't name. Add it there.",
          { server, zone },
        );
      }
    }
    const next: KnownServer = isNew
      ? {
        entry,
        drainingSinceMs: undefined,
        graceEndsAtMs: Number.POSITIVE_INFINITY,
        missingSinceMs: undefined,
        coldUntilMs: Number.NEGATIVE_INFINITY,
        isLeaving: false,
        isUsable: true,
      }
      : { ...known, entry, missingSinceMs: undefined };
    this.#known.set(entry.server, next);
    this.#markCold(next, entry.warmUpLeftMs);
    if (entry.isDraining) this.#drain(next, "says that it drains", origin);
    else if (next.drainingSinceMs !== undefined && !next.isLeaving) {
      log.info("Server is back.", { server: entry.server });
      next.drainingSinceMs = undefined;
      next.graceEndsAtMs = Number.POSITIVE_INFINITY;
    }
  }

  /** The entry is missing: removed, or expired during a store outage. */
  #markMissing(known: KnownServer, origin: DrainOrigin): void {
    if (known.drainingSinceMs !== undefined) {
      if (known.isLeaving) known.missingSinceMs ??= this.#options.clock.nowMs();
      return;
    }
    known.missingSinceMs ??= this.#options.clock.nowMs();
    if (!this.#isStoreStable()) return;
    this.#drain(known, "its entry was removed", origin);
  }

  #drain(known: KnownServer, reason: string, origin: DrainOrigin): void {
    if (known.drainingSinceMs !== undefined) return;
    const nowMs = this.#options.clock.nowMs();
    const { ageMs = Number.POSITIVE_INFINITY } = origin;
    known.drainingSinceMs = nowMs;
    known.graceEndsAtMs = Math.min(
      nowMs + DRAINING_GRACE_MS,
      nowMs - ageMs + this.#options.drainBoundMs * DRAIN_GRACE_RATIO,
    );
    const { server, service } = known.entry;
    const fields = { server, service, reason, ...origin };
    this.#options.log.info("Server leaves.", fields);
  }

  /** Logs an unreadable entry once per version; its server starts to drain. */
  #rejectEntry(
    object: contracts.StoredObject,
    error: { readonly field: string; readonly message: string },
    origin: DrainOrigin,
  ): void {
    if (this.#unreadable.get(object.name) === object.version) return;
    this.#unreadable.set(object.name, object.version);
    const { field, message } = error;
    this.#options.log.warn("Ignores an unreadable server entry.", {
      name: object.name,
      field,
      message,
    });
    const known = this.#known.get(
      this.#serverOf(object.name) as contracts.ServerId,
    );
    if (known === undefined) return;
    this.#drain(known, "its entry became unreadable", origin);
  }

  #serverOf(name: string): string {
    return name.slice(this.#options.adapter.prefixes.servers.length);
  }

  #notify(): void {
    this.#listeners.notify();
  }
}
