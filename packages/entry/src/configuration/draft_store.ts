/**
 * Drafts: configuration objects that operators edit. Each is one object of the
 * platform store and is updated on condition of its version. A draft has no
 * effect on traffic until it's published.
 */
import * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import * as crypto from "node:crypto";
import * as z from "zod";
import * as storeWrite from "./store_write.ts";

/** Name prefix of all drafts in the platform store. */
export const DRAFT_PREFIX = "drafts/";

/** Maximum number of edits kept in a draft, the newest last. */
const MAX_EDITS = 20;

const editSchema = z.strictObject({
  /** Unique to each edit, to recognize a write whose reply was lost. */
  nonce: z.string().min(1),
  operator: z.string().min(1),
  /** Wall-clock time, ISO 8601, for display only. */
  at: z.string().min(1),
});
/** Who edited a draft, and when. */
export type DraftEdit = z.infer<typeof editSchema>;

const storedDraftSchema = z.strictObject({
  object: contracts.configObjectSchema,
  edits: z.array(editSchema).min(1),
});

/** A draft as read from the store. */
export interface Draft {
  readonly object: contracts.ConfigObject;
  /** Store version, the condition of the next edit. */
  readonly version: string;
  readonly lastEdit: DraftEdit;
}

/** Identifies a draft. */
export interface DraftName {
  readonly kind: contracts.ConfigObject["kind"];
  readonly name: string;
}

/** All drafts at one moment. */
export interface DraftSet {
  readonly drafts: readonly Draft[];
  /** Changes with every edit. A publish names the tag that was checked. */
  readonly tag: string;
}

/** Why an operation on drafts failed. */
export type DraftError =
  | { readonly kind: "not-found"; readonly message: string }
  | { readonly kind: "exists"; readonly message: string }
  /** Another edit came first. `current` is the draft as it is now. */
  | {
    readonly kind: "conflict";
    readonly message: string;
    readonly current?: Draft;
  }
  | { readonly kind: "refused"; readonly message: string }
  /** The store did not say whether the edit took effect. */
  | { readonly kind: "unknown"; readonly message: string }
  | { readonly kind: "unavailable"; readonly message: string }
  /** The stored object of this name is not a valid draft. */
  | { readonly kind: "unreadable"; readonly message: string };

/** Options of {@link DraftStore}. */
export interface DraftStoreOptions {
  readonly store: contracts.PlatformStore;
  readonly clock: contracts.Clock;
  /** Timeout of one edit, including its retries. */
  readonly timeoutMs: number;
  /** Timeout of one store call. */
  readonly callTimeoutMs: number;
  /** Current wall-clock time as ISO 8601. */
  readonly now: () => string;
}

/** Options of {@link DraftStore.replace}. */
export interface ReplaceOptions {
  readonly operator: string;
  /** The version that the operator has edited. */
  readonly version: string;
}

type DraftResult<Value> = Promise<neverthrow.Result<Value, DraftError>>;

/** Reads and edits drafts. */
export class DraftStore {
  readonly #options: DraftStoreOptions;

  constructor(options: DraftStoreOptions) {
    this.#options = options;
  }

