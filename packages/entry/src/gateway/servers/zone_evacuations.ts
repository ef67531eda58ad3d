/** Evacuated availability zones, whose backend servers must get no requests. */
import type * as contracts from "@guavatide/contracts";
import { Listeners } from "../../utils/listeners.ts";
import type { Logger } from "../../utils/log.ts";
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

/** Tracks the evacuations that operators start and end. */
export class ZoneEvacuations {
  readonly #options: ZoneEvacuationsOptions;
  readonly #sinceMs = new Map<contracts.ZoneId, number>();
  readonly #listeners: Listeners<Parameters<EvacuationListener>>;

  constructor(options: ZoneEvacuationsOptions) {
    this.#options = options;
    this.#listeners = new Listeners("changes of evacuations", options.log);
  }

  /** Registers a listener that runs after each change. */
  onChange(listener: EvacuationListener): void {
    this.#listeners.add(listener);
  }

  /** When this VM learned of a zone's evacuation; undefined if there is none. */
  sinceMs(zone: contracts.ZoneId): number | undefined {
    return this.#sinceMs.get(zone);
  }

  /** Whether a zone is in the settings. */
  isKnown(zone: contracts.ZoneId): boolean {
    return this.#options.zones.has(zone);
  }

  /** Evacuated zones. */
  get zones(): readonly contracts.ZoneId[] {
    return [...this.#sinceMs.keys()];
  }

  /** Applies a full list; evacuations that are not in it have ended. */
  applyList(objects: readonly contracts.StoredObject[]): void {
    const listed = new Set(objects.map(({ name }) => this.#zoneOf(name)));
    const ended = this.zones.filter((zone) => !listed.has(zone));
    for (const zone of listed) this.#begin(zone);
    this.#end(ended);
  }

  /** Applies a batch of changes and notifies listeners once. */
  applyChanges(changes: readonly ObjectChange[]): void {
    const ended: contracts.ZoneId[] = [];
    for (const { name, object } of changes) {
      const zone = this.#zoneOf(name);
      if (object !== undefined) this.#begin(zone);
      else if (zone !== undefined) ended.push(zone);
    }
    this.#end(ended);
  }

  #begin(zone: contracts.ZoneId | undefined): void {
    if (zone === undefined || this.#sinceMs.has(zone)) return;
    const { zones, clock, log } = this.#options;
    if (!this.isKnown(zone)) {
      return log.warn(
        "Ignores an evacuation: no such zone in the settings. Check its name.",
        { zone, known: [...zones].join() },
      );
    }
    this.#sinceMs.set(zone, clock.nowMs());
    log.info("Zone is evacuated.", { zone });
  }

  /** Ends evacuations, then notifies listeners, also of those that began. */
  #end(zones: readonly contracts.ZoneId[]): void {
    const { clock, log } = this.#options;
    const ended = zones.filter((zone) => this.#sinceMs.has(zone));
    for (const zone of ended) {
      const lastedMs = Math.round(clock.nowMs() - this.#sinceMs.get(zone)!);
      this.#sinceMs.delete(zone);
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
