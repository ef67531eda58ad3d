/** Settings and faults of the backend server stand-in. */
import {
  serverIdSchema,
  serviceIdSchema,
  zoneIdSchema,
} from "@guavatide/contracts";
import * as z from "zod";

/** Schema of {@link ServiceTime}. */
export const serviceTimeSchema = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("fixed"), ms: z.number().min(0) }),
  z.strictObject({
    kind: z.literal("exponential"),
    meanMs: z.number().positive(),
  }),
  z.strictObject({
    kind: z.literal("lognormal"),
    medianMs: z.number().positive(),
    sigma: z.number().min(0),
  }),
]);
/** Distribution of the time that a request runs, in milliseconds. */
export type ServiceTime = z.infer<typeof serviceTimeSchema>;

/** Schema of {@link BackendSettings}. */
export const backendSettingsSchema = z.strictObject({
  server: serverIdSchema,
  service: serviceIdSchema,
  zone: zoneIdSchema,
  /** 0 picks a free port. */
  port: z.number().int().min(0).max(65535).default(0),
  host: z.string().default("127.0.0.1"),
  /** Whether a request must name a slice that the server has a lease for. */
  keyed: z.boolean().default(true),
  /** Maximum number of requests that run concurrently. */
  slots: z.number().int().min(1).default(3),
  /** Maximum number of queued requests; further ones are refused as busy. */
  queueLimit: z.number().int().min(0).default(2),
  /** Maximum number of open connections; further ones are closed at once. */
  connectionLimit: z.number().int().min(1).default(110),
  serviceTimeMs: serviceTimeSchema.default({ kind: "fixed", ms: 5 }),
  /** Seed of the service time samples. */
  seed: z.number().int().default(1),
  /** Length of the warm-up after the start, during which it is cold. */
  coldStartMs: z.number().min(0).default(0),
  /** A cold server refuses, or runs `coldSlowFactor` times slower. */
  coldMode: z.enum(["refuse", "slow"]).default("refuse"),
  coldSlowFactor: z.number().min(1).default(10),
  /** Simulated one-way network delay. */
  linkDelayMs: z.number().min(0).default(0),
  /** Simulated connection setup time, added to the first request. */
  newConnectionMs: z.number().min(0).default(0),
  checksFences: z.boolean().default(true),
  /** Age of the load that is reported. */
  loadLagMs: z.number().min(0).default(0),
  /** Journal file; it outlives a killed process. */
  journalFile: z.string().optional(),
  /** Minimum time to refuse new requests after SIGTERM before exiting. */
  drainGraceMs: z.number().min(0).default(500),
});
/** Settings of one backend server. */
export type BackendSettings = z.infer<typeof backendSettingsSchema>;

/** Schema of {@link BackendFaults}. */
export const backendFaultsSchema = z.strictObject({
  /** Factor by which requests run slower. */
  slowFactor: z.number().positive().optional(),
  /** While true, running requests do not finish. */
  holdRuns: z.boolean().optional(),
  /** Delay between the end of a request and its response. */
  answerLateMs: z.number().min(0).optional(),
  /** Number of next responses that carry a wrong request id. */
  wrongIdAnswers: z.number().int().min(0).optional(),
  /** Number of next responses that are cut off halfway through the body. */
  truncatedAnswers: z.number().int().min(0).optional(),
  /** Number of next requests that run but get no response. */
  lostAnswers: z.number().int().min(0).optional(),
  /** Overrides fields of the load report. */
  load: z.strictObject({
    inFlight: z.number().int().min(0).optional(),
    ageMs: z.number().min(0).optional(),
    healthy: z.boolean().optional(),
  }).optional(),
  /** Limit that its answers name, as text; empty for none. */
  requestLimit: z.string().optional(),
  /** Delay that its refusals name, as text in seconds; absent for none. */
  retryAfter: z.string().optional(),
  /** Whether control calls get no response. */
  controlHangs: z.boolean().optional(),
});
/** Faults in force, set over `POST /faults`. */
export type BackendFaults = z.infer<typeof backendFaultsSchema>;
