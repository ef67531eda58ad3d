/**
 * Wires the administration of one entry VM: drafts, publisher, journals and
 * the API's door.
 */
import * as contracts from "@guavatide/contracts";
import * as configuration from "../configuration/mod.ts";
import type { OwnerView, ServerView } from "../contracts/views.ts";
import type { Settings } from "../settings/mod.ts";
import type { ServerTls } from "../utils/http_server.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { Logger } from "../utils/log.ts";
import { AdminServer } from "./admin_server.ts";
import type { OwnershipView } from "./api_context.ts";
import { AUDIT_PREFIX, auditLineSchema } from "./journal_lines.ts";
import { MoveJournal } from "./move_journal.ts";
import { StoreJournal } from "./store_journal.ts";

/** Options of {@link startAdminApi}. */
export interface StartAdminApiOptions {
  readonly settings: Settings;
  readonly store: contracts.PlatformStore;
  readonly clock: contracts.Clock;
  readonly log: Logger;
  readonly config: configuration.ConfigTask;
  readonly servers: ServerView;
  readonly owners: OwnerView;
  readonly ownership: OwnershipView;
  readonly moves: MoveJournal;
  readonly certificate?: ServerTls;
}

/** Options of {@link createMoveJournal}. */
export type CreateMoveJournalOptions = Pick<
  StartAdminApiOptions,
  "settings" | "store" | "clock" | "log"
>;

const FLUSH_INTERVAL_MS = 1000;
const MOVE_LINES_PER_SLOT = 300;
/** Calls within which the fate of an edit must become known. */
const STORE_CALLS_PER_WRITE = 4;

/** The journal of moves, for the task that moves slices. */
export function createMoveJournal(
  options: CreateMoveJournalOptions,
): MoveJournal {
  return new MoveJournal({
    vm: options.settings.vm,
    store: options.store,
    clock: options.clock,
    log: options.log,
    linesPerSlot: MOVE_LINES_PER_SLOT,
    flushIntervalMs: FLUSH_INTERVAL_MS,
    callTimeoutMs: options.settings.platform.storeTimeoutMs,
  });
}

/** Starts the administration API and returns its port. */
export async function startAdminApi(
  options: StartAdminApiOptions,
  lifeCycle: LifeCycle,
): Promise<number> {
  const { settings, store, clock, log } = options;
  const callTimeoutMs = settings.platform.storeTimeoutMs;
  const shared = {
    vm: settings.vm,
    store,
    clock,
    log,
    callTimeoutMs,
    timeoutMs: STORE_CALLS_PER_WRITE * callTimeoutMs,
    valueLimitBytes: contracts.STORE_VALUE_LIMIT_BYTES,
    now: () => new Date().toISOString(),
  };
  const drafts = new configuration.DraftStore(shared);
  const reader = new configuration.ConfigReader(shared);
  const audit = new StoreJournal({
    ...shared,
    prefix: AUDIT_PREFIX,
    schema: auditLineSchema,
    linesPerSlot: settings.administration.auditLines,
    flushIntervalMs: FLUSH_INTERVAL_MS,
  });
  audit.start(lifeCycle);
  options.moves.start(lifeCycle);
  const publisher = new configuration.Publisher({ ...shared, drafts, reader });
  const door = new AdminServer({
    dependencies: { ...options, vm: settings.vm, drafts, publisher, audit },
    tokens: settings.administration.tokens,
    host: settings.host,
    port: settings.ports.administration,
    limits: settings.limits,
    certificate: options.certificate,
  });
  return await door.listen(lifeCycle);
}
