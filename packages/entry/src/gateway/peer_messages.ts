/**
 * What entry VMs tell one another in datagrams: JSON-RPC 2.0 notifications. A
 * lost one is made good by the next.
 */
import * as contracts from "@guavatide/contracts";
import type * as admission from "@guavatide/decisions/admission/mod";
import * as z from "zod";

/** Method of {@link PeerStatus}. */
export const STATUS_METHOD = "status";
/** Method of {@link PeerHello}. */
export const HELLO_METHOD = "hello";
/** Method of {@link VoterStatus}. */
export const VOTER_METHOD = "keeper";
/** Method of {@link BroadcastMessage}. */
export const BROADCAST_METHOD = "spread";
/** Method of {@link PeerFailure}. */
export const PEER_FAILURE_METHOD = "loss";
/** Method of {@link LoadUpdate}. */
export const LOAD_METHOD = "load";
/** Method of {@link RangeMapUpdate}. */
export const RANGE_MAP_METHOD = "rangeMap";
/** Method of {@link KeyCounts}. */
export const KEY_COUNTS_METHOD = "keyCounts";

/** Method of {@link SlotRequests}. */
export const SLOT_REQUESTS_METHOD = "slotAsks";
/** Method of {@link SlotReplies}. */
export const SLOT_REPLIES_METHOD = "slotWords";

/** Method of {@link ReaderStatus}. */
export const READER_METHOD = "reader";
/** Method of {@link PeersRequest}. */
export const PEERS_REQUEST_METHOD = "peersWish";
/** Method of {@link KnownPeers}. */
export const PEERS_METHOD = "peers";
/** Method of {@link StoreChanges}. */
export const CHANGES_METHOD = "changes";
/** Method of {@link ChangesRequest}. */
export const CHANGES_REQUEST_METHOD = "changesWish";

/** By server of a service without keys: the sender's requests there. */
const loadsSchema = z.record(z.string(), z.number().int());

/** Schema of {@link PeerHello}. */
export const peerHelloSchema = z.object({
  vm: contracts.vmIdSchema,
  incarnation: contracts.incarnationSchema,
  host: z.string(),
  port: z.number().int(),
  zone: contracts.zoneIdSchema,
  /** Processor of the VM in cores: the strongest take on common duties. */
  processorCores: z.number(),
  /** Rises with each message of this kind or status of a run. */
  sequence: z.number().int(),
  /** Without another word the sender is to be taken for lost after this time. */
  standsMs: z.number(),
  /** Whether it reaches the platform's store. */
  hasStore: z.boolean(),
  /** It stops and takes no more requests. */
  isLeaving: z.boolean(),
  /** Range maps by service: revision known, and whether read in this run. */
  maps: z.record(z.string(), z.tuple([z.number().int(), z.boolean()])),
});
/** What a VM tells all others of itself, now and then. */
export type PeerHello = z.infer<typeof peerHelloSchema>;

/** Schema of {@link PeerStatus}. */
export const peerStatusSchema = peerHelloSchema.extend({
  configVersion: z.number().int(),
  /** Positions of the last changes heard of, in the store's order. */
  configCursor: z.number().int(),
  serversCursor: z.number().int(),
  loads: loadsSchema,
  /** Requests that wait for any server, by service. */
  waiting: z.record(z.string(), z.number().int()),
});
/** The state of one entry VM, sent to the peers of its cell. */
export type PeerStatus = z.infer<typeof peerStatusSchema>;

/** Whether parameters are {@link PeerStatus}; they come too often for a schema. */
export function isPeerStatus(params: unknown): params is PeerStatus {
  if (!isWord(params)) return false;
  const status = params as Partial<PeerStatus>;
  const { port, configVersion, configCursor, serversCursor } = status;
  return areTexts([status.host, status.zone]) &&
    areIntegers([port, configVersion, configCursor, serversCursor]) &&
    Number.isFinite(status.processorCores) &&
    typeof status.hasStore === "boolean" &&
    typeof status.isLeaving === "boolean" &&
    areCounts(status.loads) && areCounts(status.waiting);
}

/** Whether parameters are {@link VoterStatus}; they come as often. */
export function isVoterStatus(params: unknown): params is VoterStatus {
  if (!isWord(params)) return false;
  const { echo, lifeMs, grantAgesMs, silentServers } = params as Partial<
    VoterStatus
  >;
  const isEcho = echo === null || Array.isArray(echo) &&
      typeof echo[0] === "string" && Number.isInteger(echo[1]);
  return isEcho && Number.isFinite(lifeMs) && areTexts(silentServers) &&
    isRecord(grantAgesMs) &&
    Object.values(grantAgesMs).every((ages) =>
      Array.isArray(ages) && Number.isFinite(ages[0]) &&
      (ages[1] === null || Number.isFinite(ages[1]))
    );
}

