/**
 * Messages between entry VMs, sent as datagrams: JSON-RPC 2.0 notifications. A
 * lost message is superseded by the next one.
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

/** Method of a crash report. */
export const CRASH_METHOD = "crash";
/** Method of an answer report. */
export const ANSWER_METHOD = "crashAnswer";

/** Method of {@link CallerCountsNews}. */
export const CALLER_COUNTS_METHOD = "callers";

/** Method of {@link AdmissionReportMessage}. */
export const ADMISSION_REPORTS_METHOD = "admissions";
/** Method of {@link AdmissionShareMessage}. */
export const ADMISSION_SHARES_METHOD = "admissionShares";

/** Method of {@link RequestLimitNews}. */
export const REQUEST_LIMITS_METHOD = "requestLimits";

/** Method of {@link BackoffNews}. */
export const BACKOFFS_METHOD = "backoffs";
/** Method of {@link LeavingNews}. */
export const LEAVING_METHOD = "leaving";

/** Method of {@link UnreachedServers}. */
export const REACH_METHOD = "reach";

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

/**
 * By server of a service without keys: the sender's requests in flight there.
 */
const loadsSchema = z.record(z.string(), z.number().int());

/** Schema of {@link PeerHello}. */
export const peerHelloSchema = z.object({
  vm: contracts.vmIdSchema,
  incarnation: contracts.incarnationSchema,
  host: contracts.ipv4AddressSchema,
  port: contracts.portSchema,
  zone: contracts.zoneIdSchema,
  /**
   * Processor of the VM in cores: VMs with few take on no roles for others.
   */
  processorCores: z.number(),
  /** Bandwidth of its link in Mbit/s; absent where it is not known. */
  linkMbps: z.number().optional(),
  /** Sequence number: rises with each hello or status of an incarnation. */
  sequence: z.number().int(),
  /**
   * Heartbeat timeout: without another message within this time the sender
   * counts as lost.
   */
  standsMs: z.number(),
  /** Whether it reaches the platform's store. */
  hasStore: z.boolean(),
  /** Whether it is shutting down and accepts no more requests. */
  isLeaving: z.boolean(),
  /**
   * Range maps by service: revision known, and whether this incarnation has
   * read the map from the store.
   */
  maps: z.record(z.string(), z.tuple([z.number().int(), z.boolean()])),
});
/** Basic state of a VM, sent to all others at long intervals. */
export type PeerHello = z.infer<typeof peerHelloSchema>;

/** Schema of {@link PeerStatus}. */
export const peerStatusSchema = peerHelloSchema.extend({
  configVersion: z.number().int(),
  /** Positions, in the store's order, of the last changes known. */
  configCursor: z.number().int(),
  serversCursor: z.number().int(),
  loads: loadsSchema,
  /** Requests that wait for a server, by service. */
  waiting: z.record(z.string(), z.number().int()),
});
/** State of one entry VM, sent to the peers of its cell. */
export type PeerStatus = z.infer<typeof peerStatusSchema>;

/**
 * Type guard of {@link PeerHello}: a schema is too slow for messages this
 * frequent.
 */
export function isPeerHello(params: unknown): params is PeerHello {
  if (!hasCommonFields(params)) return false;
  const { host, zone, port, processorCores, linkMbps, hasStore, isLeaving } =
    params as Partial<PeerHello>;
  return contracts.isIpv4Address(host) && contracts.isPort(port) &&
    typeof zone === "string" && Number.isFinite(processorCores) &&
    (linkMbps === undefined || Number.isFinite(linkMbps)) &&
    typeof hasStore === "boolean" &&
    typeof isLeaving === "boolean";
}

/** Type guard of {@link PeerStatus}, which is as frequent. */
export function isPeerStatus(params: unknown): params is PeerStatus {
  if (!isPeerHello(params)) return false;
  const { configVersion, configCursor, serversCursor, loads, waiting } =
    params as Partial<PeerStatus>;
  return areIntegers([configVersion, configCursor, serversCursor]) &&
    areCounts(loads) && areCounts(waiting);
}

/** Type guard of {@link VoterStatus}, which is as frequent. */
export function isVoterStatus(params: unknown): params is VoterStatus {
  if (!hasCommonFields(params)) return false;
  const { echo, lifeMs, grantAgesMs, handoverGrantTimesMs, silentServers } =
    params as Partial<VoterStatus>;
  const isEcho = echo === null || Array.isArray(echo) &&
      typeof echo[0] === "string" && Number.isInteger(echo[1]);
  return isEcho && Number.isFinite(lifeMs) && areStrings(silentServers) &&
    isRecord(grantAgesMs) && Object.values(grantAgesMs).every(areAges) &&
    (handoverGrantTimesMs === undefined ||
      Array.isArray(handoverGrantTimesMs) &&
        handoverGrantTimesMs.every(areHandoverTimes));
}

