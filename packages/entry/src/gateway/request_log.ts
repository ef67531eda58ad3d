/** What became of one request, for its log line and the metrics. */
import type * as contracts from "@guavatide/contracts";
import type { LogFields, PartLog } from "../utils/log.ts";
import type { FrontAnswer } from "./front_request.ts";

/** One send of a request. */
export interface AttemptRecord {
  readonly server: contracts.ServerId;
  /** Requests that all entry VMs were believed to have there. */
  readonly outstanding: number;
  readonly fence: number | undefined;
  readonly tookMs: number;
  /** What the server told with its answer. */
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
}

/** Lines a second for requests that ended badly, and for all others. */
const FAILED_PER_SECOND = 60;
const SERVED_PER_SECOND = 2;
const WINDOW_MS = 1_000;

/**
 * Writes a line for each request that ended badly and for a few of the others,
 * up to a bound a second, and counts those left out: many lines take much
 * processor time.
 */
export class RequestLog {
  readonly #log: PartLog;
  readonly #clock: contracts.Clock;
  #windowStartMs = 0;
  #bad = 0;
  #good = 0;
  #omittedBad = 0;

  constructor(log: PartLog, clock: contracts.Clock) {
    this.#log = log;
    this.#clock = clock;
  }

  /** Writes the request's line, unless the bound is reached. */
  record(story: RequestRecord): void {
    this.#turnWindow();
    const isGood = story.answer.kind === "passed-on" &&
      story.answer.answer.status < 500;
    if (isGood) {
      this.#good++;
      if (this.#good <= SERVED_PER_SECOND) this.#write("Answered.", story);
      return;
    }
    this.#bad++;
    if (this.#bad <= FAILED_PER_SECOND) this.#write("Ended badly.", story);
    else this.#omittedBad++;
  }

  #turnWindow(): void {
    const nowMs = this.#clock.nowMs();
    if (nowMs - this.#windowStartMs < WINDOW_MS) return;
    this.#windowStartMs = nowMs;
    this.#bad = 0;
    this.#good = 0;
    if (this.#omittedBad === 0) return;
    this.#log.warn("Left out lines of requests that ended badly.", {
      count: this.#omittedBad,
    });
    this.#omittedBad = 0;
  }

  #write(sentence: string, story: RequestRecord): void {
    this.#log.info(sentence, fieldsOf(story));
  }
}

function fieldsOf(story: RequestRecord): LogFields {
  const { answer, attempts } = story;
  const own = answer.kind === "own" ? answer : undefined;
  return {
    id: story.id,
    route: story.route,
    service: story.service,
    key: story.key,
    configVersion: story.configVersion,
    outcome: story.outcome,
    status: own?.status ??
      (answer.kind === "passed-on" ? answer.answer.status : undefined),
    retryAfterMs: own?.retryAfterMs === undefined
      ? undefined
      : Math.round(own.retryAfterMs),
    tookMs: Math.round(story.tookMs),
    queuedMs: Math.round(story.queuedMs),
    sends: attempts.map(formatAttempt).join("; "),
  };
}

function formatAttempt(
  { server, outstanding, fence, tookMs, report, end }: AttemptRecord,
): string {
  const owner = fence === undefined ? "" : ` fence ${fence}`;
  return `${server}${owner} with ${outstanding} there: ${end} after ` +
    `${Math.round(tookMs)} ms${formatReport(report)}`;
}

function formatReport(report: contracts.ServerReport | undefined): string {
  if (report === undefined) return "";
  const { running, waiting, slots, slowdownRatio = 1 } = report;
  return `, reports ${running}+${waiting} of ${slots} at ${slowdownRatio}x`;
}
