/**
 * The assignment of one service's key slices to backend servers, as stored in
 * the platform's store: one object for each service. Every update is
 * conditional on the object's store version and raises `revision` by one.
 *
 * A slice is `owned` or `vacating`. `owned` means that no other server can
 * still hold a lease for it, so any entry VM with a confirmation of that
 * revision may grant it. A handover therefore takes two updates: the first
 * takes the slice from its owner (`vacating`). The second grants it to the next
 * owner, and is written only when the earlier one has released it or its leases
 * have expired.
 */
import * as z from "zod";
import {
  incarnationSchema,
  serverIdSchema,
  serviceIdSchema,
  type SliceId,
  vmIdSchema,
} from "./ids.ts";

/** Size of the hash space: a key's hash is at least 0 and below this. */
export const HASH_SPACE = 2 ** 32;

/** Schema of {@link Slice}. */
export const sliceSchema = z.strictObject({
  /** First hash of the range. */
  fromHash: z.number().int().min(0).max(HASH_SPACE - 1),
  /** End of the range, exclusive. */
  toHash: z.number().int().min(1).max(HASH_SPACE),
  state: z.enum(["owned", "vacating"]),
  /** The owner when `owned`; the intended next owner when `vacating`. */
  server: serverIdSchema,
  /**
   * Fencing token: the revision that granted the slice to its owner. Only
   * rises.
   */
  fence: z.number().int().min(0),
  /** When `vacating`: every server that may still hold a lease. */
  from: z.array(serverIdSchema),
});
/** A range of key hashes and who owns it. */
export type Slice = z.infer<typeof sliceSchema>;

/** Schema of {@link Voter}. */
export const voterSchema = z.strictObject({ vm: vmIdSchema });
/**
 * A voter: an entry VM of a set whose majority confirms that an assignment
 * revision is current.
 */
export type Voter = z.infer<typeof voterSchema>;

/** Schema of {@link LeaseTimings}. */
export const leaseTimingsSchema = z.strictObject({
  /**
   * Time for which a confirmation of the revision is valid, in milliseconds.
   */
  evidenceMs: z.number().int().min(1),
  /**
   * Duration of the leases that a command of the revision grants, in
   * milliseconds.
   */
  leaseMs: z.number().int().min(1),
  /** Largest relative difference between the rates of two clocks. */
  clockRateMargin: z.number().min(0).max(0.5),
});
/**
 * Timings of leases; all processes act on the ones that the assignment lists.
 */
export type LeaseTimings = z.infer<typeof leaseTimingsSchema>;

/** Schema of {@link Assignment}. */
export const assignmentSchema = z.strictObject({
  service: serviceIdSchema,
  revision: z.number().int().min(1),
  /**
   * VM that wrote this revision, to recognize its own write after a lost reply.
   */
  writer: vmIdSchema,
  writerIncarnation: incarnationSchema,
  /** Random for each write, for the same purpose. */
  nonce: z.string().min(1),
  /**
   * Voter sets, oldest first; the last one is active. An earlier set stays
   * until a majority of it has acknowledged a newer revision.
   */
  keeperSets: z.array(z.array(voterSchema).min(1)).min(1),
  /** Sorted by `fromHash`, without gap or overlap, covering all hashes. */
  slices: z.array(sliceSchema).min(1),
  /**
   * Owners that are not known to check fences. Stored because a leader that has
   * just taken over cannot ask a failed server.
   */
  unfencedServers: z.array(serverIdSchema).optional(),
  /**
   * Timings, oldest first; the last ones are active. Earlier ones stay until no
   * lease granted by them can remain, and handovers wait for the longest.
   */
  leaseTimings: z.array(leaseTimingsSchema).min(1).optional(),
});
/** The assignment of one service. */
export type Assignment = z.infer<typeof assignmentSchema>;

/** The id of a slice: its bounds in hexadecimal, such as `0-100`. */
export function sliceIdOf(slice: Pick<Slice, "fromHash" | "toHash">): SliceId {
  const start = slice.fromHash.toString(16);
  const end = slice.toHash.toString(16);
  return `${start}-${end}` as SliceId;
}
