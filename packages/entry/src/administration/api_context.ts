/** What the routes of the administration API share. */
import type * as contracts from "@guavatide/contracts";
import type * as hono from "hono";
import * as crypto from "node:crypto";
import type * as configuration from "../configuration/mod.ts";
import type { OwnerView, ServerView } from "../contracts/views.ts";
import type { Logger } from "../utils/log.ts";
import type { Operator } from "./operator_authenticator.ts";
import type { AuditLine, MoveLine } from "./journal_lines.ts";
import type { StoreJournal } from "./store_journal.ts";

/** Variables that the door sets for each request. */
export interface ApiEnv {
  Variables: { readonly operator: Operator };
}

/** A request with its operator known. */
export type ApiContext = hono.Context<ApiEnv>;

/** Ownership as operators look at it. */
export interface OwnershipView {
  /** The newest assignment known here. */
  assignment(service: contracts.ServiceId): contracts.Assignment | undefined;
  /** Hash of a key, as the request path takes it. */
  hashKey(key: string): number;
}

/** The parts behind the API. */
export interface ApiDependencies {
  readonly vm: contracts.VmId;
  readonly log: Logger;
  readonly drafts: configuration.DraftStore;
  readonly publisher: configuration.Publisher;
  readonly config: configuration.ConfigTask;
  readonly servers: ServerView;
  readonly owners: OwnerView;
  readonly ownership: OwnershipView;
  readonly audit: StoreJournal<AuditLine>;
  readonly moves: StoreJournal<MoveLine>;
}

/** What an audit line says besides who and when. */
export type AuditedChange = Pick<
  AuditLine,
  "action" | "object" | "result" | "detail"
>;

/** Writes the audit line of a change to the log and the journal. */
export function auditChange(
  parts: ApiDependencies,
  context: ApiContext,
  change: AuditedChange,
): void {
  const operator = context.get("operator").name;
  parts.log.info(`${change.action} ${change.result}`, {
    operator,
    object: change.object,
    detail: change.detail,
  });
  parts.audit.append({
    ...change,
    id: crypto.randomUUID(),
    at: new Date().toISOString(),
    vm: parts.vm,
    operator,
  });
}

/** How the failure of a change stands in its audit line. */
export function auditResultOfError(error: { readonly kind: string }) {
  const result = error.kind === "unknown" ? "unknown" : "refused";
  return { result, detail: error.kind } as const;
}
