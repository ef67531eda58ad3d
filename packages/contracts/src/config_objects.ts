/**
 * The objects that operators edit. They refer to one another by name; a
 * publish checks the whole set and makes one revision of it current.
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
  /** Region the availability zone lies in. */
  region: z.string().min(1),
});
/** An availability zone where servers stand. */
export type Place = z.infer<typeof placeSchema>;

/** Schema of {@link Partner}. */
export const partnerSchema = z.strictObject({
  kind: z.literal("partner"),
  name: partnerIdSchema,
  /** Requests a second that the partner's callers may send, per entry VM. */
  requestsPerSecond: z.number().positive(),
  /** Requests that may arrive at once above that rate. */
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
  /** Places where the service's servers stand. */
  places: z.array(zoneIdSchema).min(1),
  /** Whether each key belongs to one server. */
  keyed: z.boolean(),
  slotsPerServer: z.number().int().positive(),
  connectionsPerServer: z.number().int().positive(),
  /** Methods that are safe to send again after an unknown outcome. */
  idempotentMethods: z.array(z.string()).default(["GET", "HEAD"]),
  /** Longest time a request may take when the caller names none. */
  timeoutMs: z.number().int().positive().default(2000),
  /** Requests that may wait for a server, per entry VM. */
  queueRequests: z.number().int().min(0).default(64),
  /** Placement: how much evening out load is worth. */
  imbalanceWeight: z.number().min(0).default(1),
  /** Placement: how much a moved key costs. */
  churnWeight: z.number().min(0).default(1),
  /** How requests of an unkeyed service are spread. */
  policy: z.string().optional(),
});
/** A service that callers address. */
export type Service = z.infer<typeof serviceSchema>;

/** Schema of {@link CostShare}. */
export const costShareSchema = z.strictObject({
  kind: z.literal("cost-share"),
  name: z.string().min(1).max(100).regex(/^[A-Za-z0-9._\-]+$/),
  service: serviceIdSchema,
  /** Parts of the cost; they must add up to 100. */
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
  /** Wall-clock time, ISO 8601, for people. */
  at: z.string().min(1),
  reason: z.string().max(200),
});
/** A backend server that an operator took out of service, until revoked. */
export type Drain = z.infer<typeof drainSchema>;

/** Schema of {@link PublishedConfig}. */
export const publishedConfigSchema = z.strictObject({
  /** Rises by one with each publish; nodes never apply a lower one. */
  revision: z.number().int().min(1),
  publishedBy: z.string().min(1),
  /** Wall-clock time of the publish, ISO 8601, for people. */
  publishedAt: z.string().min(1),
  objects: z.array(configObjectSchema),
  /** Servers that operators drain; they travel with the configuration. */
  drains: z.array(drainSchema).optional(),
});
/** The set of objects in force. */
export type PublishedConfig = z.infer<typeof publishedConfigSchema>;
