/**
 * Keeps requests that crash the servers that run them from reaching further
 * servers, where entry VMs serve the product's own interface. They
 * call one another with each crash; a VM that starts asks its peers for those
 * that are known.
 */
import * as contracts from "@guavatide/contracts";
import * as z from "zod";
import type { ServerAddress } from "../contracts/views.ts";
import {
  CrashLedger,
  type CrashLedgerOptions,
} from "../poison/crash_ledger.ts";
import { GivenUpRequests } from "../poison/given_up_requests.ts";
import type { ServerCondition } from "../poison/server_end_check.ts";
import type { LifeCycle, PeriodicTask } from "../utils/life_cycle.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { PeerRpc } from "./peer_rpc.ts";

/** Options of {@link CrashGuard}. */
export interface CrashGuardOptions
  extends
    Pick<CrashLedgerOptions<CallerRequest>, "endCheck" | "unixMs" | "log"> {
  /** Without peers, this VM judges by the crashes that it has seen itself. */
  readonly peers?: PeerRpc | undefined;
  readonly clock: contracts.Clock;
  readonly lifeCycle: LifeCycle;
}

const CRASH_METHOD = "crash-report";
const ANSWER_METHOD = "answer-report";
const KNOWN_CRASHES_METHOD = "known-crashes";
const CALL_TIMEOUT_MS = 500;
/** Reports that a peer has not received are sent again at this interval. */
const RETRY_INTERVAL_MS = 1_000;
const EXPIRY_INTERVAL_MS = 10_000;
/** A peer that was cut off for longer has to restart to learn of a crash. */
const RETRY_LIMIT_MS = 60_000;
/**
 * One attempt at a poisonous request is let through after this time: servers do
 * not tell their version, so a mended release shows only by its answer.
 */
const TRIAL_INTERVAL_MS = 600_000;
/** The VM list does not tell when a server started. */
const UNKNOWN_BORN_MS = 0;

const receivedSchema = z.object({});
const knownCrashesSchema = z.object({
  crashes: z.array(contracts.crashReportSchema),
});

interface PendingReport {
  readonly method: string;
  readonly report: contracts.CrashReport | contracts.AnswerReport;
  readonly unreached: Set<contracts.VmId>;
  /** On this VM's monotonic clock. */
  readonly untilMs: number;
}

/** A server, and its run as far as a connection to it has named one. */
type ServerAtRun = ServerAddress & {
  readonly bornMs: number;
  readonly run: string | undefined;
};

/** Verdicts on requests, from the crashes that the entry VMs have seen. */
export class CrashGuard {
  readonly #options: CrashGuardOptions;
  readonly #ledger: CrashLedger<CallerRequest>;
  readonly #givenUp: GivenUpRequests<CallerRequest, ServerAtRun>;
  #pending: PendingReport[] = [];
  #hasAsked = false;
  #task: PeriodicTask | undefined;

