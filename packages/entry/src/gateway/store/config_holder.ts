/** The configuration in force on this VM; its version never decreases. */
import type * as contracts from "@guavatide/contracts";
import * as routes from "@guavatide/decisions/routes/mod";
import { Listeners } from "../../utils/listeners.ts";
import type { Logger } from "../../utils/log.ts";
import type { ProcessorReport } from "../../utils/request_scheduler.ts";
import type { PlatformAdapter } from "../platform_adapter.ts";
import type { ChangeOrigin } from "./kind_watch.ts";

/** A configuration with its compiled route table. */
export interface ActiveConfig {
  readonly config: contracts.RouteConfig;
  readonly table: routes.RouteTable;
}

/** Options of {@link ConfigHolder}. */
export interface ConfigHolderOptions {
  readonly adapter: Pick<PlatformAdapter, "decodeConfig" | "prefixes">;
  readonly clock: contracts.Clock;
  readonly log: Logger;
  /** How far this VM is behind, for the log. */
  readonly processorReport?: () => ProcessorReport;
}

/** Decodes configurations from the store and puts newer ones in force. */
export class ConfigHolder {
  readonly #options: ConfigHolderOptions;
  readonly #listeners: Listeners;
  #active: ActiveConfig | undefined;

  constructor(options: ConfigHolderOptions) {
    this.#options = options;
    this.#listeners = new Listeners("configuration in force", options.log);
  }

  /** The configuration in force; undefined before the first. */
  get active(): ActiveConfig | undefined {
    return this.#active;
  }

  /** Version in force; -1 before the first. */
  get version(): number {
    return this.#active?.config.version ?? -1;
  }

  /** Configuration of a service; undefined for an unknown one. */
  service(id: contracts.ServiceId): contracts.RoutedService | undefined {
    return this.#active?.config.services.get(id);
  }

  /** Registers a listener that runs after each change. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /**
   * Puts a stored object in force when it is the configuration object and its
   * version is newer. One that can't be decoded is logged and ignored.
   */
  applyObject(object: contracts.StoredObject, origin: ChangeOrigin): void {
    const { adapter, clock, log, processorReport } = this.#options;
    const startMs = clock.nowMs();
    if (object.name !== adapter.prefixes.configObject) return;
    const decoded = adapter.decodeConfig(object.value);
    if (decoded.isErr()) {
      const { field, message } = decoded.error;
      log.warn("Refuses an invalid configuration.", { field, message });
      return;
    }
    const config = decoded.value;
    if (config.version <= this.version) return;
    const { version } = config;
    const before = this.version;
    const table = new routes.RouteTable(config.routes, this.#active?.table);
    this.#active = { config, table };
    log.info("Configuration in force.", {
      version,
      before,
      routes: config.routes.length,
      storeVersion: object.version,
      ...origin,
      compileMs: Math.round(clock.nowMs() - startMs),
      ...processorReport?.(),
    });
    this.#listeners.notify();
  }
}
