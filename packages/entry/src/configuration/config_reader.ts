/** Reads the published configuration from the platform's store. */
import type * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import * as currentConfig from "./current_config.ts";

/** What a read found. */
export interface StoredConfig {
  readonly config: contracts.PublishedConfig;
  readonly current: currentConfig.CurrentConfig;
  /** Store version of the object that names the revision. */
  readonly version: string;
}

/** Options of {@link ConfigReader}. */
export interface ConfigReaderOptions {
  readonly store: contracts.PlatformStore;
  /** Time for one call to the store. */
  readonly callTimeoutMs: number;
}

type ReadResult<Value> = Promise<
  neverthrow.Result<Value, currentConfig.ConfigReadError>
>;

/** Reads what is in force by the store's word. */
export class ConfigReader {
  readonly #options: ConfigReaderOptions;

  constructor(options: ConfigReaderOptions) {
    this.#options = options;
  }

  /**
   * Reads the configuration when it is newer than `aboveRevision`, otherwise
   * answers undefined without fetching chunks.
   */
  async readNewer(aboveRevision: number): ReadResult<StoredConfig | undefined> {
    const stored = await this.#options.store.get(currentConfig.CURRENT_NAME, {
      timeoutMs: this.#options.callTimeoutMs,
    });
    if (stored.isErr()) return neverthrow.err(toConfigReadError(stored.error));
    return await this.decodeNewer(stored.value, aboveRevision);
  }

  /** The same for an object that a watch or a list brought. */
  async decodeNewer(
    stored: contracts.StoredObject,
    aboveRevision: number,
  ): ReadResult<StoredConfig | undefined> {
    const parsed = currentConfig.parseCurrentConfig(stored.value);
    if (parsed.isErr()) return neverthrow.err(parsed.error);
    const current = parsed.value;
    const { revision } = currentConfig.latestEntry(current);
    if (revision <= aboveRevision) return neverthrow.ok(undefined);
    const text = await this.#textOf(current);
    return text.andThen((whole) => currentConfig.decodeConfig(current, whole))
      .map((config) => ({ config, current, version: stored.version }));
  }

  async #textOf(current: currentConfig.CurrentConfig): ReadResult<string> {
    if (current.text !== undefined) return neverthrow.ok(current.text);
    const entry = currentConfig.latestEntry(current);
    const values: string[] = [];
    for (let index = 0; index < entry.chunks; index++) {
      const name = currentConfig.chunkName(entry, index);
      const chunk = await this.#options.store.get(name, {
        timeoutMs: this.#options.callTimeoutMs,
      });
      if (chunk.isErr()) return neverthrow.err(chunkError(chunk.error));
      values.push(chunk.value.value);
    }
    return currentConfig.joinChunks(values);
  }
}

function toConfigReadError(
  error: contracts.StoreError,
): currentConfig.ConfigReadError {
  if (error.kind === "not-found") {
    const message = "Nothing has been published yet: publish a set first";
    return { kind: "not-found", message };
  }
  const message = `${error.message}: try again when the store answers`;
  return { kind: "unavailable", message };
}

/** A chunk that is gone belongs to a set that was replaced meanwhile. */
function chunkError(
  error: contracts.StoreError,
): currentConfig.ConfigReadError {
  const message = `A part of the configuration was not read ` +
    `(${error.message}): it is read again shortly`;
  return { kind: "unavailable", message };
}
