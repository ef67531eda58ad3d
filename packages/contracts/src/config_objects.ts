/**
 * The objects that operators edit. They refer to each other by name; a publish
 * validates the whole set and makes one revision of it current.
 */
import * as z from "zod";
import {
  partnerIdSchema,
  serverIdSchema,
  serviceIdSchema,
  zoneIdSchema,
} from "./ids.ts";

/** Schema of {@link Place}. */
export const placeSchema = z.strictObject({
  kind: z.literal("place"),
  name: zoneIdSchema,
  /** Region of the availability zone. */
  region: z.string().min(1),
});
/** An availability zone with backend servers. */
export type Place = z.infer<typeof placeSchema>;

/** Schema of {@link Partner}. */
export const partnerSchema = z.strictObject({
  kind: z.literal("partner"),
  name: partnerIdSchema,
  /**
   * Requests per second that the partner's callers may send to one entry VM.
   */
  requestsPerSecond: z.number().positive(),
  /** Burst: requests that may arrive at once above that rate. */
  burstRequests: z.number().int().positive(),
});
/** A partner of the joint venture. */
export type Partner = z.infer<typeof partnerSchema>;

/** Schema of {@link Service}. */
export const serviceSchema = z.strictObject({
  kind: z.literal("service"),
  name: serviceIdSchema,
  /** Partner that owns the service. */
  partner: partnerIdSchema,
  /** Availability zones of the service's servers. */
  places: z.array(zoneIdSchema).min(1),
  /** Whether each key is owned by one server. */
  keyed: z.boolean(),
  slotsPerServer: z.number().int().positive(),
  connectionsPerServer: z.number().int().positive(),
  /** Methods that are safe to retry after an unknown outcome. */
  idempotentMethods: z.array(z.string()).default(["GET", "HEAD"]),
  /** Timeout of a request, in milliseconds, when the caller sets none. */
  timeoutMs: z.number().int().positive().default(2000),
  /** Requests that may queue for a server at one entry VM. */
  queueRequests: z.number().int().min(0).default(64),
  /** Placement: weight of the load imbalance. */
  imbalanceWeight: z.number().min(0).default(1),
  /** Placement: cost of moving a key. */
  churnWeight: z.number().min(0).default(1),
  /** Load balancing policy of a service without keys. */
  policy: z.string().optional(),
});
/** A service that callers address. */
export type Service = z.infer<typeof serviceSchema>;

/** Schema of {@link CostShare}. */
export const costShareSchema = z.strictObject({
  kind: z.literal("cost-share"),
  name: z.string().min(1).max(100).regex(/^[A-Za-z0-9._\-]+$/),
  service: serviceIdSchema,
  /** Shares of the cost in percent; they must add up to 100. */
  shares: z.array(
    z.strictObject({
      partner: partnerIdSchema,
      percent: z.number().min(0).max(100),
    }),
  ).min(1),
});
/** The split of a service's cost that the partners have agreed. */
export type CostShare = z.infer<typeof costShareSchema>;

/** Schema of {@link ConfigObject}. */
export const configObjectSchema = z.discriminatedUnion("kind", [
  placeSchema,
  partnerSchema,
  serviceSchema,
  costShareSchema,
]);
/** Any object that operators edit. */
export type ConfigObject = z.infer<typeof configObjectSchema>;

/** Schema of {@link Drain}. */
export const drainSchema = z.strictObject({
  server: serverIdSchema,
  operator: z.string().min(1),
  /** Wall-clock time, ISO 8601, for operators only. */
  at: z.string().min(1),
  reason: z.string().max(200),
});
/** A backend server that an operator drains, until the drain is revoked. */
export type Drain = z.infer<typeof drainSchema>;

/** Schema of {@link PublishedConfig}. */
export const publishedConfigSchema = z.strictObject({
  /** Rises by one with each publish; VMs never apply a lower one. */
  revision: z.number().int().min(1),
  publishedBy: z.string().min(1),
  /** Wall-clock time of the publish, ISO 8601, for operators only. */
  publishedAt: z.string().min(1),
  objects: z.array(configObjectSchema),
  /** Servers that operators drain; published with the configuration. */
  drains: z.array(drainSchema).optional(),
});
/** A published configuration. */
export type PublishedConfig = z.infer<typeof publishedConfigSchema>;
