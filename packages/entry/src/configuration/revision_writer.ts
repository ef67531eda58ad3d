/**
 * Writes one revision of the configuration: first the chunks, then the
 * conditional update of `config/current` that only one of several concurrent
 * writers can win.
 */
import type * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import * as crypto from "node:crypto";
import type { StoredConfig } from "./config_reader.ts";
import * as currentConfig from "./current_config.ts";
import * as storeWrite from "./store_write.ts";

/** Why a revision was not written. */
export type RevisionError =
  /** Another revision was written first. */
  | {
    readonly kind: "conflict";
    readonly message: string;
    readonly revision: number;
  }
  /** The store did not say whether the revision took effect. */
  | { readonly kind: "unknown"; readonly message: string }
  | { readonly kind: "unavailable"; readonly message: string }
  | { readonly kind: "refused"; readonly message: string };

/** Options of {@link RevisionWriter}. */
export interface RevisionWriterOptions {
  readonly vm: contracts.VmId;
  readonly store: contracts.PlatformStore;
  readonly clock: contracts.Clock;
  /** Timeout of one conditional write, including its retries. */
  readonly timeoutMs: number;
  /** Timeout of one store call. */
  readonly callTimeoutMs: number;
  /** Maximum size of a stored value. */
  readonly valueLimitBytes: number;
  /** Current wall-clock time as ISO 8601. */
  readonly now: () => string;
}

/** Content of a new revision. */
export interface RevisionContent {
  readonly operator: string;
  /** Highest revision known to be in force at any entry VM. */
  readonly knownRevision: number;
  /** Changes for the history, as `change object`. */
  readonly changes: readonly string[];
  readonly objects: readonly contracts.ConfigObject[];
  readonly drains: readonly contracts.Drain[];
}

type RevisionResult<Value> = Promise<neverthrow.Result<Value, RevisionError>>;

interface EncodedRevision {
  /** Value of `config/current`. */
  readonly value: string;
  readonly chunks: readonly string[];
  readonly entry: currentConfig.PublishEntry;
}

/** Maximum number of changes listed in a history entry. */
const MAX_LISTED_CHANGES = 20;
/** Maximum number of old revisions whose chunks one write deletes. */
const MAX_REVISIONS_CLEANED_UP = 3;

/** Writes new revisions to the platform store. */
export class RevisionWriter {
  readonly #options: RevisionWriterOptions;

  constructor(options: RevisionWriterOptions) {
    this.#options = options;
  }

  /** Writes the revision after `previous`. Returns the configuration in force. */
  async write(
    previous: StoredConfig | undefined,
    content: RevisionContent,
  ): RevisionResult<contracts.PublishedConfig> {
    const history = [
      ...(previous?.current.history ?? []),
      this.#createEntry(previous, content),
    ].slice(-currentConfig.MAX_HISTORY_ENTRIES);
    const encoded = this.#encode(content, history);
    const { entry } = encoded;
    const chunked = await this.#writeChunks(encoded);
    if (chunked.isErr()) return neverthrow.err(chunked.error);
    const written = await storeWrite.writeWithReadBack(
      this.#options.store,
      currentConfig.CURRENT_NAME,
      {
        ...this.#options,
        value: encoded.value,
        condition: previous === undefined
          ? { kind: "absent" }
          : { kind: "version", version: previous.version },
        isOwnWrite: (value) => hasNonce(value, entry.nonce),
      },
    );
    if (written.isErr()) {
      return neverthrow.err(await this.#toRevisionError(written.error, entry));
    }
    await this.#deleteOldChunks(history);
    const { revision, publishedBy, publishedAt } = entry;
    const objects = [...content.objects];
    const drains = [...content.drains];
    return neverthrow.ok({
      revision,
      publishedBy,
      publishedAt,
      objects,
      drains,
    });
  }

  #createEntry(
    previous: StoredConfig | undefined,
    content: RevisionContent,
  ): currentConfig.PublishEntry {
    const storedRevision = previous?.config.revision ?? 0;
    return {
      // Exceeds every revision in force: after the store was restored from an
      // old backup, entry VMs would ignore a lower revision.
      revision: Math.max(storedRevision, content.knownRevision) + 1,
      publishedBy: content.operator,
      publishedAt: this.#options.now(),
      nonce: crypto.randomUUID(),
      changes: content.changes.slice(0, MAX_LISTED_CHANGES),
      changeCount: content.changes.length,
      chunks: 0,
    };
  }

