/**
 * Publishes all drafts together as a new revision, and drains servers or
 * returns them to service. A publish names the tag of the drafts that its
 * operator has checked.
 */
import type * as contracts from "@guavatide/contracts";
import * as decisions from "@guavatide/decisions";
import * as neverthrow from "neverthrow";
import type { ConfigReader, StoredConfig } from "./config_reader.ts";
import * as currentConfig from "./current_config.ts";
import type { DraftStore } from "./draft_store.ts";
import * as revisionWriter from "./revision_writer.ts";

/** Why a publish or a drain failed. */
export type PublishError =
  | revisionWriter.RevisionError
  /** The objects failed validation. */
  | {
    readonly kind: "findings";
    readonly message: string;
    readonly findings: readonly decisions.Finding[];
  }
  /** The drafts have changed since the operator checked them. */
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

/** Effect of a publish of the current drafts. */
export interface PublishPlan {
  readonly changes: readonly decisions.ObjectChange[];
  readonly findings: readonly decisions.Finding[];
  /** Tag of the drafts that the plan was made from. */
  readonly tag: string;
  /** Revision that the store holds; 0 before the first publish. */
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
  /** Highest revision known to be in force at any entry VM. */
  readonly knownRevision: number;
  /** Returns the changed objects that the operator may not publish. */
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

/** Attempts of a drain when concurrent publishes win. */
const DRAIN_ATTEMPTS = 4;

/** Publishes drafts and drains servers. */
export class Publisher {
  readonly #options: PublisherOptions;
  readonly #writer: revisionWriter.RevisionWriter;

  constructor(options: PublisherOptions) {
    this.#options = options;
    this.#writer = new revisionWriter.RevisionWriter(options);
  }

  /** Returns what a publish of the current drafts would do. Writes nothing. */
  async plan(): PublishResult<PublishPlan> {
    return (await this.#prepare()).map(({ plan }) => plan);
  }

  /** Publishes the drafts. Returns the new configuration in force. */
  async publish(
    options: PublishOptions,
  ): PublishResult<contracts.PublishedConfig> {
    const prepared = await this.#prepare();
    if (prepared.isErr()) return neverthrow.err(prepared.error);
    const { plan, stored } = prepared.value;
    const rejection = findRejection(plan, options);
    if (rejection !== undefined) return neverthrow.err(rejection);
    return await this.#writer.write(stored, {
      operator: options.operator,
      knownRevision: options.knownRevision,
      changes: plan.changes.map((each) => `${each.change} ${each.object}`),
      objects: plan.objects,
      drains: stored?.config.drains ?? [],
    });
  }

  /**
   * Drains a server or returns it to service, keeping the objects in force. The
   * drain is part of the next revision, so it reaches every entry VM in the
   * same way, persists, and never reverts.
   */
  async setDrain(
    options: SetDrainOptions,
  ): PublishResult<contracts.PublishedConfig> {
    for (let attempt = 1;; attempt++) {
      const stored = await this.#readCurrent();
      if (stored.isErr()) return neverthrow.err(stored.error);
      if (stored.value === undefined) return neverthrow.err(nothingPublished());
      const drains = stored.value.config.drains ?? [];
      const isDrained = drains.some((each) => each.server === options.server);
      if (isDrained === options.isDrained) {
        return neverthrow.ok(stored.value.config);
      }
      const written = await this.#writer.write(stored.value, {
        operator: options.operator,
        knownRevision: options.knownRevision,
        changes: [describeDrain(options)],
        objects: stored.value.config.objects,
        drains: this.#updateDrains(drains, options),
      });
      const hasLostRace = written.isErr() && written.error.kind === "conflict";
      if (!hasLostRace || attempt === DRAIN_ATTEMPTS) return written;
    }
  }

  /** Returns past publishes and drains, the newest last. */
  async history(): PublishResult<readonly currentConfig.PublishEntry[]> {
    const read = await this.#readCurrent();
    return read.map((found) => found?.current.history ?? []);
  }

  #updateDrains(
    drains: readonly contracts.Drain[],
    { server, operator, reason, isDrained }: SetDrainOptions,
  ): contracts.Drain[] {
    const others = drains.filter((each) => each.server !== server);
    if (!isDrained) return others;
    return [...others, { server, operator, reason, at: this.#options.now() }];
  }

  /** The configuration in the store. Undefined before the first publish. */
  async #readCurrent(): PublishResult<StoredConfig | undefined> {
    const read = await this.#options.reader.readNewer(0);
    if (read.isOk()) return neverthrow.ok(read.value);
    if (read.error.kind === "not-found") return neverthrow.ok(undefined);
    return neverthrow.err(read.error);
  }

  async #prepare(): PublishResult<
    { plan: PublishPlan; stored?: StoredConfig }
  > {
    // Read the revision before the drafts: a publish between the two reads
    // makes the conditional update fail instead of being overwritten.
    const read = await this.#readCurrent();
    if (read.isErr()) return neverthrow.err(read.error);
    const stored = read.value;
    const drafts = await this.#options.drafts.list();
    if (drafts.isErr()) return neverthrow.err(toPublishError(drafts.error));
    const objects = decisions.sortObjects(
      drafts.value.drafts.map((draft) => draft.object),
    );
    const plan = {
      changes: decisions.diffObjects(stored?.config.objects ?? [], objects),
      findings: decisions.validateObjects(objects),
      tag: drafts.value.tag,
      currentRevision: stored?.config.revision ?? 0,
      objects,
    };
    return neverthrow.ok({ plan, stored });
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
