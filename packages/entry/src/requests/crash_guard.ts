/**
 * Keeps requests that crash the servers that run them from reaching further
 * servers, where entry VMs serve the product's own interface. They
 * call one another with each crash; a VM that starts asks its peers for those
 * that are known.
 */
import * as contracts from "@guavatide/contracts";
import * as poison from "@guavatide/decisions/poison/mod";
import * as z from "zod";
import type { ServerAddress } from "../contracts/views.ts";
import {
  identifyRequest,
  type RequestIdentity,
} from "../gateway/request_identity.ts";
import type {
  ServerCondition,
  ServerEndCheck,
} from "../links/server_end_check.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { Logger } from "../utils/log.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { PeerRpc } from "./peer_rpc.ts";

/** Options of {@link CrashGuard}. */
export interface CrashGuardOptions {
  /** Without peers, this VM judges by the crashes that it has seen itself. */
  readonly peers?: PeerRpc | undefined;
  readonly endCheck: Pick<ServerEndCheck, "check">;
  /** Milliseconds since the Unix epoch. */
  readonly unixMs: () => number;
  readonly lifeCycle: LifeCycle;
  readonly log: Logger;
}

const CRASH_METHOD = "crash-report";
const ANSWER_METHOD = "answer-report";
const KNOWN_CRASHES_METHOD = "known-crashes";
const CALL_TIMEOUT_MS = 500;
/** Reports that a peer has not received are sent again at this interval. */
const RETRY_INTERVAL_MS = 1_000;
/** A peer that was cut off for longer has to restart to learn of a crash. */
const RETRY_LIMIT_MS = 60_000;
/**
 * One attempt at a poisonous request is let through after this time: servers do
 * not tell their version, so a mended release shows only by its answer.
 */
const TRIAL_INTERVAL_MS = 600_000;
/**
 * Ends of a server within this time are one: it takes longer to start again,
 * and the VM list does not tell when it did.
 */
const RESTART_MIN_MS = 2_000;

const receivedSchema = z.object({});
const knownCrashesSchema = z.object({
  crashes: z.array(contracts.crashReportSchema),
});

interface PendingReport {
  readonly method: string;
  readonly report: contracts.CrashReport | contracts.AnswerReport;
  readonly unreached: Set<contracts.VmId>;
  readonly untilMs: number;
}

/** Verdicts on requests, from the crashes that the entry VMs have seen. */
export class CrashGuard {
  readonly #options: CrashGuardOptions;
  readonly #tracker = new poison.PoisonRequestTracker();
  readonly #identities = new WeakMap<CallerRequest, RequestIdentity>();
  #pending: PendingReport[] = [];
  #hasAsked = false;

