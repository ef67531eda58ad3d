/**
 * Schemas of the admin API's responses. Unknown fields aren't checked; `--json`
 * prints them as received.
 */
import * as contracts from "@guavatide/contracts";
import * as z from "zod";

const lastEditSchema = z.looseObject({ operator: z.string(), at: z.string() });

/** A configuration object with its version and last edit. */
export const draftSchema = z.looseObject({
  object: contracts.configObjectSchema,
  version: z.string(),
  lastEdit: lastEditSchema,
});

/** Configuration objects, with the tag that identifies the whole set. */
export const objectListSchema = z.looseObject({
  tag: z.string(),
  objects: z.array(draftSchema),
});

const findingSchema = z.looseObject({
  kind: z.string(),
  object: z.string(),
  field: z.string(),
  message: z.string(),
  remedy: z.string(),
});
/** A validation error that prevents publishing. */
export type Finding = z.infer<typeof findingSchema>;

/** Result of validating the whole set; valid when `findings` is empty. */
export const checkSchema = z.looseObject({
  findings: z.array(findingSchema),
  tag: z.string(),
  currentRevision: z.number(),
});

/** Differences between the objects and the current revision. */
export const diffSchema = checkSchema.extend({
  changes: z.array(
    z.looseObject({
      change: z.string(),
      object: z.string(),
      fields: z.array(
        z.looseObject({
          field: z.string(),
          from: z.string().optional(),
          to: z.string().optional(),
        }),
      ),
    }),
  ),
});

/** A published revision. */
export const publishedRevisionSchema = z.looseObject({
  revision: z.number(),
  publishedBy: z.string(),
  publishedAt: z.string(),
});

/** Published revisions and drains, newest first. */
export const historySchema = z.looseObject({
  history: z.array(
    publishedRevisionSchema.extend({
      changes: z.array(z.string()),
      changeCount: z.number(),
    }),
  ),
});

/** The configuration that a VM applies; null before its first revision. */
export const configSchema = contracts.publishedConfigSchema.nullable();

/** Revision that each entry VM applies, as known to the VM that responds. */
export const vmsSchema = z.looseObject({
  vm: z.string(),
  isWatcher: z.boolean(),
  confirmedAgeMs: z.number().nullable(),
  vms: z.array(
    z.looseObject({
      vm: z.string(),
      revision: z.number(),
      ageMs: z.number(),
    }),
  ),
});

/** Backend servers with their states and drains. */
export const serversSchema = z.looseObject({
  servers: z.array(
    z.looseObject({
      server: z.string(),
      service: z.string(),
      zone: z.string(),
      host: z.string(),
      port: z.number(),
      state: z.string(),
      drain: contracts.drainSchema.nullable(),
    }),
  ),
});

/** Servers that operators have drained. */
export const drainsSchema = z.looseObject({
  drains: z.array(contracts.drainSchema),
});

/** Slices of one service's key range, with their owners. */
export const slicesSchema = z.looseObject({
  service: z.string(),
  revision: z.number(),
  slices: z.array(contracts.sliceSchema.extend({ id: z.string() })),
});

/** Owner of one key; `owner` has no server while nobody owns the key. */
export const keyOwnerSchema = z.looseObject({
  service: z.string(),
  key: z.string(),
  keyHash: z.number(),
  owner: z.looseObject({
    kind: z.string(),
    server: z.string().optional(),
    slice: z.string().optional(),
    fence: z.number().optional(),
  }),
});

/** Steps of slice handovers, newest first. */
export const handoverStepsSchema = z.looseObject({
  lines: z.array(
    z.looseObject({
      at: z.string(),
      service: z.string(),
      revision: z.number(),
      slice: z.string(),
      step: z.string(),
      from: z.array(z.string()),
      to: z.string(),
      reason: z.string(),
    }),
  ),
});

/** Audit log of operators' changes, newest first. */
export const auditLogSchema = z.looseObject({
  lines: z.array(
    z.looseObject({
      at: z.string(),
      operator: z.string(),
      action: z.string(),
      object: z.string(),
      result: z.string(),
      detail: z.string(),
      vm: z.string(),
    }),
  ),
});
