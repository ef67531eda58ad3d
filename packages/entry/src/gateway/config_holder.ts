/** The configuration in force on this VM; it never goes back. */
import type * as contracts from "@guavatide/contracts";
import * as routes from "@guavatide/decisions/routes/mod";
import type { PartLog } from "../utils/log.ts";
import type { PlatformAdapter } from "./platform_adapter.ts";

/** A configuration with its routes ready for use. */
export interface ActiveConfig {
  readonly config: contracts.RouteConfig;
  readonly table: routes.RouteTable;
}

/** Options of {@link ConfigHolder}. */
export interface ConfigHolderOptions {
  readonly adapter: Pick<PlatformAdapter, "decodeConfig" | "prefixes">;
  readonly log: PartLog;
}

/** Takes over configurations as the store tells them. */
export class ConfigHolder {
  readonly #options: ConfigHolderOptions;
  readonly #listeners: (() => void)[] = [];
  #active: ActiveConfig | undefined;

  constructor(options: ConfigHolderOptions) {
    this.#options = options;
  }

  /** The configuration in force; undefined before the first. */
  get active(): ActiveConfig | undefined {
    return this.#active;
  }

  /** Version in force; -1 before the first. */
  get version(): number {
    return this.#active?.config.version ?? -1;
  }

  /** A service as configured; undefined for an unknown one. */
  service(id: contracts.ServiceId): contracts.RoutedService | undefined {
    return this.#active?.config.services.get(id);
  }

  /** Called after each change. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Takes over an object when it is the configuration, and a newer one. */
  applyObject(object: contracts.StoredObject): void {
    const { adapter, log } = this.#options;
    if (object.name !== adapter.prefixes.configObject) return;
    const decoded = adapter.decodeConfig(object.value);
    if (decoded.isErr()) {
      const { field, message } = decoded.error;
      log.warn("Refuses a configuration.", { field, message });
      return;
    }
    const config = decoded.value;
    if (config.version <= this.version) return;
    const { version } = config;
    log.info("Configuration in force.", {
      version,
      before: this.version,
      routes: config.routes.length,
      storeVersion: object.version,
    });
    const table = new routes.RouteTable(config.routes, this.#active?.table);
    this.#active = { config, table };
    for (const listener of this.#listeners) listener();
  }
}
