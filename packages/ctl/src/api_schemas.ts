/** Shapes of the administration API's answers, as far as they are shown. */
import * as contracts from "@guavatide/contracts";
import * as z from "zod";

const lastEditSchema = z.looseObject({ operator: z.string(), at: z.string() });

/** One object with its version. */
export const draftSchema = z.looseObject({
  object: contracts.configObjectSchema,
  version: z.string(),
  lastEdit: lastEditSchema,
});

/** All objects. */
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
/** One reason against publishing. */
export type Finding = z.infer<typeof findingSchema>;

/** Result of a check. */
export const checkSchema = z.looseObject({
  findings: z.array(findingSchema),
  tag: z.string(),
  currentRevision: z.number(),
});

/** Result of a diff. */
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

/** Result of a publish. */
export const publishedRevisionSchema = z.looseObject({
  revision: z.number(),
  publishedBy: z.string(),
  publishedAt: z.string(),
});

/** Past publishes and drains. */
export const historySchema = z.looseObject({
  history: z.array(
    publishedRevisionSchema.extend({
      changes: z.array(z.string()),
      changeCount: z.number(),
    }),
  ),
});

/** The configuration in force at one VM; null before the first. */
export const configSchema = contracts.publishedConfigSchema.nullable();

/** What each entry VM has in force. */
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

/** Backend servers. */
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

/** Drained servers. */
export const drainsSchema = z.looseObject({
  drains: z.array(contracts.drainSchema),
});

/** Slices of one service. */
export const slicesSchema = z.looseObject({
  service: z.string(),
  revision: z.number(),
  slices: z.array(contracts.sliceSchema.extend({ id: z.string() })),
});

/** Owner of one key. */
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

/** Steps of moves, newest first. */
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

/** Changes by operators, newest first. */
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
