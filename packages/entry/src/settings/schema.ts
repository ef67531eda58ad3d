/**
 * Schema of the JSON settings file of an entry process. The name of a field with
 * a unit ends with that unit: `Ms` for milliseconds, `Bytes` for bytes.
 */
import * as net from "node:net";
import * as contracts from "@guavatide/contracts";
import * as z from "zod";

const durationMs = z.number().int().min(1).max(86_400_000);
const count = z.number().int().min(1).max(1_000_000);
const sizeBytes = z.number().int().min(256).max(1_073_741_824);

const ipAddress = z.string().refine((text) => net.isIP(text) !== 0, {
  error: "not an IP address",
  params: { kind: "bad-address" },
});

const httpUrl = z.string().refine(isHttpUrl, {
  error: "not an http or https URL",
  params: { kind: "bad-address" },
});

function isHttpUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const protocol = new URL(text).protocol;
  return protocol === "http:" || protocol === "https:";
}

/** Ports of the listeners; 0 selects any free port. */
const portsSchema = z.strictObject({
  callers: z.number().int().min(0).max(65_535).default(7400),
  peers: z.number().int().min(0).max(65_535).default(7401),
  administration: z.number().int().min(0).max(65_535).default(7402),
  metrics: z.number().int().min(0).max(65_535).default(7403),
});

const platformSchema = z.strictObject({
  /** Base URL of the platform's object API. */
  storeUrl: httpUrl,
  /** Base URL of the platform's VM list. */
  vmListUrl: httpUrl,
  /** Timeout of one call to the store. */
  storeTimeoutMs: durationMs.default(1000),
});

const timingsSchema = z.strictObject({
  /**
   * Interval between heartbeats to a peer; at most 250 ms, because membership
   * suspects a peer after 750 ms and must not suspect healthy ones.
   */
  heartbeatMs: z.number().int().min(20).max(250).default(250),
  /** How long the confirmation of an assignment revision stays valid. */
  evidenceMs: durationMs.default(500),
  /** Duration of a server's lease. */
  leaseMs: durationMs.default(1000),
  /** Interval between renewals of a server's lease. */
  renewMs: durationMs.default(250),
  /** Time without a message after which a peer or server counts as failed. */
  detectMs: durationMs.default(1000),
  /** Maximum clock rate difference between two machines, as a fraction. */
  clockRateMargin: z.number().min(0).max(0.5).default(0.02),
  /** Duration of the leader lease. */
  dutyLeaseMs: durationMs.default(6000),
  /** Interval between renewals of the leader lease. */
  dutyRenewMs: durationMs.default(2000),
  /** Additional wait for handovers from servers that don't check fencing tokens. */
  unfencedMoveWaitMs: z.number().int().min(0).max(86_400_000).default(2000),
  /** Time off the VM list after which a VM counts as removed for good. */
  vmGoneGraceMs: durationMs.default(30_000),
  /** Polling interval of the VM list. */
  vmListMs: durationMs.default(1000),
  /** Interval between placement plans. */
  planMs: durationMs.default(1000),
  /** Maximum duration of one long poll of the store's watch. */
  watchWaitMs: durationMs.default(10_000),
  /** Mean interval between random comparisons of configuration with the store. */
  configCompareMs: durationMs.default(4000),
  /** How long a new process listens to peers before it adopts a configuration. */
  configSettleMs: durationMs.default(1000),
  /** Maximum time a graceful shutdown waits for requests in flight. */
  drainMs: durationMs.default(15_000),
});

const limitsSchema = z.strictObject({
  /** Maximum size of a request body. */
  bodyBytes: sizeBytes.default(1_048_576),
  /** Maximum total size of a request's headers. */
  headerBytes: sizeBytes.default(16_384),
  /** Maximum number of requests in flight on the callers' listener. */
  requestsInFlight: count.default(2000),
  /** Maximum number of open connections of each listener. */
  connections: count.default(4000),
  /** Timeout for receiving a request's headers. */
  headerTimeoutMs: durationMs.default(5000),
  /** Timeout for receiving a complete request. */
  requestTimeoutMs: durationMs.default(15_000),
  /** Idle timeout of a connection. */
  keepAliveMs: durationMs.default(30_000),
});

const logSchema = z.strictObject({
  format: z.enum(["text", "json"]).default("text"),
  level: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
});

/** Schema of {@link AdministrationRight}. */
export const administrationRightSchema = z.enum([
  "read",
  "edit",
  "publish",
  "drain",
]);
/** Permission of an operator. */
export type AdministrationRight = z.infer<typeof administrationRightSchema>;

/** Schema of {@link AdministrationToken}. */
export const administrationTokenSchema = z.strictObject({
  /** SHA-256 of the bearer token in hexadecimal; the token itself isn't stored. */
  tokenSha256: z.string().regex(/^[0-9a-f]{64}$/),
  /** Name of the operator in the audit log. */
  operator: z.string().min(1).max(100).regex(/^[A-Za-z0-9._@\-]+$/),
  /** Partners whose objects the operator may change; "*" for all. */
  partners: z.union([
    z.literal("*"),
    z.array(contracts.partnerIdSchema).min(1),
  ]),
  rights: z.array(administrationRightSchema).min(1),
});
/** One operator's access to the administration API. */
export type AdministrationToken = z.infer<typeof administrationTokenSchema>;

const listenerTlsSchema = z.strictObject({
  /** PEM file with the certificate chain. */
  certFile: z.string().min(1),
  /** PEM file with the private key. */
  keyFile: z.string().min(1),
  /** PEM file with the CA certificates that verify the other side. */
  caFile: z.string().min(1).optional(),
});
/** Certificate files of one listener. */
export type ListenerTls = z.infer<typeof listenerTlsSchema>;

const tlsSchema = z.strictObject({
  callers: listenerTlsSchema.optional(),
  peers: listenerTlsSchema.optional(),
  administration: listenerTlsSchema.optional(),
  metrics: listenerTlsSchema.optional(),
});

/** Schema of {@link Settings}. */
export const settingsSchema = z.strictObject({
  /** Name of this VM in the platform's VM list. */
  vm: contracts.vmIdSchema,
  /** Availability zone of this VM. */
  zone: contracts.zoneIdSchema,
  /** Region of that availability zone. */
  region: z.string().min(1).max(100),
  /** IP address of all listeners, and the one that peers connect to. */
  host: ipAddress,
  ports: portsSchema.prefault({}),
  platform: platformSchema,
  timings: timingsSchema.prefault({}),
  limits: limitsSchema.prefault({}),
  log: logSchema.prefault({}),
  /** Shared secret with which entry VMs authenticate their messages. */
  peerSecret: z.string().min(16).max(1000).optional(),
  /** File with that secret, as an alternative to `peerSecret`. */
  peerSecretFile: z.string().min(1).optional(),
  administration: z.strictObject({
    tokens: z.array(administrationTokenSchema).default([]),
    /** Number of audit log lines that each entry VM keeps in the store. */
    auditLines: z.number().int().min(10).max(2000).default(500),
  }).prefault({}),
  tls: tlsSchema.prefault({}),
});
/** The settings of an entry process. */
export type Settings = z.infer<typeof settingsSchema>;
