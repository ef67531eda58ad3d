/**
 * Branded identifiers. A brand keeps one kind of id from being passed as
 * another; at run time each is a plain string.
 */
import * as z from "zod";

const idText = z.string().min(1).max(200).regex(/^[A-Za-z0-9._:\-]+$/)
  .refine((text) => !(text in Object.prototype), {
    error: "Reserved: every object has a member of this name",
  });

/** Schema of {@link VmId}. */
export const vmIdSchema = idText.brand<"VmId">();
/** An entry VM, as named in its settings and in the platform's VM list. */
export type VmId = z.infer<typeof vmIdSchema>;

/** Schema of {@link Incarnation}. */
export const incarnationSchema = idText.brand<"Incarnation">();
/**
 * One incarnation of the process on an entry VM. Each start draws a new value,
 * so that peers can tell a restarted process from the one it replaced.
 */
export type Incarnation = z.infer<typeof incarnationSchema>;

/** Schema of {@link ZoneId}. */
export const zoneIdSchema = idText.brand<"ZoneId">();
/** An availability zone. */
export type ZoneId = z.infer<typeof zoneIdSchema>;

/** Schema of {@link RegionId}. */
export const regionIdSchema = idText.brand<"RegionId">();
/** A region: several availability zones near each other. */
export type RegionId = z.infer<typeof regionIdSchema>;

/** Schema of {@link ServiceId}. */
export const serviceIdSchema = idText.brand<"ServiceId">();
/** A service that callers address, for example `availability`. */
export type ServiceId = z.infer<typeof serviceIdSchema>;

/** Schema of {@link ServerId}. */
export const serverIdSchema = idText.brand<"ServerId">();
/** A backend server: one endpoint of one service. */
export type ServerId = z.infer<typeof serverIdSchema>;

/** Schema of {@link PartnerId}. */
export const partnerIdSchema = idText.brand<"PartnerId">();
/** A partner of the joint venture, who owns services and cost shares. */
export type PartnerId = z.infer<typeof partnerIdSchema>;

/** Schema of {@link CallerId}. */
export const callerIdSchema = idText.brand<"CallerId">();
/** A caller, identified by its token, header or address. */
export type CallerId = z.infer<typeof callerIdSchema>;

/** Schema of {@link RequestFingerprint}. */
export const requestFingerprintSchema = z.string().regex(/^[0-9a-f]{32}$/)
  .brand<"RequestFingerprint">();
/** Hash of a request's content, the same for all attempts to send it. */
export type RequestFingerprint = z.infer<typeof requestFingerprintSchema>;

/** Schema of {@link RequestId}. */
export const requestIdSchema = idText.brand<"RequestId">();
/** One attempt of one request; an answer counts only if it carries this id. */
export type RequestId = z.infer<typeof requestIdSchema>;

/** Schema of {@link SliceId}. */
export const sliceIdSchema = idText.brand<"SliceId">();
/** A range of key hashes, named by its bounds; see `sliceIdOf`. */
export type SliceId = z.infer<typeof sliceIdSchema>;
