/** Messages between the bench and its child processes. */
import * as contracts from "@guavatide/contracts";
import * as z from "zod";

/** Schema of {@link EntryArgument}. */
export const entryArgumentSchema = z.strictObject({
  vm: contracts.vmIdSchema,
  /** One-way delay of messages between entry VMs, in milliseconds. */
  peerDelayMs: z.number().min(0),
  secret: z.string().min(1),
});
/** Argument of an entry process of the bench. */
export type EntryArgument = z.infer<typeof entryArgumentSchema>;

/** Schema of {@link EntrySetup}. */
export const entrySetupSchema = z.strictObject({
  service: contracts.serviceSchema,
  partner: contracts.partnerSchema,
  servers: z.array(z.strictObject({
    server: contracts.serverIdSchema,
    zone: contracts.zoneIdSchema,
    port: z.number().int(),
  })),
  peers: z.array(z.strictObject({
    vm: contracts.vmIdSchema,
    port: z.number().int(),
  })),
});
/** Sent to each entry process once all ports are known, and on changes. */
export type EntrySetup = z.infer<typeof entrySetupSchema>;

/** Resource usage and counters of an entry process since its start. */
export interface EntryUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
  readonly requests: number;
  readonly retries: number;
  readonly peerMessages: number;
  readonly ejections: number;
  /** Event loop lag: due to noise of the machine or to overload. */
  readonly loopDelayP99Ms: number;
}

/** Schema of {@link LoadStream}. */
export const loadStreamSchema = z.strictObject({
  /** The caller that sends these requests. */
  caller: z.string(),
  requestsPerSecond: z.number().positive(),
  fromMs: z.number().min(0),
  toMs: z.number().min(0),
});
/** Requests of one caller, as a Poisson process with a mean rate. */
export type LoadStream = z.infer<typeof loadStreamSchema>;

/** Schema of {@link CallerArgument}. */
export const callerArgumentSchema = z.strictObject({
  /** Targets; one is drawn at random for each request. */
  origins: z.array(z.string()).min(1),
  path: z.string(),
  method: z.string(),
  /** Whether to send a request id, as a directly called server needs it. */
  withRequestId: z.boolean(),
  streams: z.array(loadStreamSchema).min(1),
  /** Deadline of each request. */
  timeoutMs: z.number().positive(),
  /** One-way delay between caller and entry VM. */
  clientDelayMs: z.number().min(0),
  /** Requests sent before this time are not counted in the figures. */
  warmUpMs: z.number().min(0),
  /** Prefix of operation ids that makes them unique in a run. */
  label: z.string(),
  seed: z.number().int(),
  resultFile: z.string(),
});
/** Argument of a caller process. */
export type CallerArgument = z.infer<typeof callerArgumentSchema>;

/** Outcome of one operation. */
export interface OperationResult {
  readonly id: string;
  readonly caller: string;
  readonly isCounted: boolean;
  /** `answered`, `not-run`, `unknown`, or `none` if no answer came. */
  readonly outcome: string;
  readonly reason: string;
  readonly latencyMs: number;
  /** When it was due to be sent, since the start of the load. */
  readonly sentMs: number;
}
