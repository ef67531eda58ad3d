/** What the bench and its processes tell each other. */
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
/** Sent to each entry process once all ports are known, and on a change. */
export type EntrySetup = z.infer<typeof entrySetupSchema>;

/** What an entry process has spent since its start. */
export interface EntryUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
  readonly requests: number;
  readonly retries: number;
  readonly peerMessages: number;
  readonly ejections: number;
  /** How late timers fired: noise of the machine, or too much work. */
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
/** Requests of one caller, arriving by chance at a mean rate. */
export type LoadStream = z.infer<typeof loadStreamSchema>;

/** Schema of {@link CallerArgument}. */
export const callerArgumentSchema = z.strictObject({
  /** Where the requests go: one is drawn for each. */
  origins: z.array(z.string()).min(1),
  path: z.string(),
  method: z.string(),
  /** Added to each request, for a server that is called directly. */
  withRequestId: z.boolean(),
  streams: z.array(loadStreamSchema).min(1),
  /** Time the caller waits. */
  timeoutMs: z.number().positive(),
  /** One-way delay between caller and entry VM. */
  clientDelayMs: z.number().min(0),
  /** Requests sent before this time are not counted in the figures. */
  warmUpMs: z.number().min(0),
  /** Ends the names of operations, so that they are unique in a run. */
  label: z.string(),
  seed: z.number().int(),
  resultFile: z.string(),
});
/** Argument of a caller process. */
export type CallerArgument = z.infer<typeof callerArgumentSchema>;

/** What became of one operation. */
export interface OperationResult {
  readonly id: string;
  readonly caller: string;
  readonly isCounted: boolean;
  /** `answered`, `not-run`, `unknown`, or `none` when nothing came back. */
  readonly outcome: string;
  readonly reason: string;
  readonly latencyMs: number;
  /** When it was sent, from the start of the load. */
  readonly sentMs: number;
}
