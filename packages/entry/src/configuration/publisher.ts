/**
 * Makes one revision of the whole set current. The set is what the drafts
 * were when their tag was taken; chunks come first, and one conditional
 * update of `config/current` then decides between racing publishers.
 */
import type * as contracts from "@guavatide/contracts";
import * as decisions from "@guavatide/decisions";
import * as neverthrow from "neverthrow";
import * as crypto from "node:crypto";
import type { ConfigReader, ReadConfig } from "./config_reader.ts";
import * as currentConfig from "./current_config.ts";
import type { DraftStore } from "./drafts.ts";
import * as storeWrite from "./store_write.ts";

/** Why a set was not published. */
export type PublishError =
  /** The whole set was checked and something stands against it. */
  | {
    readonly kind: "findings";
    readonly message: string;
    readonly findings: readonly decisions.Finding[];
  }
  /** The drafts are no longer those that the operator has checked. */
  | {
    readonly kind: "drafts-changed";
    readonly message: string;
    readonly tag: string;
  }
  | { readonly kind: "nothing-changed"; readonly message: string }
  /** The operator may not publish these objects. */
  | {
    readonly kind: "forbidden";
    readonly message: string;
    readonly objects: readonly string[];
  }
  /** Another publish came first. */
  | {
    readonly kind: "conflict";
    readonly message: string;
    readonly revision: number;
  }
  /** The store did not say whether the publish took effect. */
  | { readonly kind: "unknown"; readonly message: string }
  | { readonly kind: "unavailable"; readonly message: string }
  | { readonly kind: "refused"; readonly message: string }
  | { readonly kind: "unreadable"; readonly message: string };

/** What a publish would do, or has done. */
export interface PublishPlan {
  readonly changes: readonly decisions.ObjectChange[];
  readonly findings: readonly decisions.Finding[];
  /** Tag of the drafts this was made from. */
  readonly tag: string;
  /** Revision in force by the store's word; 0 before the first publish. */
  readonly currentRevision: number;
  readonly objects: readonly contracts.ConfigObject[];
}

/** Options of {@link Publisher}. */
export interface PublisherOptions {
  readonly vm: contracts.VmId;
  readonly store: contracts.PlatformStore;
  readonly drafts: DraftStore;
  readonly reader: ConfigReader;
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

/** Options of {@link Publisher.publish}. */
export interface PublishOptions {
  readonly operator: string;
  /** Tag of the drafts that the operator has checked. */
  readonly tag: string;
  /** Highest revision known to be in force anywhere. */
  readonly knownRevision: number;
  /** Objects among the changes that the operator may not publish. */
  readonly forbidden: (
    changes: readonly decisions.ObjectChange[],
  ) => readonly string[];
}

type PublishResult<Value> = Promise<neverthrow.Result<Value, PublishError>>;

/** Changed objects named in the history. */
const NAMED_CHANGES = 20;
/** Older revisions whose chunks a publish deletes. */
const DELETED_REVISIONS = 3;

/** Plans and makes publishes. */
export class Publisher {
  readonly #options: PublisherOptions;

  constructor(options: PublisherOptions) {
    this.#options = options;
  }

  /** What a publish of the present drafts would do. Writes nothing. */
  async plan(): PublishResult<PublishPlan> {
    return (await this.#prepare()).map(({ plan }) => plan);
  }

  /** Publishes; returns the configuration that is now in force. */
  async publish(
    options: PublishOptions,
  ): PublishResult<contracts.PublishedConfig> {
    const prepared = await this.#prepare();
    if (prepared.isErr()) return neverthrow.err(prepared.error);
    const { plan, before } = prepared.value;
    const objection = objectionTo(plan, options);
    if (objection !== undefined) return neverthrow.err(objection);
    return await this.#write(plan, before, options);
  }

  async #prepare(): PublishResult<{ plan: PublishPlan; before?: ReadConfig }> {
    // The revision is read before the drafts: a publish that comes between
    // the two then fails the conditional update instead of being overwritten.
    const read = await this.#options.reader.readNewer(0);
    if (read.isErr() && read.error.kind !== "not-found") {
      return neverthrow.err(read.error);
    }
    const before = read.unwrapOr(undefined);
    const drafts = await this.#options.drafts.list();
    if (drafts.isErr()) return neverthrow.err(draftError(drafts.error));
    const objects = decisions.sortObjects(
      drafts.value.drafts.map((draft) => draft.object),
    );
    const plan = {
      changes: decisions.diffSets(before?.config.objects ?? [], objects),
      findings: decisions.checkSet(objects),
      tag: drafts.value.tag,
      currentRevision: before?.config.revision ?? 0,
      objects,
    };
    return neverthrow.ok({ plan, before });
  }