  constructor(options: CrashGuardOptions) {
    this.#options = options;
    const { peers, lifeCycle } = options;
    this.#ledger = new CrashLedger({
      ...options,
      partsOf: ({ method, service, pathAndQuery, key, body, caller }) => (
        { method, host: service, target: pathAndQuery, key, body, caller }
      ),
      versionCheckOf: (fingerprint) => () => this.#hasRecentCrash(fingerprint),
      remedy: "Release mended software; one attempt is let through every " +
        `${TRIAL_INTERVAL_MS / 1_000} s.`,
    });
    this.#givenUp = new GivenUpRequests({
      ...options,
      onEnded: (server, requests, atMs) => {
        const { run } = server;
        for (const it of requests) this.#witness(it, server, { run, atMs });
      },
    });
    if (peers === undefined) return;
    peers.register(CRASH_METHOD, contracts.crashReportSchema, (report) => {
      this.#ledger.record(report);
      this.#schedule();
      return {};
    });
    peers.register(ANSWER_METHOD, contracts.answerReportSchema, (report) => {
      this.#ledger.clear(report);
      return {};
    });
    peers.register(
      KNOWN_CRASHES_METHOD,
      receivedSchema,
      () => ({ crashes: this.#knownCrashes() }),
    );
    this.#task = lifeCycle.every(RETRY_INTERVAL_MS, () => this.#tick(peers));
  }

  /** Whether no server may run the request. */
  isPoisonous(request: CallerRequest): boolean {
    return this.#ledger.isPoisonous(request);
  }

  /**
   * A server broke off the connection on which it had a request. Finds out
   * whether it has crashed, and records it. `run` is the run that the server
   * has named on that connection. Never rejects.
   */
  async noteLostConnection(
    request: CallerRequest,
    address: ServerAddress,
    run?: string,
  ): Promise<ServerCondition> {
    const atMs = this.#options.unixMs();
    const losing = { ...address, bornMs: UNKNOWN_BORN_MS };
    const condition = await this.#ledger.checkServer(request, losing);
    if (condition === "ended") this.#witness(request, address, { run, atMs });
    return condition;
  }

  /**
   * A request was given up while a server had it. It is to blame if the server
   * ends soon after.
   */
  noteGivenUp(
    request: CallerRequest,
    address: ServerAddress,
    run?: string,
  ): void {
    this.#givenUp.note(request, { ...address, bornMs: UNKNOWN_BORN_MS, run });
  }

  /** Records and reports a crash that this VM has seen. */
  #witness(
    request: CallerRequest,
    { state, service, server }: ServerAddress,
    { run, atMs }: { readonly run: string | undefined; readonly atMs: number },
  ): void {
    // A server that leaves ends for reasons of its own.
    if (state !== "live") return;
    const { fingerprint, caller } = this.#ledger.identify(request);
    const crash: contracts.ServerCrash = {
      service,
      server,
      bornMs: UNKNOWN_BORN_MS,
      run,
      softwareVersion: "",
      caller,
      atMs,
    };
    const report = { fingerprint, crash };
    this.#ledger.record(report);
    this.#report(CRASH_METHOD, report);
  }

  /** A server ran the request to its end. */
  noteAnswer(request: CallerRequest): void {
    const report = this.#ledger.noteAnswer(request);
    if (report !== undefined) this.#report(ANSWER_METHOD, report);
  }

  #hasRecentCrash(fingerprint: contracts.RequestFingerprint): boolean {
    const nowMs = this.#options.unixMs();
    return this.#ledger.tracker.crashes(fingerprint)
      .some(({ atMs }) => nowMs - atMs < TRIAL_INTERVAL_MS);
  }

  #knownCrashes(): contracts.CrashReport[] {
    const { tracker } = this.#ledger;
    return tracker.fingerprints.flatMap((fingerprint) =>
      tracker.crashes(fingerprint).map((crash) => ({ fingerprint, crash }))
    );
  }

  #report(method: string, report: PendingReport["report"]): void {
    const { peers, clock } = this.#options;
    if (peers === undefined) return;
    const others = peers.members().filter((vm) => vm !== peers.self.vm);
    const untilMs = clock.nowMs() + RETRY_LIMIT_MS;
    const pending = { method, report, unreached: new Set(others), untilMs };
    this.#pending.push(pending);
    this.#send(peers, pending);
    this.#schedule();
  }

  /** Runs the task only while there is something to send, ask or forget. */
  #schedule(): void {
    const isBusy = this.#pending.length > 0 || !this.#hasAsked;
    this.#task?.setIntervalMs(
      isBusy
        ? RETRY_INTERVAL_MS
        : this.#ledger.tracker.size > 0
        ? EXPIRY_INTERVAL_MS
        : Number.POSITIVE_INFINITY,
    );
  }

  #tick(peers: PeerRpc): void {
    const { clock, unixMs } = this.#options;
    const nowMs = clock.nowMs();
    this.#ledger.tracker.expire(unixMs());
    this.#pending = this.#pending.filter(({ unreached, untilMs }) =>
      unreached.size > 0 && nowMs < untilMs
    );
    for (const pending of this.#pending) this.#send(peers, pending);
    if (!this.#hasAsked) this.#askPeers(peers);
    this.#schedule();
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
        for (const report of reply.crashes) this.#ledger.record(report);
        this.#schedule();
      });
    }
  }
}
