/**
 * Keeps requests that crash the servers that run them from reaching further
 * servers, where entry VMs run on an external platform. They tell one another
 * each crash; what has crashed several servers is kept in the platform's store,
 * for VMs that were cut off, restart or join.
 */
import * as contracts from "@guavatide/contracts";
import * as poison from "@guavatide/decisions/poison/mod";
import type { LabelledCounts } from "../../metrics/labelled_counts.ts";
import {
  CrashLedger,
  type CrashLedgerOptions,
} from "../../poison/crash_ledger.ts";
import { GivenUpRequests } from "../../poison/given_up_requests.ts";
import type { RequestIdentity } from "../../poison/request_identity.ts";
import type { ServerCondition } from "../../poison/server_end_check.ts";
import type { LifeCycle, PeriodicTask } from "../../utils/life_cycle.ts";
import type { FrontRequest } from "../forwarding/front_request.ts";
import type { ObjectChange } from "../store/object_table.ts";
import { ANSWER_METHOD, CRASH_METHOD } from "../peers/peer_messages.ts";
import type { PeerGossip } from "../peers/peer_gossip.ts";
import { RepeatedBroadcast } from "../peers/repeated_broadcast.ts";
import type { ServerRegistry } from "../servers/server_registry.ts";
import type { StoreHealth } from "../store/store_health.ts";

/** The parts of a request that its crashes are recorded with. */
export type PoisonSubject = Pick<
  FrontRequest,
  "id" | "method" | "host" | "target" | "key" | "body" | "caller"
>;

/** Options of {@link PoisonGuard}. */
export interface PoisonGuardOptions
  extends
    Pick<CrashLedgerOptions<PoisonSubject>, "endCheck" | "unixMs" | "log"> {
  readonly store: contracts.PlatformStore;
  readonly health: StoreHealth;
  /** Name prefix of the records in the store. */
  readonly prefix: string;
  readonly gossip: Pick<PeerGossip, "on" | "broadcast">;
  readonly registry: Pick<ServerRegistry, "servers" | "staying">;
  readonly clock: contracts.Clock;
  /** Counts by service and event. */
  readonly counts: LabelledCounts;
  /** Whether this VM reads the store for all. */
  readonly isReader: () => boolean;
}

/** Crashes after which a request is kept in the store. */
const MIN_STORED_CRASHES = 2;
/** A report is sent again after this time. */
const REPEAT_REPORT_MS = 300;
/**
 * The witness of a crash writes at once, the readers of the store if it does
 * not: all VMs together would make too many calls.
 */
const WITNESS_GRACE_MS = 1_000;
const SAVE_INTERVAL_MS = 250;
const SAVE_RETRY_MS = 1_000;
const SAVE_TIMEOUT_MS = 1_200;
const EXPIRY_INTERVAL_MS = 10_000;

/** A record that the store lacks. */
interface UnsavedRecord {
  readonly dueMs: number;
  /** Whether this VM saw the last crash. */
  readonly isWitness: boolean;
}

/** Verdicts on requests, from the crashes that all VMs have seen. */
export class PoisonGuard {
  readonly #options: PoisonGuardOptions;
  readonly #ledger: CrashLedger<PoisonSubject>;
  /** Number of crashes of each record in the store, as far as known. */
  readonly #storedCrashes = new Map<contracts.RequestFingerprint, number>();
  readonly #unsaved = new Map<contracts.RequestFingerprint, UnsavedRecord>();
  readonly #givenUp: GivenUpRequests<PoisonSubject, contracts.RegisteredServer>;
  readonly #reports = new RepeatedBroadcast(REPEAT_REPORT_MS);
  #lifeCycle: LifeCycle | undefined;
  #task: PeriodicTask | undefined;
  #isSaving = false;

