/**
 * Reads the published configuration from one object of the store at an
 * interval and keeps the highest revision seen. The configuration task
 * replaces it.
 */
import type * as contracts from "@guavatide/contracts";
import * as contractsValues from "@guavatide/contracts";
import type { ConfigView } from "../contracts/views.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";

const POLL_INTERVAL_MS = 1_000;
const CALL_TIMEOUT_MS = 800;

/** The configuration in force, from the object `config/thin`. */
export class ThinConfig implements ConfigView {
  readonly #store: contracts.PlatformStore;
  #published: contracts.PublishedConfig | undefined;

  constructor(store: contracts.PlatformStore) {
    this.#store = store;
  }

  get revision(): number {
    return this.#published?.revision ?? 0;
  }

  async start(lifeCycle: LifeCycle): Promise<void> {
    lifeCycle.every(POLL_INTERVAL_MS, () => void this.#poll());
    await this.#poll();
  }

  service(id: contracts.ServiceId): contracts.Service | undefined {
    return this.services().find((service) => service.name === id);
  }

  services(): readonly contracts.Service[] {
    const objects = this.#published?.objects ?? [];
    return objects.filter((object) => object.kind === "service");
  }

  partner(id: contracts.PartnerId): contracts.Partner | undefined {
    const objects = this.#published?.objects ?? [];
    return objects.filter((object) => object.kind === "partner")
      .find((partner) => partner.name === id);
  }

  async #poll(): Promise<void> {
    const read = await this.#store.get("config/thin", {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (read.isErr()) return;
    const parsed = contractsValues.publishedConfigSchema.parse(
      JSON.parse(read.value.value),
    );
    if (parsed.revision > this.revision) this.#published = parsed;
  }
}
