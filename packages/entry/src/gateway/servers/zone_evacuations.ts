/** Evacuated availability zones, whose backend servers must get no requests. */
import type * as contracts from "@guavatide/contracts";
import { Listeners } from "../../utils/listeners.ts";
import type { Logger } from "../../utils/log.ts";
import type { ChangeOrigin } from "../store/kind_watch.ts";
import type { ObjectChange } from "../store/object_table.ts";
import type { PlatformAdapter } from "../platform_adapter.ts";

/** Options of {@link ZoneEvacuations}. */
export interface ZoneEvacuationsOptions {
  readonly adapter: Pick<PlatformAdapter, "decodeEvacuation">;
  /** Availability zones that the settings name. */
  readonly zones: ReadonlySet<contracts.ZoneId>;
  readonly clock: contracts.Clock;
  readonly log: Logger;
}

/** Receives the zones whose evacuation has ended; empty when none has. */
export type EvacuationListener = (ended: readonly contracts.ZoneId[]) => void;

interface Evacuation {
  /** The earliest time at which it can have begun. */
  readonly beganAfterMs: number;
  readonly learnedAtMs: number;
}

/** Tracks the evacuations that operators start and end. */
export class ZoneEvacuations {
  readonly #options: ZoneEvacuationsOptions;
  readonly #evacuations = new Map<contracts.ZoneId, Evacuation>();
  readonly #listeners: Listeners<Parameters<EvacuationListener>>;

  constructor(options: ZoneEvacuationsOptions) {
    this.#options = options;
    this.#listeners = new Listeners("changes of evacuations", options.log);
  }

  /** Registers a listener that runs after each change. */
  onChange(listener: EvacuationListener): void {
    this.#listeners.add(listener);
  }

  /**
   * The earliest time at which a zone's evacuation can have begun; undefined if
   * there is none.
   */
  beganAfterMs(zone: contracts.ZoneId): number | undefined {
    return this.#evacuations.get(zone)?.beganAfterMs;
  }

  /** Whether a zone is in the settings. */
  isKnown(zone: contracts.ZoneId): boolean {
    return this.#options.zones.has(zone);
  }

  /** Evacuated zones. */
  get zones(): readonly contracts.ZoneId[] {
    return [...this.#evacuations.keys()];
  }

  /** Applies a full list; evacuations that are not in it have ended. */
  applyList(
    objects: readonly contracts.StoredObject[],
    origin: Pick<ChangeOrigin, "ageMs">,
  ): void {
    const listed = new Set(objects.map(({ name }) => this.#zoneOf(name)));
    const ended = this.zones.filter((zone) => !listed.has(zone));
    for (const zone of listed) this.#begin(zone, origin);
    this.#end(ended);
  }

  /** Applies a batch of changes and notifies listeners once. */
  applyChanges(
    changes: readonly ObjectChange[],
    origin: Pick<ChangeOrigin, "ageMs">,
  ): void {
    const ended: contracts.ZoneId[] = [];
    for (const { name, object } of changes) {
      const zone = this.#zoneOf(name);
      if (object !== undefined) this.#begin(zone, origin);
      else if (zone !== undefined) ended.push(zone);
    }
    this.#end(ended);
  }

  #begin(
    zone: contracts.ZoneId | undefined,
    { ageMs }: Pick<ChangeOrigin, "ageMs">,
  ): void {
    if (zone === undefined || this.#evacuations.has(zone)) return;
    const { zones, clock, log } = this.#options;
    if (!this.isKnown(zone)) {
      return log.warn(
        "Ignores an evacuation: no such zone in the settings. Check its name.",
        { zone, known: [...zones].join() },
      );
    }
    const learnedAtMs = clock.nowMs();
    this.#evacuations.set(zone, {
      beganAfterMs: learnedAtMs - (ageMs ?? Number.POSITIVE_INFINITY),
      learnedAtMs,
    });
    log.info("Zone is evacuated.", { zone, ageMs });
  }

  /** Ends evacuations, then notifies listeners, also of those that began. */
  #end(zones: readonly contracts.ZoneId[]): void {
    const { clock, log } = this.#options;
    const ended = zones.filter((zone) => this.#evacuations.has(zone));
    for (const zone of ended) {
      const { learnedAtMs } = this.#evacuations.get(zone)!;
      const lastedMs = Math.round(clock.nowMs() - learnedAtMs);
      this.#evacuations.delete(zone);
      log.info("Evacuation of a zone has ended.", { zone, lastedMs });
    }
    this.#listeners.notify(ended);
  }

  #zoneOf(name: string): contracts.ZoneId | undefined {
    const { adapter, log } = this.#options;
    const zone = adapter.decodeEvacuation(name);
    if (zone.isOk()) return zone.value;
    const { field, message } = zone.error;
    log.warn("Ignores an evacuation.", { name, field, message });
    return undefined;
  }
}