  #encode(
    content: RevisionContent,
    history: readonly currentConfig.PublishEntry[],
  ): EncodedRevision {
    const limitBytes = this.#options.valueLimitBytes;
    const text = JSON.stringify(content.objects);
    const head = {
      writer: this.#options.vm,
      checksum: currentConfig.checksumOf(text),
      drains: content.drains,
    };
    const entry = history.at(-1)!;
    const inline = JSON.stringify({ ...head, text, history });
    if (Buffer.byteLength(inline) <= limitBytes) {
      return { value: inline, chunks: [], entry };
    }
    const chunks = currentConfig.splitText(text, limitBytes);
    const chunkedEntry = { ...entry, chunks: chunks.length };
    const value = JSON.stringify({
      ...head,
      history: [...history.slice(0, -1), chunkedEntry],
    });
    return { value, chunks, entry: chunkedEntry };
  }

  async #writeChunks(encoded: EncodedRevision): RevisionResult<void> {
    for (const [index, value] of encoded.chunks.entries()) {
      const written = await storeWrite.writeWithReadBack(
        this.#options.store,
        currentConfig.chunkName(encoded.entry, index),
        {
          ...this.#options,
          value,
          // The name contains this write's nonce, so no other writer uses it.
          condition: { kind: "any" },
          isOwnWrite: (stored) => stored === value,
        },
      );
      if (written.isErr()) {
        const message = "Nothing was published, as the store did not take " +
          `the whole set (${written.error.message}): publish again`;
        return neverthrow.err({ kind: "unavailable", message });
      }
    }
    return neverthrow.ok(undefined);
  }

  async #toRevisionError(
    error: storeWrite.WriteFailure,
    entry: currentConfig.PublishEntry,
  ): Promise<RevisionError> {
    if (error.kind === "unknown") {
      const message = "The store did not say whether revision " +
        `${entry.revision} was published: look at the history before you ` +
        "publish again";
      return { kind: "unknown", message };
    }
    await this.#deleteChunks(entry);
    if (error.kind === "refused") return error;
    return conflictError(error.current);
  }

  async #deleteOldChunks(
    history: readonly currentConfig.PublishEntry[],
  ): Promise<void> {
    // Keep the previous revision for a reader that has just read its name.
    const oldEntries = history.slice(0, -2).slice(-MAX_REVISIONS_CLEANED_UP);
    for (const entry of oldEntries) await this.#deleteChunks(entry);
  }

  /** Best effort: a leftover chunk is never read and only uses space. */
  async #deleteChunks(entry: currentConfig.PublishEntry): Promise<void> {
    for (let index = 0; index < entry.chunks; index++) {
      await this.#options.store.delete(currentConfig.chunkName(entry, index), {
        condition: { kind: "any" },
        timeoutMs: this.#options.callTimeoutMs,
      });
    }
  }
}

function hasNonce(value: string, nonce: string): boolean {
  return currentConfig.parseCurrentConfig(value).match(
    (current) => current.history.some((entry) => entry.nonce === nonce),
    () => false,
  );
}

function conflictError(
  current: contracts.StoredObject | undefined,
): RevisionError {
  const parsed = current === undefined
    ? undefined
    : currentConfig.parseCurrentConfig(current.value).unwrapOr(undefined);
  if (parsed === undefined) {
    const message = "Another publish came first: look at the diff again";
    return { kind: "conflict", message, revision: 0 };
  }
  const { revision, publishedBy } = currentConfig.latestEntry(parsed);
  const message = `${publishedBy} published revision ${revision} first: look ` +
    "at the diff again, then publish";
  return { kind: "conflict", message, revision };
}
