/** Settings of an entry process on an external platform, as JSON. */
import * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import * as z from "zod";

const wholeMs = z.number().int().min(1).max(86_400_000);

/** Schema of {@link GatewaySettings}. */
export const gatewaySettingsSchema = z.strictObject({
  /** Name of this VM. */
  vm: contracts.vmIdSchema,
  zone: contracts.zoneIdSchema,
  region: contracts.regionIdSchema,
  /** Region of each availability zone of the deployment. */
  zones: z.record(contracts.zoneIdSchema, contracts.regionIdSchema),
  /** IP address that peers use. */
  host: contracts.ipAddressSchema,
  /** Address of the listener for clients. */
  front: contracts.socketAddressSchema,
  /** Address of the readiness probe of the platform's load balancer. */
  readiness: contracts.socketAddressSchema,
  /** UDP port between entry VMs, the same on all of them. */
  peerPort: contracts.portSchema,
  metricsPort: contracts.portSchema,
  /** Addresses of some entry VMs, possibly stale; only their hosts are used. */
  seeds: z.array(contracts.socketAddressSchema),
  store: contracts.socketAddressSchema,
  limits: z.strictObject({
    /** File descriptors that the process may open. */
    descriptors: z.number().int().min(64),
    /** Fraction of each processor that the VM gets. */
    processorShare: z.number().positive(),
    processors: z.number().int().min(1),
    /** Memory of the VM in MB; absent for no limit on held bytes. */
    memoryMb: z.number().positive().optional(),
    /** Bandwidth of the VM's link in Mbit/s; absent if it is not known. */
    linkMbps: z.number().positive().optional(),
  }),
  timings: z.strictObject({
    /** Seconds from the stop signal until the process is killed. */
    graceSeconds: z.number().positive(),
    /** Maximum lease duration that a server accepts, in milliseconds. */
    longestGrantMs: wholeMs,
  }),
  /** Limit on retries to a service, of all entry VMs together. */
  retryBudget: z.strictObject({
    ratio: z.number().min(0),
    slack: z.number().min(0),
    windowSeconds: z.number().positive(),
  }),
  /** Whether an earlier run of the process on this VM may just have ended. */
  isRestart: z.boolean().optional(),
  /** Absent for 2 s. */
  drain: z.strictObject({
    /** Time in which requests to a server that drains must cease. */
    boundMs: wholeMs,
  }).optional(),
  /** Absent where zones are never evacuated. */
  evacuation: z.strictObject({
    /** Time in which requests to the zone's servers must cease. */
    boundMs: wholeMs,
  }).optional(),
  /** Limit on requests to a cold server; absent where there is none. */
  coldStarts: z.strictObject({
    /** Requests per second, as a multiple of what a cold server can serve. */
    excessRatio: z.number().min(0),
    /** Requests per second beyond that. */
    slack: z.number().min(0),
  }).optional(),
  /**
   * Where callers share what a service can do and VMs admit requests together:
   * in deployments that transfer files (the default), in all, or in none.
   */
  callerShares: z.enum(["file-transfers", "always", "never"])
    .optional(),
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
  }).prefault({}),
}).refine(({ zone, zones }) => zones[zone] !== undefined, {
  path: ["zone"],
  error: 'Not among "zones"; name its region there',
});
/** The settings of one entry process on an external platform. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Why settings were rejected; the message names each invalid field. */
export interface GatewaySettingsError {
  readonly kind: "not-json" | "invalid";
  readonly message: string;
}

/** Parses settings from JSON text. Errors: not JSON, or invalid fields. */
export function loadGatewaySettings(
  text: string,
): neverthrow.Result<GatewaySettings, GatewaySettingsError> {
  const raw = contracts.parseJson(text);
  if (raw.isErr()) {
    return neverthrow.err({
      kind: "not-json",
      message: `Correct the JSON of the settings file: ${raw.error.message}`,
    });
  }
  const parsed = gatewaySettingsSchema.safeParse(raw.value);
  if (parsed.success) return neverthrow.ok(parsed.data);
  const problems = parsed.error.issues
    .map(({ path, message }) => `"${path.join(".")}": ${message}`);
  return neverthrow.err({
    kind: "invalid",
    message: `Settings are invalid; correct ${problems.join("; ")}`,
  });
}
