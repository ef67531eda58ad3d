/**
 * Publishes the drafts as a whole set, and drains or returns single servers.
 * A publish names the tag of the drafts that its operator has checked.
 */
import type * as contracts from "@guavatide/contracts";
import * as decisions from "@guavatide/decisions";
import * as neverthrow from "neverthrow";
import type { ConfigReader, StoredConfig } from "./config_reader.ts";
import * as currentConfig from "./current_config.ts";
import type { DraftStore } from "./draft_store.ts";
import * as revisionWriter from "./revision_writer.ts";

/** Why a set was not published. */
export type PublishError =
  | revisionWriter.RevisionError
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
  /** Nothing has been published yet. */
  | { readonly kind: "not-found"; readonly message: string }
  | { readonly kind: "unreadable"; readonly message: string };

/** What a publish would do. */
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
export interface PublisherOptions extends revisionWriter.RevisionWriterOptions {
  readonly drafts: DraftStore;
  readonly reader: ConfigReader;
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

/** Options of {@link Publisher.setDrain}. */
export interface SetDrainOptions {
  readonly operator: string;
  readonly server: contracts.ServerId;
  /** True drains the server, false returns it to service. */
  readonly isDrained: boolean;
  readonly reason: string;
  readonly knownRevision: number;
}

type PublishResult<Value> = Promise<neverthrow.Result<Value, PublishError>>;

/** Times that a drain is tried when publishes race with it. */
const DRAIN_ATTEMPTS = 4;

/** Plans and makes publishes. */
export class Publisher {
  readonly #options: PublisherOptions;
  readonly #writer: revisionWriter.RevisionWriter;

  constructor(options: PublisherOptions) {
    this.#options = options;
    this.#writer = new revisionWriter.RevisionWriter(options);
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
    const objection = findRejection(plan, options);
    if (objection !== undefined) return neverthrow.err(objection);
    return await this.#writer.write(before, {
      operator: options.operator,
      knownRevision: options.knownRevision,
      changes: plan.changes.map((each) => `${each.change} ${each.object}`),
      objects: plan.objects,
      drains: before?.config.drains ?? [],
    });
  }

  /**
   * Drains a server or returns it to service, on top of the set in force.
   * The drain is part of the next revision, so that it reaches every entry VM
   * by the same way, lasts, and never reverts.
   */
  async setDrain(
    options: SetDrainOptions,
  ): PublishResult<contracts.PublishedConfig> {
    for (let attempt = 1;; attempt++) {
      const before = await this.#readCurrent();
      if (before.isErr()) return neverthrow.err(before.error);
      if (before.value === undefined) return neverthrow.err(nothingPublished());
      const drains = before.value.config.drains ?? [];
      const isDrained = drains.some((each) => each.server === options.server);
      if (isDrained === options.isDrained) {
        return neverthrow.ok(before.value.config);
      }
      const written = await this.#writer.write(before.value, {
        operator: options.operator,
        knownRevision: options.knownRevision,
        changes: [describeDrain(options)],
        objects: before.value.config.objects,
        drains: this.#drainsWith(drains, options),
      });
      const lost = written.isErr() && written.error.kind === "conflict";
      if (!lost || attempt === DRAIN_ATTEMPTS) return written;
    }
  }

  /** Past publishes and drains, the newest last. */
  async history(): PublishResult<readonly currentConfig.PublishEntry[]> {
    const read = await this.#readCurrent();
    return read.map((found) => found?.current.history ?? []);
  }

  #drainsWith(
    drains: readonly contracts.Drain[],
    { server, operator, reason, isDrained }: SetDrainOptions,
  ): contracts.Drain[] {
    const others = drains.filter((each) => each.server !== server);
    if (!isDrained) return others;
    return [...others, { server, operator, reason, at: this.#options.now() }];
  }

  /** The set in force by the store's word; undefined before the first. */
  async #readCurrent(): PublishResult<StoredConfig | undefined> {
    const read = await this.#options.reader.readNewer(0);
    if (read.isOk()) return neverthrow.ok(read.value);
    if (read.error.kind === "not-found") return neverthrow.ok(undefined);
    return neverthrow.err(read.error);
  }

  async #prepare(): PublishResult<
    { plan: PublishPlan; before?: StoredConfig }
  > {
    // The revision is read before the drafts: a publish that comes between
    // the two then fails the conditional update instead of being overwritten.
    const read = await this.#readCurrent();
    if (read.isErr()) return neverthrow.err(read.error);
    const before = read.value;
    const drafts = await this.#options.drafts.list();
    if (drafts.isErr()) return neverthrow.err(toPublishError(drafts.error));
    const objects = decisions.sortObjects(
      drafts.value.drafts.map((draft) => draft.object),
    );
    const plan = {
      changes: decisions.diffObjects(before?.config.objects ?? [], objects),
      findings: decisions.validateObjects(objects),
      tag: drafts.value.tag,
      currentRevision: before?.config.revision ?? 0,
      objects,
    };
    return neverthrow.ok({ plan, before });
  }
}

function describeDrain(options: SetDrainOptions): string {
  const change = options.isDrained ? "drained" : "returned";
  return `${change} server/${options.server}`;
}

function findRejection(
  plan: PublishPlan,
  options: PublishOptions,
): PublishError | undefined {
  if (plan.tag !== options.tag) {
    const message = "The drafts changed since they were checked: look at the " +
      `diff again and publish with its tag "${plan.tag}"`;
    return { kind: "drafts-changed", message, tag: plan.tag };
  }
  if (plan.findings.length > 0) {
    const count = plan.findings.length;
    const message =
      (count === 1 ? "1 finding stands" : `${count} findings stand`) +
      " against the set: follow the remedy of each, then publish";
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

function nothingPublished(): PublishError {
  const message = "Nothing has been published yet: publish a set first";
  return { kind: "not-found", message };
}

function toPublishError(
  error: { readonly kind: string; readonly message: string },
): PublishError {
  const kind = error.kind === "unreadable" ? "unreadable" : "unavailable";
  return { kind, message: error.message };
}
