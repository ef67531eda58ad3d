/** Schemas of the two journals in the store: operator changes and slice moves. */
import * as contracts from "@guavatide/contracts";
import * as z from "zod";

/** Prefix of the audit journal's object names in the store. */
export const AUDIT_PREFIX = "audit/";
/** Prefix of the move journal's object names in the store. */
export const MOVES_PREFIX = "moves/";

/** Schema of {@link AuditLine}. */
export const auditLineSchema = z.strictObject({
  id: z.string().min(1),
  at: z.string().min(1),
  /** Entry VM that handled the request. */
  vm: contracts.vmIdSchema,
  operator: z.string().min(1),
  action: z.enum(["create", "edit", "delete", "publish", "drain", "return"]),
  /** Changed object as `kind/name`; empty for a publish. */
  object: z.string(),
  result: z.enum(["done", "refused", "unknown"]),
  /** New version or revision of a change that is done, else the error's kind. */
  detail: z.string(),
});
/** One change by an operator: done, refused or with an unknown result. */
export type AuditLine = z.infer<typeof auditLineSchema>;

/** Schema of {@link MoveLine}. */
export const moveLineSchema = z.strictObject({
  id: z.string().min(1),
  at: z.string().min(1),
  /** Entry VM that updated the assignment. */
  vm: contracts.vmIdSchema,
  service: contracts.serviceIdSchema,
  /** Revision of the assignment that contains the step. */
  revision: z.number().int().min(1),
  slice: contracts.sliceIdSchema,
  step: z.string().min(1),
  from: z.array(contracts.serverIdSchema),
  to: contracts.serverIdSchema,
  reason: z.string(),
});
/** One step of moving a slice between servers, with its reason. */
export type MoveLine = z.infer<typeof moveLineSchema>;
