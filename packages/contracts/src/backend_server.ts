/**
 * What this system asks of a backend server. Work goes over
 * `POST|GET /serve/...`, ownership over `POST /control/ownership`, load over
 * `GET /control/load`, cancellation over `DELETE /control/requests/<id>`.
 */
import type { ResultAsync } from "neverthrow";
import * as z from "zod";
import { serverIdSchema, serviceIdSchema, sliceIdSchema } from "./ids.ts";
import type { CallOptions } from "./platform_store.ts";

/** Request and response header with the id of one attempt. */
export const REQUEST_ID_HEADER = "guavatide-request-id";
/** Request header: time left until the caller's deadline, in milliseconds. */
export const DEADLINE_HEADER = "guavatide-deadline-ms";
/** Request header: the slice the sender believes the key to lie in. */
export const SLICE_HEADER = "guavatide-slice";
/** Request header: fence of that slice. */
export const FENCE_HEADER = "guavatide-fence";
/** Response header by which a server proves that it did not run a request. */
export const NOT_RUN_HEADER = "guavatide-not-run";
/**
 * Response header with the server's monotonic clock: its instance, a slash,
 * milliseconds.
 */
export const STAMP_HEADER = "guavatide-stamp";
/**
 * Request header in the same form: the moment on the server's own clock from
 * which on it neither begins the request nor lets it take effect. Sent for
 * keyed requests to servers that check no fences, once a stamp is known.
 */
export const DEADLINE_STAMP_HEADER = "guavatide-deadline-stamp";
/** Response header with requests in flight at the server, fresh. */
export const IN_FLIGHT_HEADER = "guavatide-in-flight";

/** Why a server refused; the value of {@link NOT_RUN_HEADER}. */
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
  /** Assignment revision. A server ignores one below the highest it saw. */
  revision: z.number().int().min(1),
  /**
   * The server's own clock as it gave it in an earlier reply. The lease ends
   * at `stampMs + leaseMs` on that clock, so that an order that was delayed
   * on its way never extends a lease from its arrival. Absent in a first
   * order: the server then answers with its stamp and grants itself nothing.
   */
  stampMs: z.number().optional(),
  /** The run of the server process that gave the stamp. */
  stampInstance: z.string().optional(),
  leaseMs: z.number().int().min(1),
  /** All slices the server owns at this revision; others it lets go. */
  slices: z.array(leasedSliceSchema),
});
/** Grants, renews and takes away ownership: the whole set, each time. */
export type LeaseCommand = z.infer<typeof leaseCommandSchema>;

/** Schema of {@link LeaseCommandReply}. */
export const leaseCommandReplySchema = z.strictObject({
  /** Drawn anew at each start of the server process. */
  instance: z.string().min(1),
  /** The server's monotonic clock now. */
  stampMs: z.number(),
  /** Highest revision the server has seen in this run. */
  revision: z.number().int().min(0),
  /** False when the order was stale, or its stamp unknown or too old. */
  accepted: z.boolean(),
  /** Slices let go whose requests are still running, with their count. */
  releasing: z.array(
    z.strictObject({ slice: sliceIdSchema, inFlight: z.number().int() }),
  ),
  /** The server wishes to leave and takes no new work. */
  draining: z.boolean(),
  /** Whether the server checks fences; false means our side must. */
  checksFences: z.boolean(),
});
/** A server's answer to an {@link LeaseCommand}. */
export type LeaseCommandReply = z.infer<typeof leaseCommandReplySchema>;

/** Schema of {@link LoadReport}. */
export const loadReportSchema = z.strictObject({
  inFlight: z.number().int().min(0),
  slots: z.number().int().min(1),
  /** How old the figures are by the server's word; it may mislead. */
  ageMs: z.number().min(0),
  draining: z.boolean(),
  healthy: z.boolean(),
});
/** A server's load; it may lag or mislead. */
export type LoadReport = z.infer<typeof loadReportSchema>;

/** Why a call to a server's control side failed. */
export interface ServerCallError {
  /** `kept`: nothing was sent. */
  readonly kind: "unreachable" | "timeout" | "bad-answer" | "kept";
  readonly message: string;
}

/** Control side of a backend server. */
export interface BackendControl {
  sendLeaseCommand(
    order: LeaseCommand,
    options: CallOptions,
  ): ResultAsync<LeaseCommandReply, ServerCallError>;
  load(options: CallOptions): ResultAsync<LoadReport, ServerCallError>;
}
