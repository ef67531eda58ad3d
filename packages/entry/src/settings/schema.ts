/**
 * The settings of one entry process, as written in its JSON file. Every
 * number carries its unit in its name: `Ms` milliseconds, `Bytes` bytes.
 */
import * as net from "node:net";
import * as contracts from "@guavatide/contracts";
import * as z from "zod";

const durationMs = z.number().int().min(1).max(86_400_000);
const count = z.number().int().min(1).max(1_000_000);
const sizeBytes = z.number().int().min(256).max(1_073_741_824);

const ipAddress = z.string().refine((text) => net.isIP(text) !== 0, {
  error: "not an IP number",
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

/** Ports of the doors; 0 lets the system choose one. */
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
  /** Longest time one call to the store may take. */
  storeTimeoutMs: durationMs.default(1000),
});

const timingsSchema = z.strictObject({
  /**
   * Between two heartbeats to a peer. Membership counts a peer as suspect
   * after 750 ms, so a longer interval would suspect peers that are well.
   */
  heartbeatMs: z.number().int().min(20).max(250).default(250),
  /** How long evidence for an assignment revision is good. */
  evidenceMs: durationMs.default(500),
  /** Length of a server's lease. */
  leaseMs: durationMs.default(1000),
  /** Between two renewals of a server's lease. */
  renewMs: durationMs.default(250),
  /** Silence after which a peer or a server counts as lost. */
  detectMs: durationMs.default(1000),
  /** Largest difference in rate between two clocks, as a fraction. */
  clockRateMargin: z.number().min(0).max(0.5).default(0.02),
  /** Length of the lease of control duty. */
  dutyLeaseMs: durationMs.default(6000),
  /** Between two renewals of control duty. */
  dutyRenewMs: durationMs.default(2000),
  /** Additional wait for servers that do not check who orders them. */
  unfencedMoveWaitMs: z.number().int().min(0).max(86_400_000).default(2000),
  /** How long a VM must be off the list before it counts as gone for good. */
  vmGoneGraceMs: durationMs.default(30_000),
  /** Between two reads of the VM list. */
  vmListMs: durationMs.default(1000),
  /** Between two plans of placement. */
  planMs: durationMs.default(1000),
  /** Longest wait of one long poll of the store's watch. */
  watchWaitMs: durationMs.default(10_000),
  /** Mean time between two draws whether to compare with the store. */
  configCompareMs: durationMs.default(4000),
  /** How long a fresh start listens before it takes a peer's configuration. */
  configSettleMs: durationMs.default(1000),
  /** Longest time a graceful shutdown waits for requests in flight. */
  drainMs: durationMs.default(15_000),
});

const limitsSchema = z.strictObject({
  /** Largest request body. */
  bodyBytes: sizeBytes.default(1_048_576),
  /** Largest sum of a request's headers. */
  headerBytes: sizeBytes.default(16_384),
  /** Requests in flight at the callers' door. */
  requestsInFlight: count.default(2000),
  /** Open connections at each door. */
  connections: count.default(4000),
  /** Time within which a request's headers must have arrived. */
  headerTimeoutMs: durationMs.default(5000),
  /** Time within which a whole request must have arrived. */
  requestTimeoutMs: durationMs.default(15_000),
  /** Time after which an idle connection is closed. */
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
/** What an operator may do. */
export type AdministrationRight = z.infer<typeof administrationRightSchema>;

/** Schema of {@link AdministrationToken}. */
export const administrationTokenSchema = z.strictObject({
  /** SHA-256 of the bearer token, hexadecimal; the token is kept nowhere. */
  tokenSha256: z.string().regex(/^[0-9a-f]{64}$/),
  /** Name of the operator in audit lines. */
  operator: z.string().min(1).max(100).regex(/^[A-Za-z0-9._@\-]+$/),
  /** Partners whose objects the operator may change; "*" means all. */
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
  /** PEM file with the authorities that sign the other side. */
  caFile: z.string().min(1).optional(),
});
/** Certificate files of one door. */
export type ListenerTls = z.infer<typeof listenerTlsSchema>;

const tlsSchema = z.strictObject({
  callers: listenerTlsSchema.optional(),
  peers: listenerTlsSchema.optional(),
  administration: listenerTlsSchema.optional(),
  metrics: listenerTlsSchema.optional(),
});

/** Schema of {@link Settings}. */
export const settingsSchema = z.strictObject({
  /** Name of this VM, as in the platform's VM list. */
  vm: contracts.vmIdSchema,
  /** Availability zone this VM stands in. */
  zone: contracts.zoneIdSchema,
  /** Region of that availability zone. */
  region: z.string().min(1).max(100),
  /** IP number on which every door listens and which peers use. */
  host: ipAddress,
  ports: portsSchema.prefault({}),
  platform: platformSchema,
  timings: timingsSchema.prefault({}),
  limits: limitsSchema.prefault({}),
  log: logSchema.prefault({}),
  /** Secret shared by all entry VMs; authenticates their messages. */
  peerSecret: z.string().min(16).max(1000).optional(),
  /** File that holds the secret, instead of `peerSecret`. */
  peerSecretFile: z.string().min(1).optional(),
  administration: z.strictObject({
    tokens: z.array(administrationTokenSchema).default([]),
    /** Audit lines kept in the store, for each entry VM. */
    auditLines: z.number().int().min(10).max(2000).default(500),
  }).prefault({}),
  tls: tlsSchema.prefault({}),
});
/** The settings of one entry process. */
export type Settings = z.infer<typeof settingsSchema>;
