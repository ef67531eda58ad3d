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
/** How long a request runs. */
export type ServiceTime = z.infer<typeof serviceTimeSchema>;

/** Schema of {@link BackendSettings}. */
export const backendSettingsSchema = z.strictObject({
  server: serverIdSchema,
  service: serviceIdSchema,
  zone: zoneIdSchema,
  /** 0 takes a free port. */
  port: z.number().int().min(0).max(65535).default(0),
  host: z.string().default("127.0.0.1"),
  /** Whether a request must name a slice that the server holds. */
  keyed: z.boolean().default(true),
  /** Requests that run at once. */
  slots: z.number().int().min(1).default(3),
  /** Requests that wait for a slot; one more is refused as busy. */
  queueLimit: z.number().int().min(0).default(2),
  /** Further connections are closed as they come. */
  connectionLimit: z.number().int().min(1).default(110),
  serviceTimeMs: serviceTimeSchema.default({ kind: "fixed", ms: 5 }),
  seed: z.number().int().default(1),
  /** How long after the start the server is cold. */
  coldStartMs: z.number().min(0).default(0),
  /** A cold server refuses, or runs slower by `coldSlowFactor`. */
  coldMode: z.enum(["refuse", "slow"]).default("refuse"),
  coldSlowFactor: z.number().min(1).default(10),
  /** Delay of a message to or from the server. */
  linkDelayMs: z.number().min(0).default(0),
  /** Delay of the first request of a connection. */
  newConnectionMs: z.number().min(0).default(0),
  checksFences: z.boolean().default(true),
  /** How far the load report lies behind. */
  loadLagMs: z.number().min(0).default(0),
  /** File for the journal, so that it outlives a killed process. */
  journalFile: z.string().optional(),
  /** After SIGTERM: shortest time to stay and refuse before the end. */
  drainGraceMs: z.number().min(0).default(500),
});
/** Settings of one backend server. */
export type BackendSettings = z.infer<typeof backendSettingsSchema>;

/** Schema of {@link BackendFaults}. */
export const backendFaultsSchema = z.strictObject({
  /** Requests run this many times slower. */
  slowFactor: z.number().positive().optional(),
  /** While true, no run ends. */
  holdRuns: z.boolean().optional(),
  /** Time between the end of a run and its answer. */
  answerLateMs: z.number().min(0).optional(),
  /** The next answers that bear another request's id. */
  wrongIdAnswers: z.number().int().min(0).optional(),
  /** The next answers that are cut in the middle. */
  truncatedAnswers: z.number().int().min(0).optional(),
  /** The next answers that never come; the request has run. */
  lostAnswers: z.number().int().min(0).optional(),
  /** What the load report claims, whatever is true. */
  load: z.strictObject({
    inFlight: z.number().int().min(0).optional(),
    ageMs: z.number().min(0).optional(),
    healthy: z.boolean().optional(),
  }).optional(),
  /** Control calls are never answered. */
  controlHangs: z.boolean().optional(),
});
/** Faults in force, set over `POST /faults`. */
export type BackendFaults = z.infer<typeof backendFaultsSchema>;
