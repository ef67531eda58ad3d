/**
 * Messages between entry VMs. One heartbeat carries membership, confirmations
 * that an assignment revision is current, and newer revisions. Sent as JSON-RPC
 * 2.0 over HTTP, method `heartbeat`.
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
import { ipAddressSchema, portSchema } from "./network_address.ts";

/** Schema of {@link KnownRevision}. */
export const knownRevisionSchema = z.strictObject({
  service: serviceIdSchema,
  revision: z.number().int().min(0),
  /**
   * Whether the sender may confirm revisions: it has read the store since it
   * started. A restarted voter has forgotten what it acknowledged.
   */
  settled: z.boolean(),
  /**
   * Servers that do not reply to the sender's lease commands, with the
   * milliseconds since the first unanswered one.
   */
  silent: z.array(
    z.strictObject({ server: serverIdSchema, silentMs: z.number().min(0) }),
  ).optional(),
  /** Servers that do not check fences and run requests of the sender. */
  busyServers: z.array(serverIdSchema).optional(),
  /** Whether the sender is the service's leader and requests load reports. */
  holdsDuty: z.boolean().optional(),
});
/** The highest assignment revision of a service that a process knows. */
export type KnownRevision = z.infer<typeof knownRevisionSchema>;

/** Schema of {@link KnownRevisionRequest}. */
export const knownRevisionRequestSchema = z.strictObject({
  service: serviceIdSchema,
});
/**
 * Asks which assignment revision the receiver knows; method `known-revision`.
 */
export type KnownRevisionRequest = z.infer<typeof knownRevisionRequestSchema>;

/** Schema of {@link KnownRevisionReply}. */
export const knownRevisionReplySchema = z.strictObject({
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  known: knownRevisionSchema,
});
/** Reply to a {@link KnownRevisionRequest}, and to a pushed assignment. */
export type KnownRevisionReply = z.infer<typeof knownRevisionReplySchema>;

/** Schema of {@link MemberUpdate}. */
export const memberUpdateSchema = z.strictObject({
  vm: vmIdSchema,
  incarnation: incarnationSchema.optional(),
  state: z.enum(["alive", "suspect", "lost", "left"]),
});
/** A change of membership, sent with heartbeats. */
export type MemberUpdate = z.infer<typeof memberUpdateSchema>;

/** Schema of {@link MemberStatusRequest}. */
export const memberStatusRequestSchema = z.strictObject({ about: vmIdSchema });
/** Asks whether the receiver gets messages from a VM; method `member`. */
export type MemberStatusRequest = z.infer<typeof memberStatusRequestSchema>;

/** Schema of {@link MemberStatusReply}. */
export const memberStatusReplySchema = z.strictObject({
  from: vmIdSchema,
  about: vmIdSchema,
  incarnation: incarnationSchema.optional(),
  /**
   * Milliseconds since the last message from it; absent when there was none.
   */
  seenAgeMs: z.number().optional(),
});
/** Reply to a {@link MemberStatusRequest}. */
export type MemberStatusReply = z.infer<typeof memberStatusReplySchema>;

/** Schema of {@link PeerHeartbeat}. */
export const peerHeartbeatSchema = z.strictObject({
  vm: vmIdSchema,
  incarnation: incarnationSchema,
  zone: zoneIdSchema,
  host: ipAddressSchema,
  peerPort: portSchema,
  /** Set in the last heartbeats before the process ends. */
  leaving: z.boolean(),
  known: z.array(knownRevisionSchema),
  /** Revision of the configuration that the sender applies. */
  configRevision: z.number().int().min(0),
  /** Changes of membership, a limited number. */
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
  /** Changes of membership, a limited number. */
  news: z.array(memberUpdateSchema),
  /** Whole assignments that are newer than the sender's. */
  newer: z.array(assignmentSchema),
});
/** Reply to a {@link PeerHeartbeat}. */
export type PeerHeartbeatReply = z.infer<typeof peerHeartbeatReplySchema>;
