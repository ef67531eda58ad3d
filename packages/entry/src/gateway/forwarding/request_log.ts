/** The request log, and the record of a request that it and the metrics use. */
import type * as contracts from "@guavatide/contracts";
import type * as admission from "@guavatide/decisions/admission/mod";
import type { LogFields, Logger } from "../../utils/log.ts";
import type { FrontAnswer } from "./front_request.ts";

/** One attempt of a request. */
export interface AttemptRecord {
  readonly server: contracts.ServerId;
  /** Requests of all entry VMs at the server, as known when it was sent. */
  readonly outstanding: number;
  readonly fence: number | undefined;
  readonly tookMs: number;
  /** Time from the choice of the server to the first byte; undefined if none left. */
  readonly leftAfterMs?: number | undefined;
  /** The peer that sent it, if this VM did not reach the server. */
  readonly via?: contracts.VmId | undefined;
  /** Load that the server reported in its response. */
  readonly report: contracts.ServerReport | undefined;
  readonly end: string;
}

/** A finished request. */
export interface RequestRecord {
  readonly id: string;
  readonly route: string;
  readonly service: contracts.ServiceId;
  readonly key: number | undefined;
  readonly configVersion: number;
  readonly outcome: string;
  readonly answer: FrontAnswer;
  readonly tookMs: number;
  readonly queuedMs: number;
  readonly attempts: readonly AttemptRecord[];
  /** Set when a server has broken off a connection under the request. */
  readonly fingerprint: contracts.RequestFingerprint | undefined;
  /** What a refused request met; undefined for any other outcome. */
  readonly queue?: {
    /** Requests of the service that wait at this VM. */
    readonly waiting: number;
    readonly expectedWaitMs: number;
    /** Undefined where callers have no shares. */
    readonly judged: admission.JudgedRequest | undefined;
  } | undefined;
  /**
   * The limit that refused the request, with the age of the answer that named
   * it; undefined for any other outcome.
   */
  readonly limit?: {
    readonly server: contracts.ServerId;
    readonly requestsPerSecond: number;
    readonly ageMs: number;
  } | undefined;
}

/** Log lines per second for failed requests, and for all others. */
const FAILED_PER_SECOND = 60;
const SERVED_PER_SECOND = 2;
const WINDOW_MS = 1_000;

/**
 * Logs failed requests and a few of the others, up to a limit per second, and
 * counts the lines left out: logging every request takes much processor time.
 */
export class RequestLog {
  readonly #log: Logger;
  readonly #clock: contracts.Clock;
  #windowStartMs = 0;
  #failed = 0;
  #served = 0;
  #omittedCount = 0;

  constructor(log: Logger, clock: contracts.Clock) {
    this.#log = log;
    this.#clock = clock;
  }

  /** Logs the request unless the limit for this second is reached. */
  record(record: RequestRecord): void {
    this.#rollWindow();
    const isServed = record.answer.kind === "passed-on" &&
      record.answer.answer.status < 500;
    if (isServed) {
      this.#served++;
      if (this.#served <= SERVED_PER_SECOND) this.#write("Answered.", record);
      return;
    }
    this.#failed++;
    if (this.#failed <= FAILED_PER_SECOND) this.#write("Ended badly.", record);
    else this.#omittedCount++;
  }

  #rollWindow(): void {
    const nowMs = this.#clock.nowMs();
    if (nowMs - this.#windowStartMs < WINDOW_MS) return;
    this.#windowStartMs = nowMs;
    this.#failed = 0;
    this.#served = 0;
    if (this.#omittedCount === 0) return;
    this.#log.warn("Left out lines of requests that ended badly.", {
      count: this.#omittedCount,
    });
    this.#omittedCount = 0;
  }

  #write(sentence: string, record: RequestRecord): void {
    this.#log.info(sentence, fieldsOf(record));
  }
}

function fieldsOf(record: RequestRecord): LogFields {
  const { answer, attempts } = record;
  const own = answer.kind === "own" ? answer : undefined;
  return {
    id: record.id,
    route: record.route,
    service: record.service,
    key: record.key,
    configVersion: record.configVersion,
    outcome: record.outcome,
    status: own?.status ??
      (answer.kind === "passed-on" ? answer.answer.status : undefined),
    retryAfterMs: own?.retryAfterMs === undefined
      ? undefined
      : Math.round(own.retryAfterMs),
    tookMs: Math.round(record.tookMs),
    queuedMs: Math.round(record.queuedMs),
    fingerprint: record.fingerprint,
    ...queueFieldsOf(record.queue),
    limitedBy: record.limit?.server,
    limitPerSecond: record.limit?.requestsPerSecond,
    limitAgeMs: record.limit && Math.round(record.limit.ageMs),
    sends: attempts.map(formatAttempt).join("; "),
  };
}

function queueFieldsOf(queue: RequestRecord["queue"]): LogFields {
  const judged = queue?.judged;
  if (queue === undefined || judged === undefined) return {};
  return {
    waiting: queue.waiting,
    expectedWaitMs: Math.round(queue.expectedWaitMs),
    standing: judged.standing,
    callerPerSecond: roundRate(judged.ratePerSecond),
    sharePerSecond: roundRate(judged.sharePerSecond),
  };
}

/** Undefined for the unlimited share of a caller without shortage. */
function roundRate(rate: number): number | undefined {
  return Number.isFinite(rate) ? Math.round(rate * 100) / 100 : undefined;
}

function formatAttempt(
  attempt: AttemptRecord,
): string {
  const { server, outstanding, fence, tookMs, via, report, end } = attempt;
  const owner = fence === undefined ? "" : ` fence ${fence}`;
  const path = via === undefined ? "" : ` via ${via}`;
  const { leftAfterMs } = attempt;
  const left = leftAfterMs === undefined
    ? ""
    : `, left after ${Math.round(leftAfterMs)} ms`;
  return `${server}${owner}${path} with ${outstanding} there: ${end} after ` +
    `${Math.round(tookMs)} ms${left}${formatReport(report)}`;
}

function formatReport(report: contracts.ServerReport | undefined): string {
  if (report === undefined) return "";
  const { running, waiting, slots, slowdownRatio = 1 } = report;
  return `, reports ${running}+${waiting} of ${slots} at ${slowdownRatio}x`;
}
