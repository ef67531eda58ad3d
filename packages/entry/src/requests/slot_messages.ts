/**
 * Messages between entry VMs for slots of unkeyed services. An entry VM sends
 * `slots-update` to the dispatcher of a service; decisions come back in the
 * answer or, when the request had to wait, in `slots-decided`.
 */
import { incarnationSchema, serverIdSchema } from "@guavatide/contracts";
import { serviceIdSchema, vmIdSchema } from "@guavatide/contracts";
import * as z from "zod";

/** Method of {@link SlotsUpdate}. */
export const SLOTS_UPDATE_METHOD = "slots-update";
/** Method of {@link SlotsDecided}. */
export const SLOTS_DECIDED_METHOD = "slots-decided";

const inFlightSchema = z.number().int().min(0).optional();

const attemptOutcomeSchema = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("answer"), inFlight: inFlightSchema }),
  z.strictObject({
    kind: z.literal("refusal"),
    refusal: z.enum(["not-owner", "busy", "draining", "deadline", "cold"]),
    inFlight: inFlightSchema,
  }),
  z.strictObject({
    kind: z.literal("failure"),
    cause: z.enum(["not-connected", "timeout", "broken"]),
  }),
  z.strictObject({ kind: z.literal("abandoned") }),
]);

const slotRequestMessageSchema = z.strictObject({
  /** Number of the request, drawn by the sender. */
  wish: z.number().int(),
  timeLeftMs: z.number(),
  tenant: z.string(),
  tried: z.array(serverIdSchema),
});
/** A request that wants a slot. */
export type SlotRequestMessage = z.infer<typeof slotRequestMessageSchema>;

const slotReleaseSchema = z.strictObject({
  /** Number of the grant, drawn by the dispatcher. */
  grant: z.number().int(),
  end: attemptOutcomeSchema,
});
/** A granted slot that is free again. */
export type SlotRelease = z.infer<typeof slotReleaseSchema>;

/** Schema of {@link SlotsUpdate}. */
export const slotsUpdateSchema = z.strictObject({
  service: serviceIdSchema,
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  /** Run of the dispatcher that the grants in `ended` are from. */
  dispatcher: incarnationSchema.optional(),
  wants: z.array(slotRequestMessageSchema),
  withdrawn: z.array(z.number().int()),
  ended: z.array(slotReleaseSchema),
  /** Every grant of this dispatcher that the sender has in use. */
  held: z.array(z.number().int()),
});
/** What changed at an entry VM since its last update. */
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
/** The dispatcher's answer to one want. */
export type SlotDecision = z.infer<typeof slotDecisionSchema>;

/** Schema of {@link SlotsDecided}. */
export const slotsDecidedSchema = z.strictObject({
  service: serviceIdSchema,
  /** The dispatcher. */
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  decisions: z.array(slotDecisionSchema),
});
/** Decisions of a dispatcher. */
export type SlotsDecided = z.infer<typeof slotsDecidedSchema>;

/** Answer to {@link SlotsDecided}. */
export const slotsDecidedReplySchema = z.strictObject({});