  /** Returns all drafts, sorted by name. */
  async list(): DraftResult<DraftSet> {
    const listed = await this.#options.store.list(DRAFT_PREFIX, {
      timeoutMs: this.#options.callTimeoutMs,
    });
    if (listed.isErr()) return neverthrow.err(toDraftError(listed.error));
    const stored = [...listed.value.objects]
      .sort((a, b) => a.name < b.name ? -1 : 1);
    return neverthrow.Result.combine(stored.map(parseDraft))
      .map((drafts) => ({ drafts, tag: tagOf(stored) }));
  }

  /** Returns one draft. */
  async get(name: DraftName): DraftResult<Draft> {
    const read = await this.#options.store.get(objectName(name), {
      timeoutMs: this.#options.callTimeoutMs,
    });
    if (read.isErr()) return neverthrow.err(toDraftError(read.error));
    return parseDraft(read.value);
  }

  /** Creates a draft. Fails with `exists` if there is one of that name. */
  async create(
    object: contracts.ConfigObject,
    operator: string,
  ): DraftResult<Draft> {
    const created = await this.#write(object, operator, {
      condition: { kind: "absent" },
      edits: [],
    });
    return created.mapErr((error) =>
      error.kind === "conflict" && error.current !== undefined
        ? { kind: "exists", message: existsMessage(object) }
        : error
    );
  }

  /** Replaces a draft. Fails with `conflict` if its version differs. */
  async replace(
    object: contracts.ConfigObject,
    options: ReplaceOptions,
  ): DraftResult<Draft> {
    const read = await this.#options.store.get(objectName(object), {
      timeoutMs: this.#options.callTimeoutMs,
    });
    if (read.isErr()) return neverthrow.err(toDraftError(read.error));
    if (read.value.version !== options.version) {
      return neverthrow.err(conflictOf(object, read.value));
    }
    return await this.#write(object, options.operator, {
      condition: { kind: "version", version: options.version },
      edits: parseEdits(read.value.value),
    });
  }

  /** Deletes a draft. Fails with `conflict` if its version differs. */
  async remove(name: DraftName, version: string): DraftResult<void> {
    const deleted = await storeWrite.deleteWithReadBack(
      this.#options.store,
      objectName(name),
      { condition: { kind: "version", version }, ...this.#options },
    );
    return deleted.mapErr((error) => this.#draftError(name, error));
  }

  async #write(
    object: contracts.ConfigObject,
    operator: string,
    { condition, edits }: {
      readonly condition: contracts.WriteCondition;
      readonly edits: readonly DraftEdit[];
    },
  ): DraftResult<Draft> {
    const edit = {
      nonce: crypto.randomUUID(),
      operator,
      at: this.#options.now(),
    };
    const kept = [...edits, edit].slice(-MAX_EDITS);
    const written = await storeWrite.writeWithReadBack(
      this.#options.store,
      objectName(object),
      {
        ...this.#options,
        value: JSON.stringify({ object, edits: kept }),
        condition,
        isOwnWrite: (value) =>
          parseEdits(value).some((each) => each.nonce === edit.nonce),
      },
    );
    return written
      .map((version) => ({ object, version, lastEdit: edit }))
      .mapErr((error) => this.#draftError(object, error));
  }

  #draftError(name: DraftName, error: storeWrite.WriteFailure): DraftError {
    if (error.kind !== "conflict") return error;
    if (error.current !== undefined) return conflictOf(name, error.current);
    return { kind: "not-found", message: error.message };
  }
}

function objectName(name: DraftName): string {
  return `${DRAFT_PREFIX}${name.kind}/${name.name}`;
}

function parseDraft(
  stored: contracts.StoredObject,
): neverthrow.Result<Draft, DraftError> {
  const parsed = storedDraftSchema.safeParse(
    contracts.parseJson(stored.value).unwrapOr(undefined),
  );
  if (!parsed.success) {
    const message = `"${stored.name}" in the platform's store is no draft: ` +
      "delete it there, or run the release that wrote it";
    return neverthrow.err({ kind: "unreadable", message });
  }
  const { object, edits } = parsed.data;
  return neverthrow.ok({
    object,
    version: stored.version,
    lastEdit: edits.at(-1)!,
  });
}

function parseEdits(value: string): readonly DraftEdit[] {
  const parsed = storedDraftSchema.safeParse(
    contracts.parseJson(value).unwrapOr(undefined),
  );
  return parsed.success ? parsed.data.edits : [];
}

function conflictOf(
  name: DraftName,
  stored: contracts.StoredObject,
): DraftError {
  const current = parseDraft(stored).unwrapOr(undefined);
  const by = current === undefined ? "" : ` by ${current.lastEdit.operator}`;
  const message = `${name.kind} "${name.name}" was changed${by} and now has ` +
    `version "${stored.version}": get it, and redo the edit on that version`;
  return { kind: "conflict", message, current };
}

function existsMessage(name: DraftName): string {
  return `${name.kind} "${name.name}" is already there: edit it instead`;
}

function toDraftError(error: contracts.StoreError): DraftError {
  if (error.kind === "not-found") {
    const message = "There is no such draft: list the drafts for their names";
    return { kind: "not-found", message };
  }
  const message = `${error.message}: try again when the store answers`;
  return { kind: "unavailable", message };
}

function tagOf(stored: readonly contracts.StoredObject[]): string {
  const text = stored.map((each) => `${each.name} ${each.version}\n`).join("");
  return crypto.createHash("sha256").update(text).digest("hex").slice(0, 32);
}
