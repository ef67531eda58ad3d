/**
 * Ownership of key ranges at backend servers that take grants with a length
 * of time but without a stamp of their own clock: the time runs from a grant's
 * arrival, and a grant that was not answered may take effect later.
 */
import type { ResultAsync } from "neverthrow";
import * as z from "zod";
import type { ServerCallError } from "./backend_server.ts";
import { serverIdSchema, serviceIdSchema, vmIdSchema } from "./ids.ts";
import type { CallOptions } from "./platform_store.ts";
import type { RegisteredServer } from "./registered_server.ts";

/** Number of keys: they are whole numbers from 0 to one below this. */
export const KEY_COUNT = 65_536;

/** Keys from `fromKey` to `toKey`, both inclusive. */
export interface KeyRange {
  readonly fromKey: number;
  readonly toKey: number;
}

/** Makes a backend server the owner of a range for a time, or renews it. */
export interface KeyGrant extends KeyRange {
  readonly fence: number;
  /** Runs from the arrival at the server, on a clock that may be 2% slow. */
  readonly holdMs: number;
  /** What the last owner gave when it let go of the range. */
  readonly handover: string | undefined;
}

/** What a backend server said to a grant. */
export type GrantAnswer = "granted" | "fenced-off" | "refused";

/** Options of a grant call. */
export interface GrantCallOptions extends CallOptions {
  /** Called right before the bytes leave; false keeps the grant here. */
  readonly maySend?: () => boolean;
}

/** Grant calls of one platform. */
export interface GrantControl {
  /** Errors: no answer in time, and the grant may take effect; or kept here. */
  grant(
    server: RegisteredServer,
    grant: KeyGrant,
    options: GrantCallOptions,
  ): ResultAsync<GrantAnswer, ServerCallError>;
  /**
   * Stops new work on a range at once and returns, when the running work has
   * ended, the handover for the next owner.
   */
  release(
    server: RegisteredServer,
    range: KeyRange & { readonly fence: number },
    options: CallOptions,
  ): ResultAsync<string | undefined, ServerCallError>;
  close(): Promise<void>;
}

/** Schema of {@link RangeOwner}. */
export const rangeOwnerSchema = z.object({
  server: serverIdSchema,
  /** Life of the server's id: Unix time of its start in milliseconds. */
  bornMs: z.number().int(),
});
/** One life of a backend server that owns a range. */
export type RangeOwner = z.infer<typeof rangeOwnerSchema>;

/** Schema of {@link RangeState}. */
export const rangeStateSchema = z.object({
  fromKey: z.number().int().min(0).max(KEY_COUNT - 1),
  toKey: z.number().int().min(0).max(KEY_COUNT - 1),
  /** The owner, or the next one while `vacating` is there. */
  owner: rangeOwnerSchema,
  /** Fence of the owner's grants; only rises for a key. */
  fence: z.number().int().min(1),
  /** The owner that has to let go first, with its fence. */
  vacating: rangeOwnerSchema.extend({
    fence: z.number().int().min(1),
    /** Revision of the map that took the range from it. */
    revision: z.number().int().min(1),
  }).optional(),
});
/** A range of keys and who owns it. */
export type RangeState = z.infer<typeof rangeStateSchema>;

/** Schema of {@link RangeMap}. */
export const rangeMapSchema = z.object({
  service: serviceIdSchema,
  /** Rises by one with each change. */
  revision: z.number().int().min(1),
  /** Highest fence given out so far. */
  lastFence: z.number().int().min(0),
  /** Drawn anew for each write: recognises one's own write after a lost reply. */
  nonce: z.string().min(1),
  /**
   * Sets of keepers, oldest first; the last is in force. An earlier one stays
   * until a majority of it knows the present revision.
   */
  keeperSets: z.array(z.array(vmIdSchema).min(1)).min(1),
  /**
   * Length of a grant, in milliseconds; it never falls, so that no earlier
   * grant outlasts it. Absent in maps of services with short work.
   */
  holdMs: z.number().int().min(1).optional(),
  /** In order, without gap or overlap, covering all keys. */
  ranges: z.array(rangeStateSchema).min(1),
});
/** Who owns the keys of one service, as kept in the platform's store. */
export type RangeMap = z.infer<typeof rangeMapSchema>;