  constructor(options: PoisonGuardOptions) {
    this.#options = options;
    this.#ledger = new CrashLedger({
      ...options,
      partsOf: (request) => request,
      versionCheckOf: () => (service, version) =>
        options.registry.staying(service)
          .some(({ softwareVersion = "" }) => softwareVersion === version),
      remedy: "Release mended software, or delete its record from the store.",
      onPoisonous: ({ service }) =>
        options.counts.add(1, { service, event: "quarantined" }),
    });
    this.#givenUp = new GivenUpRequests({
      ...options,
      onEnded: (entry, requests, atMs) =>
        this.#noteEndAfterGivingUp(entry, requests, atMs),
    });
    options.gossip.on(
      CRASH_METHOD,
      contracts.crashReportSchema,
      (report) => this.#record(report, { isWitness: false }),
    );
    options.gossip.on(
      ANSWER_METHOD,
      contracts.answerReportSchema,
      (report) => this.#clear(report),
    );
  }

  /** Starts the periodic work. */
  start(lifeCycle: LifeCycle): void {
    this.#lifeCycle = lifeCycle;
    this.#task = lifeCycle.every(
      EXPIRY_INTERVAL_MS,
      () => this.#tick(),
      "records of crashes",
    );
    this.#schedule();
    this.#reports.start(lifeCycle, "reports of crashes");
  }

  /** Whether no server may run the request. */
  isPoisonous(request: PoisonSubject): boolean {
    return this.#ledger.isPoisonous(request);
  }

  /** The identity of a request, which is the same for all its attempts. */
  identify(request: PoisonSubject): RequestIdentity {
    return this.#ledger.identify(request);
  }

  /** Counts a request that was refused for its crashes. */
  noteRefusal(service: contracts.ServiceId): void {
    this.#options.counts.add(1, { service, event: "refused" });
  }

  /**
   * A server broke off the connection on which it had a request. Finds out
   * whether it has crashed, and records it. Never rejects.
   */
  async noteLostConnection(
    request: PoisonSubject,
    entry: contracts.RegisteredServer,
  ): Promise<ServerCondition> {
    const atMs = this.#options.unixMs();
    const { id } = request;
    // Its registration may be gone by the time at which its end is known.
    const isLeaving = this.#isLeaving(entry);
    const condition = await this.#ledger.checkServer(request, entry, { id });
    if (condition !== "ended" || isLeaving) return condition;
    this.#witness(request, entry, atMs);
    return condition;
  }

  /**
   * A request was given up while a server had it. It is to blame if the server
   * ends soon after, though it holds no connection any more that could break.
   */
  noteGivenUp(
    request: PoisonSubject,
    entry: contracts.RegisteredServer,
  ): void {
    if (!this.#isLeaving(entry)) this.#givenUp.note(request, entry);
  }

  #noteEndAfterGivingUp(
    entry: contracts.RegisteredServer,
    requests: readonly PoisonSubject[],
    atMs: number,
  ): void {
    if (this.#registered(entry)?.isDraining) return;
    this.#options.log.info(
      "A server has ended after requests were given up there.",
      {
        server: entry.server,
        ids: requests.map(({ id }) => id).join(),
      },
    );
    for (const request of requests) this.#witness(request, entry, atMs);
  }

  /** Records and reports a crash that this VM has seen. */
  #witness(
    request: PoisonSubject,
    entry: contracts.RegisteredServer,
    atMs: number,
  ): void {
    const { counts, gossip } = this.#options;
    const { fingerprint, caller } = this.identify(request);
    const { server, service, bornMs, softwareVersion = "" } = entry;
    counts.add(1, { service, event: "crash" });
    const crash = { service, server, bornMs, softwareVersion, caller, atMs };
    const report: contracts.CrashReport = { fingerprint, crash };
    this.#record(report, { isWitness: true });
    this.#reports.send(() => gossip.broadcast(CRASH_METHOD, report));
  }

  /**
   * A server ran the request to its end, which a poison request never reaches.
   */
  noteAnswer(request: PoisonSubject): void {
    const report = this.#ledger.noteAnswer(request);
    if (report === undefined) return;
    const { fingerprint } = report;
    this.#unsaved.delete(fingerprint);
    this.#options.gossip.broadcast(ANSWER_METHOD, report);
    if (this.#storedCrashes.has(fingerprint)) this.#updateStored(fingerprint);
  }

  /** Applies the records of the first list. */
  applyList(objects: readonly contracts.StoredObject[]): void {
    for (const object of objects) this.#applyStored(object);
  }

  /** Applies changes of the records; one that an operator deletes is void. */
  applyChanges(changes: readonly ObjectChange[]): void {
    for (const { name, object } of changes) {
      if (object !== undefined) this.#applyStored(object);
      else this.#forget(this.#fingerprintOf(name));
    }
  }

  /** Whether a server was about to end, for reasons of its own. */
  #isLeaving(entry: contracts.RegisteredServer): boolean {
    return this.#registered(entry)?.isDraining ?? true;
  }

  #registered(
    { service, server, bornMs }: contracts.RegisteredServer,
  ): contracts.RegisteredServer | undefined {
    return this.#options.registry.servers(service)
      .find((known) => known.server === server && known.bornMs === bornMs);
  }

  #record(
    report: contracts.CrashReport,
    { isWitness }: Pick<UnsavedRecord, "isWitness">,
  ): void {
    if (!this.#ledger.record(report)) return;
    const { fingerprint } = report;
    if (poison.countServers(this.#crashes(fingerprint)) >= MIN_STORED_CRASHES) {
      const delayMs = isWitness ? 0 : WITNESS_GRACE_MS;
      this.#planSave(fingerprint, { isWitness, delayMs });
    }
    this.#schedule();
    if (isWitness) this.#tick();
  }

  #clear(report: contracts.AnswerReport): void {
    if (this.#ledger.clear(report)) this.#unsaved.delete(report.fingerprint);
  }

  #crashes(
    fingerprint: contracts.RequestFingerprint,
  ): readonly contracts.ServerCrash[] {
    return this.#ledger.tracker.crashes(fingerprint);
  }

  #applyStored({ name, value }: contracts.StoredObject): void {
    const fingerprint = this.#fingerprintOf(name);
    const crashes = this.#decode(name, value);
    if (crashes === undefined) return;
    this.#storedCrashes.set(fingerprint, crashes.length);
    for (const crash of crashes) this.#ledger.record({ fingerprint, crash });
    // A VM that knew of fewer crashes has written last.
    if (this.#crashes(fingerprint).length > crashes.length) {
      const delayMs = WITNESS_GRACE_MS;
      this.#planSave(fingerprint, { isWitness: false, delayMs });
    }
    this.#schedule();
  }

  #decode(name: string, value: string): contracts.ServerCrash[] | undefined {
    const record = contracts.decodeJson(
      value,
      contracts.storedPoisonRequestSchema,
    );
    if (record.isOk()) return record.value.crashes;
    const { field, message } = record.error;
    this.#options.log.warn("Ignores an unreadable record of crashes.", {
      name,
      field,
      message,
    });
    return undefined;
  }

  #forget(fingerprint: contracts.RequestFingerprint): void {
    this.#storedCrashes.delete(fingerprint);
    this.#unsaved.delete(fingerprint);
    if (this.#crashes(fingerprint).length === 0) return;
    this.#ledger.tracker.delete(fingerprint);
    this.#options.log.info("A request's record of crashes was deleted.", {
      fingerprint,
    });
  }

  #fingerprintOf(name: string): contracts.RequestFingerprint {
    const { prefix } = this.#options;
    return name.slice(prefix.length) as contracts.RequestFingerprint;
  }

  #planSave(
    fingerprint: contracts.RequestFingerprint,
    { isWitness, delayMs }: {
      readonly isWitness: boolean;
      readonly delayMs: number;
    },
  ): void {
    const dueMs = this.#options.clock.nowMs() + delayMs;
    this.#unsaved.set(fingerprint, { dueMs, isWitness });
  }

  /** Runs the task while there is something to save or to forget. */
  #schedule(): void {
    this.#task?.setIntervalMs(
      this.#unsaved.size > 0
        ? SAVE_INTERVAL_MS
        : this.#ledger.tracker.size > 0
        ? EXPIRY_INTERVAL_MS
        : Number.POSITIVE_INFINITY,
    );
  }

  #tick(): void {
    this.#ledger.tracker.expire(this.#options.unixMs());
    this.#dropUntracked();
    if (!this.#isSaving) {
      this.#isSaving = true;
      const saving = this.#saveDue().finally(() => {
        this.#isSaving = false;
        this.#schedule();
      });
      this.#lifeCycle?.detach("records of crashes", saving);
    }
    this.#schedule();
  }

  /** Drops the records of requests that have expired or made room for others. */
  #dropUntracked(): void {
    for (const fingerprint of [...this.#storedCrashes.keys()]) {
      if (this.#crashes(fingerprint).length > 0) continue;
      this.#storedCrashes.delete(fingerprint);
      this.#unsaved.delete(fingerprint);
      if (this.#options.isReader()) this.#updateStored(fingerprint);
    }
  }

  async #saveDue(): Promise<void> {
    const { clock, isReader } = this.#options;
    const nowMs = clock.nowMs();
    for (const [fingerprint, { dueMs, isWitness }] of [...this.#unsaved]) {
      const { length } = this.#crashes(fingerprint);
      const isStored = (this.#storedCrashes.get(fingerprint) ?? 0) >= length;
      if (isStored) this.#unsaved.delete(fingerprint);
      else if (dueMs <= nowMs && (isWitness || isReader())) {
        await this.#save(fingerprint);
      }
    }
  }

  async #save(fingerprint: contracts.RequestFingerprint): Promise<void> {
    const { store, prefix, health, log } = this.#options;
    const crashes = [...this.#crashes(fingerprint)];
    const record: contracts.StoredPoisonRequest = { crashes };
    const call = health.startCall();
    const written = await store.put(
      prefix + fingerprint,
      JSON.stringify(record),
      { timeoutMs: SAVE_TIMEOUT_MS, condition: { kind: "any" } },
    );
    call.noteResult(written);
    if (written.isErr()) {
      const { kind, message } = written.error;
      log.warn("Record of crashes not written.", {
        fingerprint,
        kind,
        message,
      });
      const unsaved = this.#unsaved.get(fingerprint);
      if (unsaved === undefined) return;
      const { isWitness } = unsaved;
      return this.#planSave(fingerprint, { isWitness, delayMs: SAVE_RETRY_MS });
    }
    const known = this.#storedCrashes.get(fingerprint) ?? 0;
    this.#storedCrashes.set(fingerprint, Math.max(known, crashes.length));
  }

  /** Deletes a record, or writes what is left of it. */
  #updateStored(fingerprint: contracts.RequestFingerprint): void {
    const { store, prefix, health } = this.#options;
    this.#storedCrashes.delete(fingerprint);
    if (this.#crashes(fingerprint).length > 0) {
      this.#planSave(fingerprint, { isWitness: true, delayMs: 0 });
      return this.#tick();
    }
    const call = health.startCall();
    const deleting = store.delete(prefix + fingerprint, {
      timeoutMs: SAVE_TIMEOUT_MS,
      condition: { kind: "any" },
    }).then((deleted) => {
      call.noteResult(deleted);
    });
    this.#lifeCycle?.detach("deletion of a record of crashes", deleting);
  }
}
