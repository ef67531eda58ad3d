/**
 * The assignment of one service's key slices to backend servers, as kept in
 * the platform's store. One object for each service; its store version is the
 * guard of every conditional update, and `revision` rises by one with each.
 *
 * A slice is `owned` or `vacating`. `owned` in the store means that nobody
 * else can still hold a lease for it, so any keeper with evidence for that
 * revision may grant it. A move therefore takes two updates: the first takes
 * the slice from its owner (`vacating`), the second, written only when the
 * old owner has released it or has been waited out, gives it to the next.
 */
import * as z from "zod";
import {
  incarnationSchema,
  serverIdSchema,
  serviceIdSchema,
  type SliceId,
  vmIdSchema,
} from "./ids.ts";

/** Size of the hash space; a key's hash is at least 0 and below this. */
export const HASH_SPACE = 2 ** 32;

/** Schema of {@link Slice}. */
export const sliceSchema = z.strictObject({
  /** First hash of the range. */
  fromHash: z.number().int().min(0).max(HASH_SPACE - 1),
  /** One past the last hash of the range. */
  toHash: z.number().int().min(1).max(HASH_SPACE),
  state: z.enum(["owned", "vacating"]),
  /** The owner when `owned`; the intended next owner when `vacating`. */
  server: serverIdSchema,
  /** Revision that gave the slice its present owner. Only rises. */
  fence: z.number().int().min(0),
  /** When `vacating`: every server that may still hold a lease. */
  from: z.array(serverIdSchema),
});
/** A range of key hashes and who owns it. */
export type Slice = z.infer<typeof sliceSchema>;

/** Schema of {@link Voter}. */
export const voterSchema = z.strictObject({ vm: vmIdSchema });
/** An entry VM that answers whether an assignment revision is current. */
export type Voter = z.infer<typeof voterSchema>;

/** Schema of {@link LeaseTimings}. */
export const leaseTimingsSchema = z.strictObject({
  /** How long evidence for the revision is good. */
  evidenceMs: z.number().int().min(1),
  /** Lease that an order of the revision gives. */
  leaseMs: z.number().int().min(1),
  /** Largest relative difference in rate between two clocks. */
  clockRateMargin: z.number().min(0).max(0.5),
});
/** What a mover has to wait out; every process acts on the same. */
export type LeaseTimings = z.infer<typeof leaseTimingsSchema>;

/** Schema of {@link Assignment}. */
export const assignmentSchema = z.strictObject({
  service: serviceIdSchema,
  revision: z.number().int().min(1),
  /** Process that wrote this revision, to recognise one's own lost reply. */
  writer: vmIdSchema,
  writerIncarnation: incarnationSchema,
  /** Drawn anew for each write, for the same purpose. */
  nonce: z.string().min(1),
  /**
   * Keeper sets, oldest first; the last one is in force. An earlier set stays
   * until a majority of it has promised to know of a newer revision.
   */
  keeperSets: z.array(z.array(voterSchema).min(1)).min(1),
  /** In order of `fromHash`, without gap or overlap, covering all hashes. */
  slices: z.array(sliceSchema).min(1),
  /**
   * Owners that are not known to check fences. Kept here because a mover that
   * has just taken over cannot ask a server that is lost.
   */
  unfencedServers: z.array(serverIdSchema).optional(),
  /**
   * Timings, oldest first; the last ones are in force. Earlier ones stay until
   * no lease by them can be left, and movers wait out the longest.
   */
  leaseTimings: z.array(leaseTimingsSchema).min(1).optional(),
});
/** The assignment of one service. */
export type Assignment = z.infer<typeof assignmentSchema>;

/** The id of a slice: its bounds in hexadecimal. */
export function sliceIdOf(slice: Pick<Slice, "fromHash" | "toHash">): SliceId {
  const from = slice.fromHash.toString(16);
  const to = slice.toHash.toString(16);
  return `${from}-${to}` as SliceId;
}
