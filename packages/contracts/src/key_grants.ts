/**
 * Grants of key ranges to backend servers that take a lease duration without a
 * stamp of their own clock: the lease runs from the arrival of a grant, and a
 * grant without an answer may take effect later.
 */
import type { ResultAsync } from "neverthrow";
import * as z from "zod";
import type { ServerCallError } from "./backend_server.ts";
import { serverIdSchema, serviceIdSchema, vmIdSchema } from "./ids.ts";
import type { CallOptions } from "./platform_store.ts";
import type { RegisteredServer } from "./registered_server.ts";
import type { ServerNotices } from "./server_report.ts";

/** Number of keys: whole numbers from 0 up to, but not including, this. */
export const KEY_COUNT = 65_536;

/** Keys from `fromKey` to `toKey`, both inclusive. */
export interface KeyRange {
  readonly fromKey: number;
  readonly toKey: number;
}

/** Grants a range to a backend server for a time, or renews the grant. */
export interface KeyGrant extends KeyRange {
  readonly fence: number;
  /**
   * Lease duration in milliseconds. Runs from the arrival at the server, on a
   * clock that may be 2% slow.
   */
  readonly holdMs: number;
  /** Handover data that the last owner returned when it released the range. */
  readonly handover: string | undefined;
}

/** A backend server's answer to a grant. */
export type GrantAnswer =
  | "granted"
  | "fenced-off"
  | "refused"
  /** Not granted: the server has asked for no calls for a time. */
  | "backing-off";

/** Where the answer to a grant or release call came from. */
export interface AnswerSource {
  /** Local port of the connection; undefined when it is not known. */
  readonly localPort: number | undefined;
  /** Calls that the connection carried before this one. */
  readonly callsBefore: number;
  /** Id of the call that the answer names; undefined for none. */
  readonly namedCall: string | undefined;
}

/** Options of a grant or release call. */
export interface GrantCallOptions extends CallOptions {
  /**
   * Called right before the bytes are sent; false keeps the call from being
   * sent. A call that fails before this is called counts as not sent.
   */
  readonly maySend?: () => boolean;
  /** Called with what the server says of itself beside its answer. */
  readonly onNotices?: (notices: ServerNotices) => void;
  /** Called with the source of the answer, or of an answer that is discarded. */
  readonly onAnswerSource?: (source: AnswerSource) => void;
  /**
   * Called after an answer when its connection shows that it may have been that
   * of another call: the call then counts as not answered.
   */
  readonly onAnswerDoubted?: (reason: string) => void;
}

/** Grant calls of one platform. */
export interface GrantControl {
  /**
   * Errors: no answer in time, and the grant may still take effect; or not
   * sent.
   */
  grant(
    server: RegisteredServer,
    grant: KeyGrant,
    options: GrantCallOptions,
  ): ResultAsync<GrantAnswer, ServerCallError>;
  /**
   * Stops new requests on a range at once. Returns the handover data for the
   * next owner when the running requests have ended.
   */
  release(
    server: RegisteredServer,
    range: KeyRange & { readonly fence: number },
    options: GrantCallOptions,
  ): ResultAsync<string | undefined, ServerCallError>;
  close(): Promise<void>;
}

/** Schema of {@link RangeOwner}. */
export const rangeOwnerSchema = z.object({
  server: serverIdSchema,
  /**
   * Unix time of the server's start in milliseconds, which identifies its
   * incarnation.
   */
  bornMs: z.number().int(),
});
/** One incarnation of a backend server that owns a range. */
export type RangeOwner = z.infer<typeof rangeOwnerSchema>;

/** Schema of {@link RangeState}. */
export const rangeStateSchema = z.object({
  fromKey: z.number().int().min(0).max(KEY_COUNT - 1),
  toKey: z.number().int().min(0).max(KEY_COUNT - 1),
  /** The owner, or the next owner while `vacating` is set. */
  owner: rangeOwnerSchema,
  /** Fencing token of the owner's grants; only rises for a key. */
  fence: z.number().int().min(1),
  /**
   * The earlier owner that has to release the range first, with its fencing
   * token.
   */
  vacating: rangeOwnerSchema.extend({
    fence: z.number().int().min(1),
    /** Revision of the map that took the range from it. */
    revision: z.number().int().min(1),
  }).optional(),
});
/** A range of keys and its owner. */
export type RangeState = z.infer<typeof rangeStateSchema>;

/** Schema of {@link RangeMap}. */
export const rangeMapSchema = z.object({
  service: serviceIdSchema,
  /** Rises by one with each change. */
  revision: z.number().int().min(1),
  /** Highest fencing token used so far. */
  lastFence: z.number().int().min(0),
  /**
   * Random for each write, to recognize the VM's own write after a lost reply.
   */
  nonce: z.string().min(1),
  /**
   * Voter sets, oldest first; the last one is active. An earlier one stays
   * until a majority of it has acknowledged that it is no longer active, and
   * the leases that its voters granted have expired.
   */
  keeperSets: z.array(z.array(vmIdSchema).min(1)).min(1),
  /**
   * Lease duration of the grants, in milliseconds; it never falls, so that no
   * earlier grant outlasts it. Absent in maps of services with short requests.
   */
  holdMs: z.number().int().min(1).optional(),
  /**
   * Longer lease durations of single servers, in milliseconds. One never falls
   * while its server owns or vacates a range.
   */
  serverHoldMs: z.record(z.string(), z.number().int().min(1)).optional(),
  /** Sorted, without gap or overlap, covering all keys. */
  ranges: z.array(rangeStateSchema).min(1),
});
/** The owners of one service's keys, as stored in the platform's store. */
export type RangeMap = z.infer<typeof rangeMapSchema>;