/** Whether a value has a time of all grants and one of unanswered ones. */
function areAges(value: unknown): boolean {
  return Array.isArray(value) && Number.isFinite(value[0]) &&
    (value[1] === null || Number.isFinite(value[1]));
}

function areHandoverTimes(value: unknown): boolean {
  return Array.isArray(value) && typeof value[0] === "string" &&
    Number.isInteger(value[1]) && Number.isFinite(value[2]) &&
    areAges(value.slice(3));
}

/** Whether a value has the fields that hellos and voter statuses share. */
function hasCommonFields(value: unknown): boolean {
  if (!isRecord(value)) return false;
  const { vm, incarnation, sequence, standsMs, maps } = value;
  return areStrings([vm, incarnation]) && Number.isInteger(sequence) &&
    Number.isFinite(standsMs) && isRecord(maps) &&
    Object.values(maps).every((map) =>
      Array.isArray(map) && Number.isInteger(map[0]) &&
      typeof map[1] === "boolean"
    );
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Whether a value is a record of integers. */
function areCounts(value: unknown): boolean {
  return isRecord(value) && areIntegers(Object.values(value));
}

function areStrings(values: unknown): values is readonly string[] {
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
  /**
   * Incarnation and sequence number of the last message that the sender has
   * received from this status's recipient: bounds the age of the status.
   */
  echo: z.tuple([contracts.incarnationSchema, z.number().int()]).nullable(),
  /** Uptime of the process. */
  lifeMs: z.number(),
  /**
   * By server that ranges are handed over from: age of the last grant sent, and
   * of the last unanswered one.
   */
  grantAgesMs: z.record(
    z.string(),
    z.tuple([z.number(), z.number().nullable()]),
  ),
  /**
   * Grants that concern the ranges of each handover: old owner, revision that
   * took the ranges from it, age of the last grant, remaining time of the leases
   * and of those whose grants were not answered. Absent in messages of versions
   * that do not tell handovers apart.
   */
  handoverGrantTimesMs: z.array(
    z.tuple([
      z.string(),
      z.number().int(),
      z.number(),
      z.number(),
      z.number().nullable(),
    ]),
  ).optional(),
  /** Servers that do not answer this VM's grants. */
  silentServers: z.array(z.string()),
});
/** State that the voters of range maps send one another. */
export type VoterStatus = z.infer<typeof voterStatusSchema>;

/** A message that its receiver handles and relays to its cell. */
export interface BroadcastMessage {
  readonly method: string;
  readonly params: unknown;
}

/** Type guard of {@link BroadcastMessage}. */
export function isBroadcastMessage(
  params: unknown,
): params is BroadcastMessage {
  return isRecord(params) && typeof params.method === "string" &&
    "params" in params;
}

/** Schema of {@link PeerFailure}. */
export const peerFailureSchema = peerHelloSchema.pick({
  vm: true,
  incarnation: true,
  sequence: true,
});
/**
 * A VM whose heartbeat has timed out in its cell, with the sequence number of
 * the last message received.
 */
export type PeerFailure = z.infer<typeof peerFailureSchema>;

/** Changes of load since the last status or update. */
export interface LoadUpdate {
  readonly vm: contracts.VmId;
  /**
   * Servers whose load has changed since the last message, with the new load.
   */
  readonly loads: PeerStatus["loads"];
  /**
   * Servers whose momentary speed has changed: ratio of the current to the
   * usual time of their work. Absent when there are none.
   */
  readonly slowdowns?: Readonly<Record<string, number>> | undefined;
}

/**
 * Type guard of {@link LoadUpdate}: a schema is too slow for messages this
 * frequent.
 */
export function isLoadUpdate(params: unknown): params is LoadUpdate {
  if (typeof params !== "object" || params === null) return false;
  const { vm, loads, slowdowns } = params as Partial<LoadUpdate>;
  if (typeof vm !== "string" || typeof loads !== "object") return false;
  return Object.values(loads ?? {}).every(Number.isInteger) &&
    Object.values(slowdowns ?? {}).every((ratio) => ratio > 0);
}

