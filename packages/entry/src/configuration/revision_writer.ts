/**
 * Writes one revision of the configuration: chunks first, then the one
 * conditional update of `config/current` that decides between racing writers.
 */
import type * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import * as crypto from "node:crypto";
import type { StoredConfig } from "./config_reader.ts";
import * as currentConfig from "./current_config.ts";
import * as storeWrite from "./store_write.ts";

/** Why a revision was not written. */
export type RevisionError =
  /** Another revision came first. */
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
  /** Time for the deciding write, with all its attempts. */
  readonly timeoutMs: number;
  /** Time for one call to the store. */
  readonly callTimeoutMs: number;
  /** Largest value the store holds. */
  readonly valueLimitBytes: number;
  /** Wall-clock time as ISO 8601. */
  readonly now: () => string;
}

/** What a new revision holds. */
export interface RevisionContent {
  readonly operator: string;
  /** Highest revision known to be in force anywhere. */
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

/** Changes named in the history. */
const MAX_LISTED_CHANGES = 20;
/** Older revisions whose chunks each write deletes. */
const MAX_REVISIONS_CLEANED_UP = 3;

/** Writes revisions. */
export class RevisionWriter {
  readonly #options: RevisionWriterOptions;

  constructor(options: RevisionWriterOptions) {
    this.#options = options;
  }

  /** Writes the revision after `before`; returns what is then in force. */
  async write(
    before: StoredConfig | undefined,
    content: RevisionContent,
  ): RevisionResult<contracts.PublishedConfig> {
    const history = [
      ...(before?.current.history ?? []),
      this.#entryFor(before, content),
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
        condition: before === undefined
          ? { kind: "absent" }
          : { kind: "version", version: before.version },
        isOwnWrite: (value) => hasNonce(value, entry.nonce),
      },
    );
    if (written.isErr()) {
      return neverthrow.err(await this.#failed(written.error, entry));
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

  #entryFor(
    before: StoredConfig | undefined,
    content: RevisionContent,
  ): currentConfig.PublishEntry {
    const storedRevision = before?.config.revision ?? 0;
    return {
      // Above what any entry VM has in force: a store that was restored from
      // an old copy would otherwise publish a revision that nobody applies.
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
          // The name holds this write's nonce, so nobody else uses it.
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

  async #failed(
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
    // The one before stays for a reader that has just read its name.
    const old = history.slice(0, -2).slice(-MAX_REVISIONS_CLEANED_UP);
    for (const entry of old) await this.#deleteChunks(entry);
  }

  /** Best effort: a chunk left behind is never read, it only takes room. */
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
