/** Range maps in the platform's store, as one object for each service. */
import * as contracts from "@guavatide/contracts";
import type * as grants from "@guavatide/decisions/grants/mod";
import type { Logger } from "../../utils/log.ts";
import type { StoreHealth } from "../store/store_health.ts";

/** Options of {@link RangeMapStore}. */
export interface RangeMapStoreOptions {
  readonly store: contracts.PlatformStore;
  readonly health: StoreHealth;
  readonly log: Logger;
}

/** Options of {@link RangeMapStore.read}. */
export interface RangeMapReadOptions {
  /** Whether the map may be some seconds old; such a read costs a tenth. */
  readonly mayBeStale?: boolean;
}

const PREFIX = "rangemaps/";
/**
 * The store answers in milliseconds, at its slowest in some tenths of a
 * second.
 */
const READ_TIMEOUT_MS = 800;
const WRITE_TIMEOUT_MS = 1_200;

/** Reads and writes range maps. */
export class RangeMapStore {
  readonly #options: RangeMapStoreOptions;

  constructor(options: RangeMapStoreOptions) {
    this.#options = options;
  }

  /**
   * Reads the map of a service. Result: `found`, `absent`, or `unsure` when it
   * can't be read or decoded now.
   */
  async read(
    service: contracts.ServiceId,
    { mayBeStale = false }: RangeMapReadOptions = {},
  ): Promise<grants.MapCallResult> {
    const { store, health } = this.#options;
    const call = health.startCall();
    const result = await store.get(`${PREFIX}${service}`, {
      timeoutMs: READ_TIMEOUT_MS,
      mayBeStale,
    });
    call.noteResult(result);
    if (result.isErr()) {
      return { kind: result.error.kind === "not-found" ? "absent" : "unsure" };
    }
    const { value, version } = result.value;
    const map = this.#decode(service, value);
    if (map === undefined) return { kind: "unsure" };
    return { kind: "found", stored: { map, version } };
  }

  /**
   * Writes a map if the condition holds. Result: `written`, or `unsure` when it
   * may or may not have been written.
   */
  async write(
    map: contracts.RangeMap,
    condition: contracts.WriteCondition,
  ): Promise<grants.MapCallResult> {
    const { store, health, log } = this.#options;
    const call = health.startCall();
    const result = await store.put(
      `${PREFIX}${map.service}`,
      JSON.stringify(map),
      { timeoutMs: WRITE_TIMEOUT_MS, condition },
    );
    call.noteResult(result);
    const { service, revision } = map;
    if (result.isErr()) {
      const { kind, message } = result.error;
      log.warn("Range map not written.", { service, revision, kind, message });
      return { kind: "unsure" };
    }
    log.info("Range map written.", { service, revision });
    return { kind: "written", stored: { map, version: result.value } };
  }

  #decode(
    service: contracts.ServiceId,
    value: string,
  ): contracts.RangeMap | undefined {
    const map = contracts.decodeJson(value, contracts.rangeMapSchema);
    if (map.isOk()) return map.value;
    const { field, message } = map.error;
    this.#options.log.error("Range map is unreadable.", {
      service,
      field,
      message,
    });
    return undefined;
  }
}