/** Schema of {@link RangeMapUpdate}. */
export const rangeMapUpdateSchema = z.object({
  /** The map with only the ranges that differ from those of `baseRevision`. */
  map: contracts.rangeMapSchema.extend({
    ranges: z.array(contracts.rangeStateSchema),
  }),
  /** A VM that knows this revision or a later one can apply the update. */
  baseRevision: z.number().int(),
  /** Fences whose grant the new owner has not accepted yet. */
  pendingFences: z.array(z.number().int()),
});
/**
 * A range map that the leader has written, sent as changed ranges: a whole map
 * is large for a datagram.
 */
export type RangeMapUpdate = z.infer<typeof rangeMapUpdateSchema>;

/** Schema of {@link KeyCounts}. */
export const keyCountsSchema = z.object({
  service: contracts.serviceIdSchema,
  /** Alternating keys and their request counts since the last message. */
  counts: z.array(z.number()),
  /**
   * By server, how much longer than average it takes, as the sender's slot
   * coordinator has measured.
   */
  serverFactors: z.record(z.string(), z.number().positive()),
});
/** Request counts by key, sent to the leader of the service's ranges. */
export type KeyCounts = z.infer<typeof keyCountsSchema>;

/**
 * A slot of a server with the request that it is for: id (assigned by the
 * requesting VM), service, server, start time of the server in Unix ms, number
 * of slots; name, priority and target latency (ms) of the request's route. A
 * tuple keeps these frequent messages small.
 */
export type SlotTuple = readonly [
  id: number,
  service: contracts.ServiceId,
  server: contracts.ServerId,
  serverStartedAtMs: number,
  slots: number,
  route: string,
  priority: number,
  targetLatencyMs: number,
  /** Hash of the request's key; absent from VMs of earlier versions. */
  key?: number,
];

/**
 * Requests for slots, sent by an entry VM to the VM that coordinates the
 * server's slots.
 */
export interface SlotRequests {
  readonly vm: contracts.VmId;
  /**
   * Requested slots, each with the time left until an answer is late, and until
   * it is of no use to the caller.
   */
  readonly wishes: readonly (readonly [
    slot: SlotTuple,
    targetLeftMs: number,
    answerLeftMs: number,
    /** Absent for a usual request. */
    standing?: admission.RequestStanding,
  ])[];
  /**
   * Requests and slots that have ended, with the time taken by an answered
   * request.
   */
  readonly ended: readonly (readonly [id: number, tookMs: number | null])[];
  /**
   * All slots of the coordinator that the VM holds; null when not reported in
   * this message.
   */
  readonly held: readonly SlotTuple[] | null;
  /** Limits of the servers that the wishes name; absent for none. */
  readonly limits?: readonly RequestLimitTuple[] | undefined;
}

/**
 * What an entry VM knows of a server's limit: the limit in requests a second,
 * null once it was lifted, and the age in milliseconds of the answer that said
 * so.
 */
export type RequestLimitTuple = readonly [
  server: contracts.ServerId,
  requestsPerSecond: number | null,
  ageMs: number,
];

/** Schema of {@link RequestLimitNews}. */
export const requestLimitNewsSchema = z.object({
  limits: z.array(
    z.tuple([
      contracts.serverIdSchema,
      z.number().min(0).nullable(),
      z.number().min(0),
    ]),
  ),
});
/** Limits that a VM's answers have named, confirmed or lifted. */
export type RequestLimitNews = z.infer<typeof requestLimitNewsSchema>;

/** Requests at one VM by caller, for services that are short of capacity. */
export interface CallerCountsNews {
  readonly vm: contracts.VmId;
  readonly services: readonly (readonly [
    service: contracts.ServiceId,
    counts: admission.CallerCounts,
  ])[];
}

/** Type guard of {@link CallerCountsNews}. */
export function isCallerCountsNews(
  params: unknown,
): params is CallerCountsNews {
  if (!isRecord(params)) return false;
  const { vm, services } = params;
  return typeof vm === "string" && Array.isArray(services) &&
    services.every((entry) =>
      Array.isArray(entry) && typeof entry[0] === "string" &&
      isCallerCounts(entry[1])
    );
}

function isCallerCounts(value: unknown): value is admission.CallerCounts {
  if (!isRecord(value)) return false;
  const { arrivals, refused, callers } = value;
  return areIntegers([arrivals, refused]) && Array.isArray(callers) &&
    callers.every((caller) => areIntegers(caller) && caller.length === 2);
}

/** One VM's requests of a service, sent to the VM that aggregates them. */
export interface AdmissionReportMessage {
  readonly vm: contracts.VmId;
  readonly service: contracts.ServiceId;
  readonly report: admission.AdmissionReport;
}

