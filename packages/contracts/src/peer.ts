/**
 * Messages between entry VMs. One heartbeat serves membership, evidence that
 * an assignment revision is current, and the spread of newer revisions.
 * Carried as JSON-RPC 2.0 over HTTP, method `heartbeat`.
 */
import * as z from "zod";
import { assignmentSchema } from "./assignment.ts";
import {
  incarnationSchema,
  serverIdSchema,
  serviceIdSchema,
  vmIdSchema,
  zoneIdSchema,
} from "./ids.ts";

/** Schema of {@link KnownRevision}. */
export const knownRevisionSchema = z.strictObject({
  service: serviceIdSchema,
  revision: z.number().int().min(0),
  /**
   * Whether the sender may give evidence: it has read the store since it
   * started. A restarted keeper has forgotten what it promised before.
   */
  settled: z.boolean(),
  /** Servers that leave the sender's orders unanswered, with the time. */
  silent: z.array(
    z.strictObject({ server: serverIdSchema, silentMs: z.number().min(0) }),
  ).optional(),
  /** Servers that check no fences and run requests from the sender. */
  busyServers: z.array(serverIdSchema).optional(),
  /** The sender plans the service's moves now; it wants load reports. */
  holdsDuty: z.boolean().optional(),
});
/** The highest assignment revision that a process knows of a service. */
export type KnownRevision = z.infer<typeof knownRevisionSchema>;

/** Schema of {@link KnownRevisionRequest}. */
export const knownRevisionRequestSchema = z.strictObject({
  service: serviceIdSchema,
});
/** "Which assignment revision do you know?", method `known-revision`. */
export type KnownRevisionRequest = z.infer<typeof knownRevisionRequestSchema>;

/** Schema of {@link KnownRevisionReply}. */
export const knownRevisionReplySchema = z.strictObject({
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  known: knownRevisionSchema,
});
/** Answer to a {@link KnownRevisionRequest}, and to an assignment that was pushed. */
export type KnownRevisionReply = z.infer<typeof knownRevisionReplySchema>;

/** Schema of {@link MemberUpdate}. */
export const memberUpdateSchema = z.strictObject({
  vm: vmIdSchema,
  incarnation: incarnationSchema.optional(),
  state: z.enum(["alive", "suspect", "lost", "left"]),
});
/** A change of membership that rides along in beats. */
export type MemberUpdate = z.infer<typeof memberUpdateSchema>;

/** Schema of {@link MemberStatusRequest}. */
export const memberStatusRequestSchema = z.strictObject({ about: vmIdSchema });
/** "Do you hear this VM?", method `member`. */
export type MemberStatusRequest = z.infer<typeof memberStatusRequestSchema>;

/** Schema of {@link MemberStatusReply}. */
export const memberStatusReplySchema = z.strictObject({
  from: vmIdSchema,
  about: vmIdSchema,
  incarnation: incarnationSchema.optional(),
  /** Time since the last sign of life; absent when there was none. */
  seenAgeMs: z.number().optional(),
});
/** Answer to a {@link MemberStatusRequest}. */
export type MemberStatusReply = z.infer<typeof memberStatusReplySchema>;

/** Schema of {@link PeerHeartbeat}. */
export const peerHeartbeatSchema = z.strictObject({
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  zone: zoneIdSchema,
  host: z.string().min(1),
  peerPort: z.number().int(),
  /** Set by the last beats before the process ends. */
  leaving: z.boolean(),
  known: z.array(knownRevisionSchema),
  /** Revision of the published configuration in force at the sender. */
  configRevision: z.number().int().min(0),
  /** Changes of membership; bounded. */
  news: z.array(memberUpdateSchema),
});
/** Sent to peers at a fixed interval. */
export type PeerHeartbeat = z.infer<typeof peerHeartbeatSchema>;

/** Schema of {@link PeerHeartbeatReply}. */
export const peerHeartbeatReplySchema = z.strictObject({
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  known: z.array(knownRevisionSchema),
  configRevision: z.number().int().min(0),
  /** Changes of membership; bounded. */
  news: z.array(memberUpdateSchema),
  /** Assignments newer than the sender's, whole. */
  newer: z.array(assignmentSchema),
});
/** Answer to a {@link PeerHeartbeat}. */
export type PeerHeartbeatReply = z.infer<typeof peerHeartbeatReplySchema>;
