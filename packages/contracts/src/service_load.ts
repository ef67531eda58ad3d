/**
 * Load of one keyed service as an entry VM reports it to the leader. The size
 * is limited for any number of slices and keys: the hottest are listed, the
 * others come as one sum.
 */
import * as z from "zod";
import {
  incarnationSchema,
  serverIdSchema,
  serviceIdSchema,
  vmIdSchema,
} from "./ids.ts";

/** Most slices, keys and servers in one report. */
export const SERVICE_LOAD_LIMITS = { slices: 48, keys: 24, servers: 32 };

/** Schema of {@link ServiceLoad}. */
export const serviceLoadSchema = z.strictObject({
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  service: serviceIdSchema,
  /** Rate of all requests that this VM forwarded, decayed over time. */
  requestsPerSecond: z.number().min(0),
  /** The hottest slices, without the load of the keys in `keys`. */
  slices: z.array(
    z.strictObject({
      fromHash: z.number().int().min(0),
      toHash: z.number().int().min(1),
      requestsPerSecond: z.number().min(0),
    }),
  ).max(SERVICE_LOAD_LIMITS.slices),
  /** The hottest keys by hash; the rates are lower bounds. */
  keys: z.array(
    z.strictObject({
      hash: z.number().int().min(0),
      requestsPerSecond: z.number().min(0),
    }),
  ).max(SERVICE_LOAD_LIMITS.keys),
  /** Mean service time of a request at each server, without time in a queue. */
  servers: z.array(
    z.strictObject({ server: serverIdSchema, workMs: z.number().min(0) }),
  ).max(SERVICE_LOAD_LIMITS.servers),
});
/** One entry VM's view of a keyed service's load. */
export type ServiceLoad = z.infer<typeof serviceLoadSchema>;

/** Schema of {@link ServiceLoadReply}. */
export const serviceLoadReplySchema = z.strictObject({ taken: z.boolean() });
/** Reply to a {@link ServiceLoad}. */
export type ServiceLoadReply = z.infer<typeof serviceLoadReplySchema>;