  async #write(
    plan: PublishPlan,
    before: ReadConfig | undefined,
    options: PublishOptions,
  ): PublishResult<contracts.PublishedConfig> {
    const text = JSON.stringify(plan.objects);
    const entry = this.#entryFor(plan, options);
    const history = [...(before?.current.history ?? []), entry]
      .slice(-currentConfig.REMEMBERED_PUBLISHES);
    const encoded = this.#encode(text, history);
    const chunked = await this.#writeChunks(encoded.entry, encoded.chunks);
    if (chunked.isErr()) return neverthrow.err(chunked.error);
    const written = await storeWrite.writeResolved(
      this.#options.store,
      currentConfig.CURRENT_NAME,
      {
        ...this.#options,
        value: encoded.value,
        condition: before === undefined
          ? { kind: "absent" }
          : { kind: "version", version: before.version },
        isOurs: (value) => hasNonce(value, entry.nonce),
      },
    );
    if (written.isErr()) {
      return neverthrow.err(await this.#failed(written.error, encoded.entry));
    }
    await this.#deleteOldChunks(history);
    const { revision, publishedBy, publishedAt } = entry;
    const objects = [...plan.objects];
    return neverthrow.ok({ revision, publishedBy, publishedAt, objects });
  }

  #entryFor(
    plan: PublishPlan,
    options: PublishOptions,
  ): currentConfig.PublishEntry {
    const names = plan.changes.map((each) => `${each.change} ${each.object}`);
    return {
      // Above what any entry VM has in force: a store that was restored from
      // an old copy would otherwise publish a revision that nobody applies.
      revision: Math.max(plan.currentRevision, options.knownRevision) + 1,
      publishedBy: options.operator,
      publishedAt: this.#options.now(),
      nonce: crypto.randomUUID(),
      changes: names.slice(0, NAMED_CHANGES),
      changeCount: names.length,
      chunks: 0,
    };
  }

  #encode(
    text: string,
    history: readonly currentConfig.PublishEntry[],
  ): { value: string; chunks: string[]; entry: currentConfig.PublishEntry } {
    const limitBytes = this.#options.valueLimitBytes;
    const head = {
      writer: this.#options.vm,
      checksum: currentConfig.checksumOf(text),
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

  async #writeChunks(
    entry: currentConfig.PublishEntry,
    chunks: readonly string[],
  ): PublishResult<void> {
    for (const [index, value] of chunks.entries()) {
      const written = await storeWrite.writeResolved(
        this.#options.store,
        currentConfig.chunkName(entry, index),
        {
          ...this.#options,
          value,
          // The name holds this publish's nonce, so nobody else writes it.
          condition: { kind: "any" },
          isOurs: (stored) => stored === value,
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
  ): Promise<PublishError> {
    if (error.kind === "unknown") {
      const message = "The store did not say whether revision " +
        `${entry.revision} was published: look at the history before you ` +
        "publish again";
      return { kind: "unknown", message };
    }
    await this.#deleteChunks(entry);
    if (error.kind === "refused") return error;
    return conflictOf(error.current);
  }

  async #deleteOldChunks(
    history: readonly currentConfig.PublishEntry[],
  ): Promise<void> {
    // The one before stays for a reader that has just read its name.
    const old = history.slice(0, -2).slice(-DELETED_REVISIONS);
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

function objectionTo(
  plan: PublishPlan,
  options: PublishOptions,
): PublishError | undefined {
  if (plan.tag !== options.tag) {
    const message = "The drafts changed since they were checked: look at the " +
      `diff again and publish with its tag "${plan.tag}"`;
    return { kind: "drafts-changed", message, tag: plan.tag };
  }
  if (plan.findings.length > 0) {
    const message = `${plan.findings.length} findings stand against the ` +
      "set: follow the remedy of each, then publish";
    return { kind: "findings", message, findings: plan.findings };
  }
  if (plan.changes.length === 0) {
    const message =
      `Revision ${plan.currentRevision} holds this set already: ` +
      "edit something first";
    return { kind: "nothing-changed", message };
  }
  const objects = options.forbidden(plan.changes);
  if (objects.length === 0) return undefined;
  const message =
    `You may not publish ${objects.join(", ")}: ask an operator ` +
    "with rights for those partners";
  return { kind: "forbidden", message, objects };
}

function hasNonce(value: string, nonce: string): boolean {
  return currentConfig.parseCurrent(value).match(
    (current) => current.history.some((entry) => entry.nonce === nonce),
    () => false,
  );
}

function conflictOf(current: contracts.StoredObject | undefined): PublishError {
  const parsed = current === undefined
    ? undefined
    : currentConfig.parseCurrent(current.value).unwrapOr(undefined);
  if (parsed === undefined) {
    const message = "Another publish came first: look at the diff again";
    return { kind: "conflict", message, revision: 0 };
  }
  const { revision, publishedBy } = currentConfig.latestEntry(parsed);
  const message = `${publishedBy} published revision ${revision} first: look ` +
    "at the diff again, then publish";
  return { kind: "conflict", message, revision };
}

function draftError(
  error: { readonly kind: string; readonly message: string },
): PublishError {
  const kind = error.kind === "unreadable" ? "unreadable" : "unavailable";
  return { kind, message: error.message };
}
