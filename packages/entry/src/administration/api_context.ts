/** Types and audit helpers that the routes of the administration API share. */
import type * as contracts from "@guavatide/contracts";
import type * as hono from "hono";
import * as crypto from "node:crypto";
import type * as configuration from "../configuration/mod.ts";
import type { OwnerView, ServerView } from "../contracts/views.ts";
import type { Logger } from "../utils/log.ts";
import type { Operator } from "./operator_authenticator.ts";
import type { AuditLine, MoveLine } from "./journal_lines.ts";
import type { StoreJournal } from "./store_journal.ts";

/** Variables that the server sets for each request. */
export interface ApiEnv {
  Variables: { readonly operator: Operator };
}

/** Context of an authenticated request. */
export type ApiContext = hono.Context<ApiEnv>;

/** Read access to the assignments of keyed services. */
export interface OwnershipView {
  /** Newest assignment that this VM knows; undefined when it knows none. */
  assignment(service: contracts.ServiceId): contracts.Assignment | undefined;
  /** Hashes a key as the request path does. */
  hashKey(key: string): number;
}

/** Components that the routes call. */
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

/** Fields of an audit line besides operator, time and VM. */
export type AuditedChange = Pick<
  AuditLine,
  "action" | "object" | "result" | "detail"
>;

/** Records a change, or a refused attempt, in the log and the audit journal. */
export function auditChange(
  deps: ApiDependencies,
  context: ApiContext,
  change: AuditedChange,
): void {
  const operator = context.get("operator").name;
  deps.log.info(`${change.action} ${change.result}`, {
    operator,
    object: change.object,
    detail: change.detail,
  });
  deps.audit.append({
    ...change,
    id: crypto.randomUUID(),
    at: new Date().toISOString(),
    vm: deps.vm,
    operator,
  });
}

/** Maps the error of a change to the `result` and `detail` of its audit line. */
export function auditResultOfError(error: { readonly kind: string }) {
  const result = error.kind === "unknown" ? "unknown" : "refused";
  return { result, detail: error.kind } as const;
}
