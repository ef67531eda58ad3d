/** Records of requests that crash the backend servers that run them. */
import * as z from "zod";
import {
  callerIdSchema,
  requestFingerprintSchema,
  serverIdSchema,
  serviceIdSchema,
} from "./ids.ts";

/** Schema of {@link ServerCrash}. */
export const serverCrashSchema = z.object({
  service: serviceIdSchema,
  server: serverIdSchema,
  /** Unix time of the server's start in milliseconds; 0 where none tells it. */
  bornMs: z.number().int(),
  /** Name that the server itself gives its run; absent when none was heard. */
  run: z.string().max(200).optional(),
  /** Version of the server's software; empty when it registers none. */
  softwareVersion: z.string().max(200),
  caller: callerIdSchema,
  /** Unix time of the crash in milliseconds, on the clock of the witness. */
  atMs: z.number(),
});
/** A server that ended while it had a request of a caller. */
export type ServerCrash = z.infer<typeof serverCrashSchema>;

/** Schema of {@link CrashReport}. */
export const crashReportSchema = z.object({
  fingerprint: requestFingerprintSchema,
  crash: serverCrashSchema,
});
/** A crash with the request that the server had. */
export type CrashReport = z.infer<typeof crashReportSchema>;

/** Schema of {@link AnswerReport}. */
export const answerReportSchema = z.object({
  fingerprint: requestFingerprintSchema,
  caller: callerIdSchema,
  /** Unix time of the answer in milliseconds, on the clock of the witness. */
  atMs: z.number(),
});
/** A server ran a suspected request to its end. */
export type AnswerReport = z.infer<typeof answerReportSchema>;

/** Schema of {@link StoredPoisonRequest}. */
export const storedPoisonRequestSchema = z.object({
  crashes: z.array(serverCrashSchema),
});
/** What the store keeps of a request, under its fingerprint. */
export type StoredPoisonRequest = z.infer<typeof storedPoisonRequestSchema>;
