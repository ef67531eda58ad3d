/**
 * Messages between entry VMs about slots of unkeyed services. An entry VM sends
 * `slots-update` to the dispatcher of a service. Decisions are returned in the
 * reply or, for requests that had to wait, sent in `slots-decided`.
 */
import { incarnationSchema, serverIdSchema } from "@guavatide/contracts";
import { serviceIdSchema, vmIdSchema } from "@guavatide/contracts";
import * as z from "zod";

/** Method of {@link SlotsUpdate}. */
export const SLOTS_UPDATE_METHOD = "slots-update";
/** Method of {@link SlotsDecided}. */
export const SLOTS_DECIDED_METHOD = "slots-decided";

const inFlightSchema = z.number().int().min(0).optional();
const requestLimitSchema = z.number().min(0).nullable().optional();

const attemptOutcomeSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("answer"),
    inFlight: inFlightSchema,
    requestLimit: requestLimitSchema,
  }),
  z.strictObject({
    kind: z.literal("refusal"),
    refusal: z.enum(["not-owner", "busy", "draining", "deadline", "cold"]),
    inFlight: inFlightSchema,
    requestLimit: requestLimitSchema,
    retryAfterMs: z.number().min(0).optional(),
  }),
  z.strictObject({
    kind: z.literal("failure"),
    cause: z.enum(["not-connected", "timeout", "broken"]),
  }),
  z.strictObject({ kind: z.literal("abandoned") }),
]);

const slotRequestMessageSchema = z.strictObject({
  /** Number that the sender assigned to the request. */
  wish: z.number().int(),
  /** Time until the deadline of the request. */
  timeLeftMs: z.number(),
  tenant: z.string(),
  /** Servers that must not be granted. */
  tried: z.array(serverIdSchema),
});
/** A request for a slot. */
export type SlotRequestMessage = z.infer<typeof slotRequestMessageSchema>;

const slotReleaseSchema = z.strictObject({
  /** Number that the dispatcher assigned to the grant. */
  grant: z.number().int(),
  end: attemptOutcomeSchema,
});
/** Release of a granted slot. */
export type SlotRelease = z.infer<typeof slotReleaseSchema>;

/** Schema of {@link SlotsUpdate}. */
export const slotsUpdateSchema = z.strictObject({
  service: serviceIdSchema,
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  /** Incarnation of the dispatcher that issued the grants in `ended`. */
  dispatcher: incarnationSchema.optional(),
  /** New requests for slots. */
  wants: z.array(slotRequestMessageSchema),
  /** Numbers of requests that need no slot any more. */
  withdrawn: z.array(z.number().int()),
  /** Grants whose attempts have ended. */
  ended: z.array(slotReleaseSchema),
  /** All grants of this dispatcher that the sender still holds. */
  held: z.array(z.number().int()),
});
/** Changes at an entry VM since its last update. */
export type SlotsUpdate = z.infer<typeof slotsUpdateSchema>;

const slotDecisionSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("granted"),
    wish: z.number().int(),
    grant: z.number().int(),
    server: serverIdSchema,
  }),
  z.strictObject({
    kind: z.literal("refused"),
    wish: z.number().int(),
    reason: z.enum(["queue-full", "no-server"]),
    retryAfterMs: z.number().optional(),
  }),
]);
/** The dispatcher's decision on one request for a slot. */
export type SlotDecision = z.infer<typeof slotDecisionSchema>;

/** Schema of {@link SlotsDecided}. */
export const slotsDecidedSchema = z.strictObject({
  service: serviceIdSchema,
  /** The entry VM of the dispatcher. */
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  decisions: z.array(slotDecisionSchema),
});
/** Decisions of a dispatcher. */
export type SlotsDecided = z.infer<typeof slotsDecidedSchema>;

/** Schema of the reply to {@link SlotsDecided}. */
export const slotsDecidedReplySchema = z.strictObject({});