/** Whether a value has what every word of a VM of itself has. */
function isWord(value: unknown): boolean {
  if (!isRecord(value)) return false;
  const { vm, incarnation, sequence, standsMs, maps } = value;
  return areTexts([vm, incarnation]) && Number.isInteger(sequence) &&
    Number.isFinite(standsMs) && isRecord(maps) &&
    Object.values(maps).every((word) =>
      Array.isArray(word) && Number.isInteger(word[0]) &&
      typeof word[1] === "boolean"
    );
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Whether a value is a record of whole numbers. */
function areCounts(value: unknown): boolean {
  return isRecord(value) && areIntegers(Object.values(value));
}

function areTexts(values: unknown): values is readonly string[] {
  return Array.isArray(values) &&
    values.every((value) => typeof value === "string");
}

/** Schema of {@link VoterStatus}. */
export const voterStatusSchema = peerHelloSchema.pick({
  vm: true,
  incarnation: true,
  sequence: true,
  standsMs: true,
  maps: true,
}).extend({
  /** Latest word heard of the receiver: proves how fresh this one is. */
  echo: z.tuple([contracts.incarnationSchema, z.number().int()]).nullable(),
  /** How long the process has run. */
  lifeMs: z.number(),
  /**
   * By server that keys are being taken from: age of the last grant sent, and
   * of the last unanswered one.
   */
  grantAgesMs: z.record(
    z.string(),
    z.tuple([z.number(), z.number().nullable()]),
  ),
  /** Servers that leave this VM's grants unanswered. */
  silentServers: z.array(z.string()),
});
/** What the keepers of range maps tell one another. */
export type VoterStatus = z.infer<typeof voterStatusSchema>;

/** Schema of {@link BroadcastMessage}. */
export const broadcastMessageSchema = z.object({
  method: z.string(),
  params: z.unknown(),
});
/** A message that its receiver takes and passes on to its cell. */
export type BroadcastMessage = z.infer<typeof broadcastMessageSchema>;

/** Schema of {@link PeerFailure}. */
export const peerFailureSchema = peerHelloSchema.pick({
  vm: true,
  incarnation: true,
  sequence: true,
});
/** A VM that its cell no longer hears, with the last word heard of it. */
export type PeerFailure = z.infer<typeof peerFailureSchema>;

/** Changes of load, between two statuses. */
export interface LoadUpdate {
  readonly vm: contracts.VmId;
  /** Servers whose figures have changed since the last message. */
  readonly loads: PeerStatus["loads"];
  /**
   * Servers whose momentary speed has changed: how much longer work takes than
   * usual. Absent when there are none.
   */
  readonly slowdowns?: Readonly<Record<string, number>> | undefined;
}

/** Whether parameters are {@link LoadUpdate}; they come too often for a schema. */
export function isLoadUpdate(params: unknown): params is LoadUpdate {
  if (typeof params !== "object" || params === null) return false;
  const { vm, loads, slowdowns } = params as Partial<LoadUpdate>;
  if (typeof vm !== "string" || typeof loads !== "object") return false;
  return Object.values(loads ?? {}).every(Number.isInteger) &&
    Object.values(slowdowns ?? {}).every((ratio) => ratio > 0);
}

/** Schema of {@link RangeMapUpdate}. */
export const rangeMapUpdateSchema = z.object({
  /** The map with only those ranges that differ from `baseRevision`'s. */
  map: contracts.rangeMapSchema.extend({
    ranges: z.array(contracts.rangeStateSchema),
  }),
  /** Whoever knows this revision or a later one can work out the map. */
  baseRevision: z.number().int(),
  /** Fences whose grant the new owner has not confirmed yet. */
  pendingFences: z.array(z.number().int()),
});
/**
 * A range map that the mover has written, as changed ranges: a whole map is
 * large for a datagram.
 */
export type RangeMapUpdate = z.infer<typeof rangeMapUpdateSchema>;

/** Schema of {@link KeyCounts}. */
export const keyCountsSchema = z.object({
  service: contracts.serviceIdSchema,
  /** Keys and requests since the last message, in turn. */
  counts: z.array(z.number()),
  /** How much longer than average servers take, as the sender's coordinator saw. */
  serverFactors: z.record(z.string(), z.number().positive()),
});
/** Requests by key, told to the mover of the service. */
export type KeyCounts = z.infer<typeof keyCountsSchema>;

/**
 * A slot of a server, and the request that it is for: id (drawn by the VM that
 * asks), service, server, its start in Unix milliseconds, its slots; name, rank
 * and target latency (ms) of the request's route. A tuple keeps these frequent
 * messages small.
 */
export type SlotTuple = readonly [
  id: number,
  service: contracts.ServiceId,
  server: contracts.ServerId,
  bornMs: number,
  slots: number,
  route: string,
  priority: number,
  targetLatencyMs: number,
];

/** What an entry VM asks of the one that gives out a server's slots. */
export interface SlotRequests {
  readonly vm: contracts.VmId;
  /** With the time left until an answer is late, and until it is of no use. */
  readonly wishes: readonly (readonly [
    slot: SlotTuple,
    targetLeftMs: number,
    answerLeftMs: number,
  ])[];
  /** Wishes and slots that are over, with the time of an answered request. */
  readonly ended: readonly (readonly [id: number, tookMs: number | null])[];
  /** All slots that the VM has of the coordinator; null when not told now. */
  readonly held: readonly SlotTuple[] | null;
}

/** A wish that can't be granted. */
export type SlotRefusal = readonly [
  id: number,
  reason: admission.RefusalReason,
  retryAfterMs: number,
  expectedWaitMs: number,
];

/** The answers to {@link SlotRequests}. */
export interface SlotReplies {
  readonly vm: contracts.VmId;
  readonly given: readonly number[];
  readonly queued: readonly number[];
  readonly refused: readonly SlotRefusal[];
}

/** Whether parameters are {@link SlotRequests}; they come too often for a schema. */
export function isSlotRequests(params: unknown): params is SlotRequests {
  if (typeof params !== "object" || params === null) return false;
  const { vm, wishes, ended, held } = params as Partial<SlotRequests>;
  return typeof vm === "string" && Array.isArray(wishes) &&
    Array.isArray(ended) && (held === null || Array.isArray(held)) &&
    wishes.every((wish) =>
      Array.isArray(wish) && isSlot(wish[0]) && Number.isFinite(wish[1]) &&
      Number.isFinite(wish[2])
    ) &&
    ended.every((end) => Array.isArray(end) && Number.isInteger(end[0])) &&
    (held ?? []).every(isSlot);
}

/** Whether parameters are {@link SlotReplies}. */
export function isSlotReplies(params: unknown): params is SlotReplies {
  if (typeof params !== "object" || params === null) return false;
  const { vm, given, queued, refused } = params as Partial<SlotReplies>;
  return typeof vm === "string" && areIntegers(given) && areIntegers(queued) &&
    Array.isArray(refused) &&
    refused.every((refusal) =>
      Array.isArray(refusal) && Number.isInteger(refusal[0]) &&
      Number.isFinite(refusal[2]) && Number.isFinite(refusal[3])
    );
}

function areIntegers(values: unknown): values is readonly number[] {
  return Array.isArray(values) && values.every(Number.isInteger);
}

/** Positions of the numbers and of the texts in a {@link SlotTuple}. */
const SLOT_NUMBERS = [0, 3, 4, 6, 7];
const SLOT_TEXTS = [1, 2, 5];

function isSlot(value: unknown): value is SlotTuple {
  return Array.isArray(value) &&
    SLOT_NUMBERS.every((index) => Number.isFinite(value[index])) &&
    SLOT_TEXTS.every((index) => typeof value[index] === "string");
}

/** Schema of {@link StoreChanges}. */
export const storeChangesSchema = z.object({
  vm: contracts.vmIdSchema,
  /** Prefix of the names of the objects. */
  prefix: z.string(),
  /** Positions in the store's order. */
  fromCursor: z.number().int(),
  toCursor: z.number().int(),
  /**
   * Names with version and value, without for an object that was deleted; null
   * when the changes are not told here.
   */
  events: z.array(
    z.tuple([z.string(), z.tuple([z.string(), z.string()]).nullable()]),
  ).nullable(),
  /** All names that exist, when the changes come from a list; else null. */
  names: z.array(z.string()).nullable(),
});
/** Changes that a reader has seen in the platform's store. */
export type StoreChanges = z.infer<typeof storeChangesSchema>;

/** Schema of {@link ChangesRequest}. */
export const changesRequestSchema = z.object({
  vm: contracts.vmIdSchema,
  prefix: z.string(),
  cursor: z.number().int(),
});
/** Asks a peer for the changes after a position. */
export type ChangesRequest = z.infer<typeof changesRequestSchema>;

/** Schema of {@link ReaderStatus}. */
export const readerStatusSchema = z.object({
  vm: contracts.vmIdSchema,
  /** How long it has reached the store without a failure. */
  storeCalmMs: z.number(),
  /** By prefix: position of the last change heard of. */
  positions: z.record(z.string(), z.number().int()),
});
/** A reader tells that it reaches the store. */
export type ReaderStatus = z.infer<typeof readerStatusSchema>;

/** Schema of {@link PeersRequest}. */
export const peersRequestSchema = z.object({
  vm: contracts.vmIdSchema,
  host: z.string(),
  port: z.number().int(),
  /** Names the set of VMs that the sender knows, itself included. */
  digest: z.number().int(),
});
/** Asks which VMs the receiver knows, if they are others. */
export type PeersRequest = z.infer<typeof peersRequestSchema>;

/** Schema of {@link KnownPeers}. */
export const knownPeersSchema = z.object({
  peers: z.array(z.tuple([
    contracts.vmIdSchema,
    z.string(),
    z.number().int(),
  ])),
});
/** Addresses of the VMs that the sender knows, itself included. */
export type KnownPeers = z.infer<typeof knownPeersSchema>;

/** Schema of {@link KindSnapshot}. */
export const kindSnapshotSchema = z.object({
  /** Position of the last change that is part of it. */
  position: z.number().int(),
  /** Names with version and value. */
  objects: z.array(z.tuple([z.string(), z.string(), z.string()])),
});
/** All objects of a kind, as a VM knows them. */
export type KindSnapshot = z.infer<typeof kindSnapshotSchema>;
