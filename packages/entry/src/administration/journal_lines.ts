/** Lines of the two journals: changes by operators, and moves of slices. */
import * as contracts from "@guavatide/contracts";
import * as z from "zod";

/** Prefix of the audit journal in the store. */
export const AUDIT_PREFIX = "audit/";
/** Prefix of the journal of moves in the store. */
export const MOVES_PREFIX = "moves/";

/** Schema of {@link AuditLine}. */
export const auditLineSchema = z.strictObject({
  id: z.string().min(1),
  at: z.string().min(1),
  /** Entry VM that took the change. */
  vm: contracts.vmIdSchema,
  operator: z.string().min(1),
  action: z.enum(["create", "edit", "delete", "publish", "drain", "return"]),
  /** What was changed, as `kind/name`. */
  object: z.string(),
  result: z.enum(["done", "refused", "unknown"]),
  /** New version or revision when done, the error's kind otherwise. */
  detail: z.string(),
});
/** One change, or an attempt at one. */
export type AuditLine = z.infer<typeof auditLineSchema>;

/** Schema of {@link MoveLine}. */
export const moveLineSchema = z.strictObject({
  id: z.string().min(1),
  at: z.string().min(1),
  /** Entry VM that made the move. */
  vm: contracts.vmIdSchema,
  service: contracts.serviceIdSchema,
  /** Assignment revision of the step. */
  revision: z.number().int().min(1),
  slice: contracts.sliceIdSchema,
  step: z.string().min(1),
  from: z.array(contracts.serverIdSchema),
  to: contracts.serverIdSchema,
  reason: z.string(),
});
/** One step of a move of a slice, with its reason. */
export type MoveLine = z.infer<typeof moveLineSchema>;