/** The reply to an {@link AdmissionReportMessage}. */
export interface AdmissionShareMessage {
  readonly vm: contracts.VmId;
  readonly service: contracts.ServiceId;
  readonly share: admission.AdmissionShare;
}

/** Type guard of {@link AdmissionReportMessage}. */
export function isAdmissionReport(
  params: unknown,
): params is AdmissionReportMessage {
  if (!isRecord(params)) return false;
  const { vm, service, report } = params;
  return areStrings([vm, service]) && isRecord(report) &&
    areAmounts([
      report.arrived,
      report.admitted,
      report.refused,
      report.ended,
      report.waiting,
    ]);
}

/** Type guard of {@link AdmissionShareMessage}. */
export function isAdmissionShare(
  params: unknown,
): params is AdmissionShareMessage {
  if (!isRecord(params)) return false;
  const { vm, service, share } = params;
  return areStrings([vm, service]) && isRecord(share) &&
    areAmounts([share.perSecond, share.capacityPerSecond, share.waiting]);
}

function areAmounts(values: readonly unknown[]): boolean {
  return values.every((value) =>
    typeof value === "number" && Number.isFinite(value) && value >= 0
  );
}

/** Schema of {@link BackoffNews}. */
export const backoffNewsSchema = z.object({
  vm: contracts.vmIdSchema,
  server: contracts.serverIdSchema,
  bornMs: z.number().int(),
  /** What is left of its back-off; null when the server answers the VM. */
  leftMs: z.number().min(0).nullable(),
});
/** A server has asked a VM to back off, or answers it again. */
export type BackoffNews = z.infer<typeof backoffNewsSchema>;

/** Schema of {@link LeavingNews}. */
export const leavingNewsSchema = z.object({
  servers: z.array(contracts.rangeOwnerSchema),
});
/** Incarnations of servers that have said in an answer that they leave. */
export type LeavingNews = z.infer<typeof leavingNewsSchema>;

/** A slot request that is refused. */
export type SlotRefusal = readonly [
  id: number,
  reason: admission.RefusalReason,
  retryAfterMs: number,
  expectedWaitMs: number,
];

/** The replies to {@link SlotRequests}. */
export interface SlotReplies {
  readonly vm: contracts.VmId;
  readonly given: readonly number[];
  readonly queued: readonly number[];
  readonly refused: readonly SlotRefusal[];
}

/**
 * Type guard of {@link SlotRequests}: a schema is too slow for messages this
 * frequent.
 */
export function isSlotRequests(params: unknown): params is SlotRequests {
  if (typeof params !== "object" || params === null) return false;
  const { vm, wishes, ended, held, limits = [] } = params as Partial<
    SlotRequests
  >;
  return typeof vm === "string" && Array.isArray(wishes) &&
    Array.isArray(ended) && (held === null || Array.isArray(held)) &&
    Array.isArray(limits) && limits.every(isRequestLimitTuple) &&
    wishes.every((request) =>
      Array.isArray(request) && isSlotTuple(request[0]) &&
      Number.isFinite(request[1]) && Number.isFinite(request[2]) &&
      isStanding(request[3])
    ) &&
    ended.every((end) => Array.isArray(end) && Number.isInteger(end[0])) &&
    (held ?? []).every(isSlotTuple);
}

function isStanding(
  value: unknown,
): value is admission.RequestStanding | undefined {
  return value === undefined || value === "returning" ||
    value === "above-share";
}

function isRequestLimitTuple(value: unknown): value is RequestLimitTuple {
  if (!Array.isArray(value)) return false;
  const [server, requestsPerSecond, ageMs] = value;
  return typeof server === "string" && Number.isFinite(ageMs) &&
    (requestsPerSecond === null || requestsPerSecond >= 0);
}

/** Type guard of {@link SlotReplies}. */
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

/** Indexes of the numbers and of the strings in a {@link SlotTuple}. */
const SLOT_NUMBERS = [0, 3, 4, 6, 7];
const SLOT_STRINGS = [1, 2, 5];
const KEY_INDEX = 8;

function isSlotTuple(value: unknown): value is SlotTuple {
  return Array.isArray(value) &&
    SLOT_NUMBERS.every((index) => Number.isFinite(value[index])) &&
    (value[KEY_INDEX] === undefined || Number.isInteger(value[KEY_INDEX])) &&
    SLOT_STRINGS.every((index) => typeof value[index] === "string");
}

