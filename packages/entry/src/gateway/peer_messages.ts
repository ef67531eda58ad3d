/**
 * What entry VMs tell one another in datagrams: JSON-RPC 2.0 notifications in
 * MessagePack. A lost one is made good by the next.
 */
import * as contracts from "@guavatide/contracts";
import * as z from "zod";

/** Method of {@link PeerStatus}. */
export const STATUS_METHOD = "status";
/** Method of {@link PeerHello}. */
export const HELLO_METHOD = "hello";
/** Method of {@link LoadNews}. */
export const LOAD_METHOD = "load";
/** Method of {@link RangeMapNews}. */
export const RANGE_MAP_METHOD = "rangeMap";
/** Method of {@link KeyCounts}. */
export const KEY_COUNTS_METHOD = "keyCounts";

/** Method of {@link SlotAsks}. */
export const SLOT_ASKS_METHOD = "slotAsks";
/** Method of {@link SlotWords}. */
export const SLOT_WORDS_METHOD = "slotWords";

/** Method of {@link Changes}. */
export const CHANGES_METHOD = "changes";
/** Method of {@link ChangesWish}. */
export const CHANGES_WISH_METHOD = "changesWish";

/** By server: requests there, and requests that wait for it. */
const loadsSchema = z.record(
  z.string(),
  z.tuple([z.number().int(), z.number().int()]),
);

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
  /** Latest status heard of each peer: proves how fresh this one is. */
  echoes: z.record(
    z.string(),
    z.tuple([contracts.incarnationSchema, z.number().int()]),
  ),
  /** How long the process has run. */
  lifeMs: z.number(),
  /** How long it has reached the store without a failure. */
  storeCalmMs: z.number(),
  configVersion: z.number().int(),
  /** Positions of the last changes heard of, in the store's order. */
  configCursor: z.number().int(),
  serversCursor: z.number().int(),
  /** By server: requests there, and requests that wait for it. */
  loads: loadsSchema,
  /** Requests that wait for any server, by service. */
  waiting: z.record(z.string(), z.number().int()),
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
/** The state of one entry VM, sent to the peers of its cell. */
export type PeerStatus = z.infer<typeof peerStatusSchema>;

/** Changes of load, between two statuses. */
export interface LoadNews {
  readonly vm: contracts.VmId;
  /** Servers whose figures have changed since the last message. */
  readonly loads: PeerStatus["loads"];
}

/**
 * Whether parameters are {@link LoadNews}. More than a thousand of them reach
 * a VM in a second; a schema took a third of the time that datagrams take.
 */
export function isLoadNews(params: unknown): params is LoadNews {
  if (typeof params !== "object" || params === null) return false;
  const { vm, loads } = params as Partial<LoadNews>;
  if (typeof vm !== "string" || typeof loads !== "object") return false;
  return Object.values(loads ?? {}).every((load) =>
    Array.isArray(load) && Number.isInteger(load[0]) &&
    Number.isInteger(load[1])
  );
}

/** Schema of {@link RangeMapNews}. */
export const rangeMapNewsSchema = z.object({
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
 * A range map that the mover has written. The whole of it takes 20 KB for 200
 * servers; a move changes a few ranges.
 */
export type RangeMapNews = z.infer<typeof rangeMapNewsSchema>;

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

/** A slot of a server, and the request that it is for. */
const slotSchema = z.object({
  /** Drawn by the VM that asks. */
  id: z.number().int(),
  service: contracts.serviceIdSchema,
  server: contracts.serverIdSchema,
  bornMs: z.number().int(),
  slots: z.number().int().min(1),
  route: z.object({
    name: z.string(),
    priority: z.number(),
    targetLatencyMs: z.number(),
  }),
});
/** A slot as it is told. */
export type SlotMessage = z.infer<typeof slotSchema>;

/** Schema of {@link SlotAsks}. */
export const slotAsksSchema = z.object({
  vm: contracts.vmIdSchema,
  wishes: z.array(slotSchema.extend({
    /** Time left until an answer is late, and until it is of no use. */
    targetLeftMs: z.number(),
    answerLeftMs: z.number(),
  })),
  /** Wishes and slots that are over, with the time of an answered request. */
  ended: z.array(z.tuple([z.number().int(), z.number().nullable()])),
  /** All slots that the VM has of the coordinator; null when not told now. */
  held: z.array(slotSchema).nullable(),
});
/** What an entry VM asks of the one that gives out a server's slots. */
export type SlotAsks = z.infer<typeof slotAsksSchema>;

/** Schema of {@link SlotWords}. */
export const slotWordsSchema = z.object({
  vm: contracts.vmIdSchema,
  given: z.array(z.number().int()),
  queued: z.array(z.number().int()),
  refused: z.array(z.object({
    id: z.number().int(),
    reason: z.enum(["no-server", "no-owner", "no-room", "timeout"]),
    retryAfterMs: z.number(),
    expectedWaitMs: z.number(),
  })),
});
/** The answers to {@link SlotAsks}. */
export type SlotWords = z.infer<typeof slotWordsSchema>;

/** Schema of {@link Changes}. */
export const changesSchema = z.object({
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
});
/** Changes that a VM has read from the platform's store, for its cell. */
export type Changes = z.infer<typeof changesSchema>;

/** Schema of {@link ChangesWish}. */
export const changesWishSchema = z.object({
  vm: contracts.vmIdSchema,
  prefix: z.string(),
  cursor: z.number().int(),
});
/** Asks a peer for the changes after a position. */
export type ChangesWish = z.infer<typeof changesWishSchema>;
