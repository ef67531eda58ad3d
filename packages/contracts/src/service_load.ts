/**
 * What an entry VM tells the holder of control duty about the load of one
 * keyed service. The size is bounded whatever the number of slices and keys:
 * the hottest are named, the others come as one sum.
 */
import * as z from "zod";
import {
  incarnationSchema,
  serverIdSchema,
  serviceIdSchema,
  vmIdSchema,
} from "./ids.ts";

/** Slices, keys and servers named in one report, at most. */
export const SERVICE_LOAD_LIMITS = { slices: 48, keys: 24, servers: 32 };

/** Schema of {@link ServiceLoad}. */
export const serviceLoadSchema = z.strictObject({
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  service: serviceIdSchema,
  /** Of all requests that this VM forwarded, decayed over time. */
  requestsPerSecond: z.number().min(0),
  /** The hottest slices, without the keys named in `keys`. */
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
  /** Mean time a request takes at a server that has a slot free for it. */
  servers: z.array(
    z.strictObject({ server: serverIdSchema, workMs: z.number().min(0) }),
  ).max(SERVICE_LOAD_LIMITS.servers),
});
/** One entry VM's view of a keyed service's load. */
export type ServiceLoad = z.infer<typeof serviceLoadSchema>;

/** Schema of {@link ServiceLoadReply}. */
export const serviceLoadReplySchema = z.strictObject({ taken: z.boolean() });
/** Answer to a {@link ServiceLoad}. */
export type ServiceLoadReply = z.infer<typeof serviceLoadReplySchema>;