/** Servers that a VM doesn't reach itself; neither when it reaches all. */
export interface UnreachedServers {
  readonly vm: contracts.VmId;
  /** Whether the VM reaches no server at all; it then names none. */
  readonly isCutOff: boolean;
  readonly servers: readonly contracts.ServerId[];
}

/** Type guard of {@link UnreachedServers}. */
export function isUnreachedServers(
  params: unknown,
): params is UnreachedServers {
  if (!isRecord(params)) return false;
  const { vm, isCutOff, servers } = params;
  return typeof vm === "string" && typeof isCutOff === "boolean" &&
    areStrings(servers);
}

/** A value as the difference from the one of version `base`. */
const patchedValueSchema = z.object({
  base: z.string(),
  patch: z.array(
    z.union([z.string(), z.tuple([z.number().int(), z.number().int()])]),
  ),
});

/** Schema of {@link StoreChanges}. */
export const storeChangesSchema = z.object({
  vm: contracts.vmIdSchema,
  /** Name prefix of the objects. */
  prefix: z.string(),
  /**
   * Positions in the store's order: the changes after `fromCursor` up to and
   * including `toCursor`.
   */
  fromCursor: z.number().int(),
  toCursor: z.number().int(),
  /**
   * Names with version and value, null for a deleted object; large values as
   * the difference from an earlier version. Null as a whole when the changes are
   * too large for a datagram or no longer buffered.
   */
  events: z.array(
    z.tuple([
      z.string(),
      z.tuple([z.string(), z.union([z.string(), patchedValueSchema])])
        .nullable(),
    ]),
  ).nullable(),
  /** Names of all objects when the changes come from a list; else null. */
  names: z.array(z.string()).nullable(),
  /**
   * How old the changes are at most; 0 if absent, 60,000 where it is not known.
   */
  ageMs: z.number().int().min(0).optional(),
});
/** Changes that a reader has read from the platform's store. */
export type StoreChanges = z.infer<typeof storeChangesSchema>;

/** Schema of {@link ChangesRequest}. */
export const changesRequestSchema = z.object({
  vm: contracts.vmIdSchema,
  prefix: z.string(),
  cursor: z.number().int(),
});
/** Request to a peer for the changes after a position. */
export type ChangesRequest = z.infer<typeof changesRequestSchema>;

/** Heartbeat of a reader. */
export interface ReaderStatus {
  readonly vm: contracts.VmId;
  /** How long the store has answered this reader without a failure. */
  readonly storeCalmMs: number;
  /** By prefix: position of the last change known. */
  readonly positions: Readonly<Record<string, number>>;
  /** Whether the store doesn't answer it: it then counts as no reader. */
  readonly isCutOff?: boolean;
}

/** Type guard of {@link ReaderStatus}, which all VMs get several a second. */
export function isReaderStatus(params: unknown): params is ReaderStatus {
  if (!isRecord(params)) return false;
  const { vm, storeCalmMs, positions, isCutOff } = params;
  return typeof vm === "string" && Number.isFinite(storeCalmMs) &&
    areCounts(positions) &&
    (isCutOff === undefined || typeof isCutOff === "boolean");
}

/** Schema of {@link PeersRequest}. */
export const peersRequestSchema = z.object({
  vm: contracts.vmIdSchema,
  host: contracts.ipv4AddressSchema,
  port: contracts.portSchema,
  /** Hash of the set of VMs that the sender knows, itself included. */
  digest: z.number().int(),
});
/**
 * Request for the VMs that the receiver knows, answered if the hash differs.
 */
export type PeersRequest = z.infer<typeof peersRequestSchema>;

/**
 * Schema of {@link KnownPeers}. One entry that can't be used must not keep the VMs
 * from finding the others.
 */
export const knownPeersSchema = z.object({
  peers: contracts.usableItems(
    z.tuple([
      contracts.vmIdSchema,
      contracts.ipv4AddressSchema,
      contracts.portSchema,
    ]),
  ),
});
/** Addresses of the VMs that the sender knows, itself included. */
export type KnownPeers = z.infer<typeof knownPeersSchema>;

/** Schema of {@link KindSnapshot}. */
export const kindSnapshotSchema = z.object({
  /** Position of the last change included. */
  position: z.number().int(),
  /** Names with version and value. */
  objects: z.array(z.tuple([z.string(), z.string(), z.string()])),
});
/** Snapshot of all objects with a prefix, as a VM knows them. */
export type KindSnapshot = z.infer<typeof kindSnapshotSchema>;