  constructor(options: CrashGuardOptions) {
    this.#options = options;
    const { peers, lifeCycle } = options;
    if (peers === undefined) return;
    peers.register(
      CRASH_METHOD,
      contracts.crashReportSchema,
      (report) => this.#record(report),
    );
    peers.register(
      ANSWER_METHOD,
      contracts.answerReportSchema,
      (report) => this.#clear(report),
    );
    peers.register(
      KNOWN_CRASHES_METHOD,
      receivedSchema,
      () => ({ crashes: this.#knownCrashes() }),
    );
    lifeCycle.every(RETRY_INTERVAL_MS, () => this.#tick(peers));
  }

  /** Whether no server may run the request. */
  isPoisonous(request: CallerRequest): boolean {
    if (this.#tracker.size === 0) return false;
    const { fingerprint, caller } = this.#identify(request);
    return this.#verdict(fingerprint, caller) === "poisonous";
  }

  /**
   * A server broke off the connection on which it had a request. Finds out
   * whether it has crashed, and records it. Never rejects.
   */
  async noteLostConnection(
    request: CallerRequest,
    { server, service, host, port, state }: ServerAddress,
  ): Promise<ServerCondition> {
    const { endCheck, log, unixMs } = this.#options;
    const atMs = unixMs();
    const condition = await endCheck.check({ server, bornMs: 0, host, port });
    const { fingerprint, caller } = this.#identify(request);
    const fields = { fingerprint, caller, server, service, condition };
    log.info("Connection lost under a request.", fields);
    if (condition !== "ended" || state !== "live") return condition;
    const bornMs = Math.floor(atMs / RESTART_MIN_MS) * RESTART_MIN_MS;
    const softwareVersion = "";
    const crash = { service, server, bornMs, softwareVersion, caller, atMs };
    const report = { fingerprint, crash };
    this.#record(report);
    this.#report(CRASH_METHOD, report);
    return condition;
  }

  /** A server ran the request to its end. */
  noteAnswer(request: CallerRequest): void {
    if (this.#tracker.size === 0) return;
    const { fingerprint, caller } = this.#identify(request);
    const report = { fingerprint, caller, atMs: this.#options.unixMs() };
    if (this.#clear(report).isCleared) this.#report(ANSWER_METHOD, report);
  }

  #identify(request: CallerRequest): RequestIdentity {
    const known = this.#identities.get(request);
    if (known !== undefined) return known;
    const { method, service, pathAndQuery, key, body, caller } = request;
    const identity = identifyRequest({
      method,
      host: service,
      target: pathAndQuery,
      key,
      body,
      caller,
    });
    this.#identities.set(request, identity);
    return identity;
  }

  #verdict(
    fingerprint: contracts.RequestFingerprint,
    caller: contracts.CallerId,
  ): poison.PoisonVerdict {
    const nowMs = this.#options.unixMs();
    const isRecent = this.#tracker.crashes(fingerprint)
      .some(({ atMs }) => nowMs - atMs < TRIAL_INTERVAL_MS);
    return this.#tracker.verdict(fingerprint, caller, () => isRecent);
  }

  #record({ fingerprint, crash }: contracts.CrashReport): object {
    const { caller } = crash;
    const before = this.#verdict(fingerprint, caller);
    this.#tracker.recordCrash(fingerprint, crash);
    const isPoisonous = this.#verdict(fingerprint, caller) === "poisonous";
    if (isPoisonous && before !== "poisonous") {
      const servers = this.#tracker.crashes(fingerprint)
        .map(({ server }) => server).join();
      this.#options.log.warn(
        "Refuses a request from now on: it has crashed the servers that ran " +
          "it. Release mended software; one attempt is let through every " +
          `${TRIAL_INTERVAL_MS / 1_000} s.`,
        { fingerprint, caller, service: crash.service, servers },
      );
    }
    return {};
  }

  #clear({ fingerprint, caller, atMs }: contracts.AnswerReport): {
    readonly isCleared: boolean;
  } {
    const isCleared = this.#tracker.recordAnswer(fingerprint, { caller, atMs });
    const fields = { fingerprint, caller };
    if (isCleared) {
      this.#options.log.info("A suspected request has been answered.", fields);
    }
    return { isCleared };
  }

  #knownCrashes(): contracts.CrashReport[] {
    return this.#tracker.fingerprints.flatMap((fingerprint) =>
      this.#tracker.crashes(fingerprint)
        .map((crash) => ({ fingerprint, crash }))
    );
  }

  #report(method: string, report: PendingReport["report"]): void {
    const { peers, unixMs } = this.#options;
    if (peers === undefined) return;
    const others = peers.members().filter((vm) => vm !== peers.self.vm);
    const untilMs = unixMs() + RETRY_LIMIT_MS;
    const pending = { method, report, unreached: new Set(others), untilMs };
    this.#pending.push(pending);
    this.#send(peers, pending);
  }

  #tick(peers: PeerRpc): void {
    const nowMs = this.#options.unixMs();
    this.#tracker.expire(nowMs);
    this.#pending = this.#pending.filter(({ unreached, untilMs }) =>
      unreached.size > 0 && nowMs < untilMs
    );
    for (const pending of this.#pending) this.#send(peers, pending);
    if (!this.#hasAsked) this.#askPeers(peers);
  }

  #send(
    peers: PeerRpc,
    { method, report, unreached }: PendingReport,
  ): void {
    for (const vm of unreached) {
      peers.call(vm, method, {
        params: report,
        schema: receivedSchema,
        timeoutMs: CALL_TIMEOUT_MS,
      }).then((reply) => reply !== undefined && unreached.delete(vm));
    }
  }

  /** Asks every peer, until one has answered. */
  #askPeers(peers: PeerRpc): void {
    for (const vm of peers.members()) {
      if (vm === peers.self.vm) continue;
      peers.call(vm, KNOWN_CRASHES_METHOD, {
        params: {},
        schema: knownCrashesSchema,
        timeoutMs: CALL_TIMEOUT_MS,
      }).then((reply) => {
        if (reply === undefined) return;
        this.#hasAsked = true;
        for (const report of reply.crashes) this.#record(report);
      });
    }
  }
}
