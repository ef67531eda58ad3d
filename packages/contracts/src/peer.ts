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

/** Schema of {@link KnownQuestion}. */
export const knownQuestionSchema = z.strictObject({ service: serviceIdSchema });
/** "Which assignment revision do you know?", method `known-revision`. */
export type KnownQuestion = z.infer<typeof knownQuestionSchema>;

/** Schema of {@link KnownReceipt}. */
export const knownReceiptSchema = z.strictObject({
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  known: knownRevisionSchema,
});
/** Answer to a {@link KnownQuestion}, and to an assignment that was pushed. */
export type KnownReceipt = z.infer<typeof knownReceiptSchema>;

/** Schema of {@link MemberNote}. */
export const memberNoteSchema = z.strictObject({
  vm: vmIdSchema,
  incarnation: incarnationSchema.optional(),
  state: z.enum(["alive", "suspect", "lost", "left"]),
});
/** A change of membership that rides along in beats. */
export type MemberNote = z.infer<typeof memberNoteSchema>;

/** Schema of {@link MemberQuestion}. */
export const memberQuestionSchema = z.strictObject({ about: vmIdSchema });
/** "Do you hear this VM?", method `member`. */
export type MemberQuestion = z.infer<typeof memberQuestionSchema>;

/** Schema of {@link MemberAnswer}. */
export const memberAnswerSchema = z.strictObject({
  from: vmIdSchema,
  about: vmIdSchema,
  incarnation: incarnationSchema.optional(),
  /** Time since the last sign of life; absent when there was none. */
  seenAgeMs: z.number().optional(),
});
/** Answer to a {@link MemberQuestion}. */
export type MemberAnswer = z.infer<typeof memberAnswerSchema>;

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
  news: z.array(memberNoteSchema),
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
  news: z.array(memberNoteSchema),
  /** Assignments newer than the sender's, whole. */
  newer: z.array(assignmentSchema),
});
/** Answer to a {@link PeerHeartbeat}. */
export type PeerHeartbeatReply = z.infer<typeof peerHeartbeatReplySchema>;
