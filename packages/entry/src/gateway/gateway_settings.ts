/** Settings of an entry process on an outside platform, as JSON. */
import * as net from "node:net";
import * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import * as z from "zod";

const wholeMs = z.number().int().min(1).max(86_400_000);
const port = z.number().int().min(1).max(65_535);
const ipAddress = z.string().refine((text) => net.isIP(text) !== 0, {
  error: "Not an IP number; write it as in 10.1.0.18",
});
/** An address as text, `10.1.0.18:8381`. */
const address = z.string().transform((text, context) => {
  const colon = text.lastIndexOf(":");
  const host = text.slice(0, colon);
  const number = Number(text.slice(colon + 1));
  const isGood = net.isIP(host) !== 0 && Number.isInteger(number) &&
    number > 0 && number < 65_536;
  if (isGood) return { host, port: number };
  context.addIssue(`Saw "${text}"; write an address as in 10.1.0.18:8381`);
  return z.NEVER;
});

/** Schema of {@link GatewaySettings}. */
export const gatewaySettingsSchema = z.strictObject({
  /** Name of this VM. */
  vm: contracts.vmIdSchema,
  zone: contracts.zoneIdSchema,
  region: contracts.regionIdSchema,
  /** Region of each availability zone of the deployment. */
  zones: z.record(contracts.zoneIdSchema, contracts.regionIdSchema),
  /** IP number that peers use. */
  host: ipAddress,
  /** Where clients connect. */
  front: address,
  /** Where the balancer asks whether this VM is ready. */
  readiness: address,
  /** Port of the datagrams between entry VMs, the same on all of them. */
  peerPort: port,
  metricsPort: port,
  /** Addresses of some entry VMs, which may be stale; their hosts count. */
  seeds: z.array(address),
  store: address,
  limits: z.strictObject({
    /** Descriptors that the process may open. */
    descriptors: z.number().int().min(64),
    /** Part of each processor that the VM gets. */
    processorShare: z.number().positive(),
    processors: z.number().int().min(1),
  }),
  timings: z.strictObject({
    /** From the stop signal until the process is killed. */
    graceSeconds: z.number().positive(),
    /** Longest time for which a server takes a grant. */
    longestGrantMs: wholeMs,
  }),
  /** Second sends to a service, of all entry VMs together. */
  retryBudget: z.strictObject({
    ratio: z.number().min(0),
    slack: z.number().min(0),
    windowSeconds: z.number().positive(),
  }),
  /** Absent where zones are never evacuated. */
  evacuation: z.strictObject({
    /** Within this time the zone's servers have to be left alone. */
    boundMs: wholeMs,
  }).optional(),
  /** Bound on requests to a cold server; absent where there is none. */
  coldStarts: z.strictObject({
    /** A second's requests, as a multiple of what a cold server bears. */
    excessRatio: z.number().min(0),
    /** Requests beyond that. */
    slack: z.number().min(0),
  }).optional(),
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
  }).prefault({}),
}).refine(({ zone, zones }) => zones[zone] !== undefined, {
  path: ["zone"],
  error: 'Not among "zones"; name its region there',
});
/** The settings of one entry process on an outside platform. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Why settings were refused; the message names each field. */
export interface GatewaySettingsError {
  readonly kind: "not-json" | "invalid";
  readonly message: string;
}

/** Reads settings from JSON text. Errors: not JSON, or fields that are wrong. */
export function loadGatewaySettings(
  text: string,
): neverthrow.Result<GatewaySettings, GatewaySettingsError> {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch (error) {
    return neverthrow.err({
      kind: "not-json",
      message: `Mend the JSON of the settings file: ${String(error)}`,
    });
  }
  const parsed = gatewaySettingsSchema.safeParse(raw);
  if (parsed.success) return neverthrow.ok(parsed.data);
  const problems = parsed.error.issues
    .map(({ path, message }) => `"${path.join(".")}": ${message}`);
  return neverthrow.err({
    kind: "invalid",
    message: `Mend these settings: ${problems.join("; ")}`,
  });
}
