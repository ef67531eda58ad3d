/**
 * Messages between entry VMs about servers that one of them doesn't reach: one
 * line of JSON, followed by the bytes of a body.
 */
import * as contracts from "@guavatide/contracts";
import * as z from "zod";
import type { AttemptResult } from "../../links/server_connection.ts";
import { isFinalStatus } from "../../utils/answer_status.ts";

/** Path of these messages on the port between entry VMs. */
export const RELAY_PATH = "/relay";

const serverSchema = z.object({
  server: contracts.serverIdSchema,
  bornMs: z.number().int(),
});

const senderFields = {
  /** The sender and its run; a process knows that of each peer by gossip. */
  vm: contracts.vmIdSchema,
  incarnation: contracts.incarnationSchema,
};

/** Schema of {@link RelayRequest}. */
export const relayRequestSchema = z.discriminatedUnion("kind", [
  /** Asks the receiver to send a request to a server, itself. */
  z.object({
    kind: z.literal("attempt"),
    ...senderFields,
    ...serverSchema.shape,
    id: z.string(),
    method: z.string(),
    target: z.string(),
    /** Names and values alternating, as the server gets them. */
    headers: z.array(z.string()),
    /** The parts that identify the request besides those above. */
    host: z.string(),
    key: z.number().optional(),
    caller: z.string(),
    /** Time left until the deadline. */
    leftMs: z.number().positive(),
    /** How long such a request usually takes. */
    expectedMs: z.number().min(0),
    isIdempotent: z.boolean(),
    /** Rank of its route; 0 is the most urgent. */
    priority: z.number().int().min(0),
  }),
  /** Asks which servers the receiver reaches. */
  z.object({
    kind: z.literal("check"),
    ...senderFields,
    servers: z.array(serverSchema),
  }),
]);
/** A message to a peer. */
export type RelayRequest = z.infer<typeof relayRequestSchema>;
/** A request that a peer is asked to send. */
export type RelayedAttempt = Extract<RelayRequest, { kind: "attempt" }>;

const declineReasonSchema = z.enum([
  /** The sender is not a VM that the receiver knows. */
  "unknown-vm",
  /** The receiver doesn't know the server, or may not send to it any more. */
  "unknown-server",
  "stopping",
  "overloaded",
  /** The request crashes the servers that run it. */
  "poisonous",
  /** The receiver doesn't reach the server either. */
  "unreached",
]);
/** Why a peer has not sent a request; not one byte reached the server. */
export type DeclineReason = z.infer<typeof declineReasonSchema>;

const reportSchema = z.object({
  running: z.number(),
  waiting: z.number(),
  slots: z.number(),
  slowdownRatio: z.number().optional(),
});

const requestLimitSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("limited"), requestsPerSecond: z.number() }),
  z.object({ kind: z.literal("malformed"), text: z.string() }),
]);

const retryAfterSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("delay"), delayMs: z.number().min(0) }),
  z.object({ kind: z.literal("malformed"), text: z.string() }),
]);

const observationSchema = z.object({
  isAccepting: z.boolean(),
  /** Null when the peer has never heard the server. */
  heardAgoMs: z.number().nullable(),
});

const answerFields = {
  inFlight: z.number().optional(),
  report: reportSchema.optional(),
  requestLimit: requestLimitSchema.optional(),
  retryAfter: retryAfterSchema.optional(),
  isLeaving: z.boolean().optional(),
  /** Requests that the peer relays at this moment, of all VMs. */
  relayed: z.number().int().min(0),
};

/** Schema of {@link RelayReply}. */
export const relayReplySchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("declined"), reason: declineReasonSchema }),
  z.object({
    kind: z.literal("answer"),
    status: z.number().int(),
    headers: z.array(z.string()),
    endsWithConnection: z.boolean(),
    ...answerFields,
  }),
  z.object({
    kind: z.literal("refusal"),
    refusal: z.enum(["not-owner", "busy", "draining", "deadline", "cold"]),
    ...answerFields,
  }),
  z.object({
    kind: z.literal("unknown"),
    reason: z.enum(["timeout-after-send", "connection-lost", "bad-answer"]),
    message: z.string(),
    isSilent: z.boolean(),
    isPathLost: z.boolean(),
    isTooLarge: z.boolean().optional(),
    condition: z.enum(["ended", "running", "unknown"]).optional(),
  }),
  /** By server asked for: what the peer says of its path. */
  z.object({
    kind: z.literal("checked"),
    observed: z.array(observationSchema),
  }),
]);
/** A peer's reply. The body of an answer follows it. */
export type RelayReply = z.infer<typeof relayReplySchema>;

