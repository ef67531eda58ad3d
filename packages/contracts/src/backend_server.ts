/**
 * The API of a backend server. Requests go to `POST|GET /serve/...`, lease
 * commands to `POST /control/ownership`, load reports come from `GET
 * /control/load`, and `DELETE /control/requests/<id>` cancels a request.
 */
import type { ResultAsync } from "neverthrow";
import * as z from "zod";
import { serverIdSchema, serviceIdSchema, sliceIdSchema } from "./ids.ts";
import type { CallOptions } from "./platform_store.ts";

/** Request and response header: id of one attempt. */
export const REQUEST_ID_HEADER = "guavatide-request-id";
/** Request header: time left until the caller's deadline, in milliseconds. */
export const DEADLINE_HEADER = "guavatide-deadline-ms";
/** Request header: the slice that the sender expects the key to be in. */
export const SLICE_HEADER = "guavatide-slice";
/** Request header: fencing token of that slice. */
export const FENCE_HEADER = "guavatide-fence";
/** Response header: proves that the server did not run the request. */
export const NOT_RUN_HEADER = "guavatide-not-run";
/**
 * Response header: the server's monotonic clock, as its instance, a slash and
 * milliseconds.
 */
export const STAMP_HEADER = "guavatide-stamp";
/**
 * Request header in the same form: the time on the server's own clock from
 * which on it neither starts the request nor lets it take effect. Sent with
 * keyed requests to servers that do not check fences, once a stamp is known.
 */
export const DEADLINE_STAMP_HEADER = "guavatide-deadline-stamp";
/** Response header: the server's current number of requests in flight. */
export const IN_FLIGHT_HEADER = "guavatide-in-flight";
/**
 * Response header of a server in need: requests a second, as a decimal number,
 * that it takes from all entry VMs together for as long as its answers say so.
 */
export const REQUEST_LIMIT_HEADER = "guavatide-request-limit";

/** Why a server refused a request; the value of {@link NOT_RUN_HEADER}. */
export type ServerRefusal =
  | "not-owner"
  | "busy"
  | "draining"
  | "deadline"
  | "cold";

/** Schema of {@link LeasedSlice}. */
export const leasedSliceSchema = z.strictObject({
  slice: sliceIdSchema,
  fromHash: z.number().int().min(0),
  toHash: z.number().int().min(1),
  fence: z.number().int().min(1),
});
/** A slice that a server owns. */
export type LeasedSlice = z.infer<typeof leasedSliceSchema>;

/** Schema of {@link LeaseCommand}. */
export const leaseCommandSchema = z.strictObject({
  service: serviceIdSchema,
  server: serverIdSchema,
  /**
   * Assignment revision. A server ignores a command below the highest revision
   * it has seen.
   */
  revision: z.number().int().min(1),
  /**
   * The server's clock as it reported it in an earlier reply, in milliseconds.
   * The lease ends at `stampMs + leaseMs` on that clock, so that a delayed
   * command never extends a lease from its arrival. Absent in the first
   * command: the server then replies with its stamp and owns nothing yet.
   */
  stampMs: z.number().optional(),
  /** Instance of the server process that reported the stamp. */
  stampInstance: z.string().optional(),
  leaseMs: z.number().int().min(1),
  /**
   * All slices that the server owns at this revision; it releases all others.
   */
  slices: z.array(leasedSliceSchema),
});
/** Grants, renews and revokes leases; always contains the whole set. */
export type LeaseCommand = z.infer<typeof leaseCommandSchema>;

/** Schema of {@link LeaseCommandReply}. */
export const leaseCommandReplySchema = z.strictObject({
  /** Random at each start of the server process. */
  instance: z.string().min(1),
  /** The server's monotonic clock now, in milliseconds. */
  stampMs: z.number(),
  /** Highest revision that this instance has seen. */
  revision: z.number().int().min(0),
  /** False when the command was stale, or its stamp unknown or too old. */
  accepted: z.boolean(),
  /** Released slices whose requests still run, with their number. */
  releasing: z.array(
    z.strictObject({ slice: sliceIdSchema, inFlight: z.number().int() }),
  ),
  /** The server is shutting down and takes no new requests. */
  draining: z.boolean(),
  /**
   * Whether the server checks fencing tokens; if not, a handover from it has to
   * stop the entry VMs from forwarding to it.
   */
  checksFences: z.boolean(),
});
/** A server's reply to a {@link LeaseCommand}. */
export type LeaseCommandReply = z.infer<typeof leaseCommandReplySchema>;

/** Schema of {@link LoadReport}. */
export const loadReportSchema = z.strictObject({
  inFlight: z.number().int().min(0),
  slots: z.number().int().min(1),
  /** Age of the figures as the server reports it; it may be wrong. */
  ageMs: z.number().min(0),
  draining: z.boolean(),
  healthy: z.boolean(),
});
/** A server's load; it may be outdated or wrong. */
export type LoadReport = z.infer<typeof loadReportSchema>;

/** Why a control call to a server failed. */
export interface ServerCallError {
  /**
   * `misdirected`: another process is at the server's address; `kept`: nothing
   * was sent.
   */
  readonly kind:
    | "unreachable"
    | "timeout"
    | "bad-answer"
    | "misdirected"
    | "kept";
  readonly message: string;
}

/** Control API of a backend server. */
export interface BackendControl {
  sendLeaseCommand(
    order: LeaseCommand,
    options: CallOptions,
  ): ResultAsync<LeaseCommandReply, ServerCallError>;
  load(options: CallOptions): ResultAsync<LoadReport, ServerCallError>;
}
