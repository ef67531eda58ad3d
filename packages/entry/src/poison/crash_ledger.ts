/**
 * The crashes that an entry VM knows of, by the request that the server had, and
 * what they say of a request. Both request paths share it.
 */
import type * as contracts from "@guavatide/contracts";
import * as poison from "@guavatide/decisions/poison/mod";
import type { LogFields, Logger } from "../utils/log.ts";
import {
  type IdentifiedRequest,
  identifyRequest,
  type RequestIdentity,
} from "./request_identity.ts";
import type {
  CheckedServer,
  ServerCondition,
  ServerEndCheck,
} from "./server_end_check.ts";

/** Options of {@link CrashLedger}. */
export interface CrashLedgerOptions<Request extends object> {
  /** The parts of a request that identify it. */
  readonly partsOf: (request: Request) => IdentifiedRequest;
  /** The versions of servers whose crashes still count against a request. */
  readonly versionCheckOf: (
    fingerprint: contracts.RequestFingerprint,
  ) => poison.VersionCheck;
  readonly endCheck: Pick<ServerEndCheck, "check">;
  /** Milliseconds since the Unix epoch. */
  readonly unixMs: () => number;
  readonly log: Logger;
  /** What ends the refusal of a poisonous request, as a sentence. */
  readonly remedy: string;
  /** Called when a crash makes a request poisonous. */
  readonly onPoisonous?: (crash: contracts.ServerCrash) => void;
}

/** A server that broke off a connection. */
export type LosingServer = CheckedServer & {
  readonly service: contracts.ServiceId;
};

/** Records crashes and judges requests. */
export class CrashLedger<Request extends object> {
  readonly #options: CrashLedgerOptions<Request>;
  readonly #identities = new WeakMap<Request, RequestIdentity>();
  readonly tracker = new poison.PoisonRequestTracker();

  constructor(options: CrashLedgerOptions<Request>) {
    this.#options = options;
  }

  /** The identity of a request, which is the same for all its attempts. */
  identify(request: Request): RequestIdentity {
    const known = this.#identities.get(request);
    if (known !== undefined) return known;
    const identity = identifyRequest(this.#options.partsOf(request));
    this.#identities.set(request, identity);
    return identity;
  }

  /** Whether no server may run the request. */
  isPoisonous(request: Request): boolean {
    if (this.tracker.size === 0) return false;
    const { fingerprint, caller } = this.identify(request);
    return this.#isPoisonous(fingerprint, caller);
  }

  /** Finds out what became of a server that broke off a connection, and logs it. */
  async checkServer(
    request: Request,
    server: LosingServer,
    fields?: LogFields,
  ): Promise<ServerCondition> {
    const { endCheck, log } = this.#options;
    const condition = await endCheck.check(server);
    log.info("Connection lost under a request.", {
      ...fields,
      ...this.identify(request),
      server: server.server,
      service: server.service,
      condition,
    });
    return condition;
  }

  /** Records a crash; false when it is known or an answer came after it. */
  record({ fingerprint, crash }: contracts.CrashReport): boolean {
    const { caller } = crash;
    const wasPoisonous = this.#isPoisonous(fingerprint, caller);
    if (!this.tracker.recordCrash(fingerprint, crash)) return false;
    const isPoisonous = this.#isPoisonous(fingerprint, caller);
    if (isPoisonous && !wasPoisonous) this.#notePoisonous(fingerprint, crash);
    return true;
  }

  /** Records an answer; true when it clears the caller's request of crashes. */
  clear({ fingerprint, caller, atMs }: contracts.AnswerReport): boolean {
    if (!this.tracker.recordAnswer(fingerprint, { caller, atMs })) return false;
    const fields = { fingerprint, caller };
    this.#options.log.info("A suspected request has been answered.", fields);
    return true;
  }

  /**
   * Notes that a server ran the request to its end, which a poison request never
   * reaches. Returns what to tell peers; undefined when it clears nothing.
   */
  noteAnswer(request: Request): contracts.AnswerReport | undefined {
    if (this.tracker.size === 0) return undefined;
    const atMs = this.#options.unixMs();
    const report = { ...this.identify(request), atMs };
    return this.clear(report) ? report : undefined;
  }

  #isPoisonous(
    fingerprint: contracts.RequestFingerprint,
    caller: contracts.CallerId,
  ): boolean {
    const check = this.#options.versionCheckOf(fingerprint);
    return this.tracker.verdict(fingerprint, caller, check) === "poisonous";
  }

  #notePoisonous(
    fingerprint: contracts.RequestFingerprint,
    crash: contracts.ServerCrash,
  ): void {
    const { log, remedy, onPoisonous } = this.#options;
    const crashes = this.tracker.crashes(fingerprint);
    const versions = new Set(
      crashes.map(({ softwareVersion }) => softwareVersion),
    );
    log.warn(
      "Refuses a request from now on: it has crashed the servers that ran it. " +
        remedy,
      {
        fingerprint,
        caller: crash.caller,
        service: crash.service,
        servers: crashes.map(({ server }) => server).join(),
        versions: [...versions].join(),
      },
    );
    onPoisonous?.(crash);
  }
}