const LINE_END = 0x0a;
const NO_BODY = new Uint8Array();

/** Joins a message and a body. */
export function encodeRelayMessage(
  message: RelayRequest | RelayReply,
  body: Uint8Array = NO_BODY,
): Uint8Array {
  const line = Buffer.from(`${JSON.stringify(message)}\n`);
  return body.length === 0 ? line : Buffer.concat([line, body]);
}

/** Parses a message and its body; undefined when it is malformed. */
export function decodeRelayMessage<Message>(
  bytes: Uint8Array,
  schema: z.ZodType<Message>,
): { readonly message: Message; readonly body: Uint8Array } | undefined {
  const end = bytes.indexOf(LINE_END);
  if (end < 0) return undefined;
  const text = Buffer.from(bytes.subarray(0, end)).toString();
  const message = contracts.decodeJson(text, schema);
  if (message.isErr()) return undefined;
  return { message: message.value, body: bytes.subarray(end + 1) };
}

/** How a relayed attempt ended, as the peer tells it. */
export function replyOf(
  result: AttemptResult,
  relayed: number,
): { readonly reply: RelayReply; readonly body?: Uint8Array } {
  switch (result.kind) {
    case "answer": {
      const { status, headers, body, endsWithConnection } = result.answer;
      const reply: RelayReply = {
        kind: "answer",
        status,
        headers: [...headers],
        endsWithConnection: endsWithConnection ?? false,
        ...reportsOf(result),
        relayed,
      };
      return { reply, body };
    }
    case "refusal": {
      const { refusal } = result;
      return {
        reply: { kind: "refusal", refusal, ...reportsOf(result), relayed },
      };
    }
    case "not-sent":
      return { reply: { kind: "declined", reason: declineReasonOf(result) } };
    case "unknown": {
      const { reason, message, isSilent, isPathLost, isTooLarge, condition } =
        result;
      return {
        reply: {
          kind: "unknown",
          reason,
          message,
          isSilent: isSilent ?? false,
          isPathLost: isPathLost ?? false,
          isTooLarge,
          condition,
        },
      };
    }
  }
}

function reportsOf(
  { inFlight, report, requestLimit, retryAfter, isLeaving }: Extract<
    AttemptResult,
    { kind: "answer" | "refusal" }
  >,
) {
  return { inFlight, report, requestLimit, retryAfter, isLeaving };
}

/** A failure of the peer's own says nothing about the server. */
function declineReasonOf(
  { isLocal, hasNoPath, isServerGone }: Extract<
    AttemptResult,
    { kind: "not-sent" }
  >,
): DeclineReason {
  if (isServerGone) return "unknown-server";
  return isLocal && !hasNoPath ? "overloaded" : "unreached";
}

/** What a peer's reply says of the attempt; undefined when it was declined. */
export function resultOf(
  reply: RelayReply,
  body: Uint8Array,
): AttemptResult | undefined {
  switch (reply.kind) {
    case "answer": {
      const { status, headers, endsWithConnection } = reply;
      if (!isFinalStatus(status)) {
        const message = `The server's status ${status} is none of HTTP`;
        return { kind: "unknown", reason: "bad-answer", message };
      }
      const answer = { status, headers, body, endsWithConnection };
      return { kind: "answer", answer, ...reportsIn(reply) };
    }
    case "refusal":
      return {
        kind: "refusal",
        refusal: reply.refusal,
        ...reportsIn(reply),
      };
    case "unknown": {
      const { condition, isTooLarge, ...rest } = reply;
      return {
        ...rest,
        ...(condition === undefined ? {} : { condition }),
        ...(isTooLarge === undefined ? {} : { isTooLarge }),
      };
    }
    case "declined":
    case "checked":
      return undefined;
  }
}

function reportsIn(
  { inFlight, report, requestLimit, retryAfter, isLeaving }: Extract<
    RelayReply,
    { kind: "answer" | "refusal" }
  >,
) {
  return {
    inFlight,
    report: report && { ...report, slowdownRatio: report.slowdownRatio },
    requestLimit,
    retryAfter,
    isLeaving,
  };
}
