/** One request on its way: waiting, sends, and its single final answer. */
import type * as contracts from "@guavatide/contracts";
import type * as admission from "@guavatide/decisions/admission/mod";
import type {
  AttemptRequest,
  AttemptResult,
} from "../links/server_connection.ts";
import {
  type FrontAnswer,
  type FrontRequest,
  notRunAnswer,
} from "./front_request.ts";
import type { AttemptRecord, RequestRecord } from "./request_log.ts";

/** What a request needs of its surroundings. */
export interface ForwardingContext {
  readonly service: contracts.ServiceId;
  readonly queue: admission.ServiceQueue;
  readonly times: admission.ServiceTimes;
  readonly clock: contracts.Clock;
  readonly configVersion: number;
  /** Takes one second send from the shared budget if there is one. */
  tryRetry(): boolean;
  send(
    entry: contracts.RegisteredServer,
    request: AttemptRequest,
    options: { readonly timeoutMs: number; readonly signal: AbortSignal },
  ): Promise<AttemptResult>;
  /** Headers for one send, with what the system adds. */
  headers(
    request: FrontRequest,
    entry: contracts.RegisteredServer,
    leftMs: number,
  ): readonly string[];
  /** A server reported its load with an answer. */
  recordServerReport(
    server: contracts.ServerId,
    report: contracts.ServerReport,
    nowMs: number,
  ): void;
  /** Something ended or changed: waiting requests may have found room. */
  onFinished(story: RequestRecord): void;
  /** Load at the service's servers has changed. */
  onLoadChange(): void;
}

/**
 * The server stops a little before the caller is answered, so that its own
 * answer still arrives and its connection stays usable.
 */
const SERVER_DEADLINE_MARGIN_MS = 15;
/** Least time left for which a second send is worth its cost. */
const MIN_RETRY_TIME_LEFT_MS = 20;
/** A caller whose key's owner refused comes back when the move is over. */
const HANDOVER_RETRY_AFTER_MS = 150;
/** A send with less time than this part of the expected time is not repeated. */
const MIN_RETRY_TIME_RATIO = 0.6;
/** Wait before a request that its key's owner refused is placed again. */
const OWNER_REFUSAL_BACKOFF_MS = 25;

/** A request from its arrival to its answer. */
export class ForwardedRequest implements admission.WaitingRequest {
  readonly route: contracts.Route;
  readonly key: number | undefined;
  readonly bodyBytes: number;
  readonly targetMs: number;
  readonly answerByMs: number;
  readonly tried = new Set<contracts.ServerId>();
  readonly #request: FrontRequest;
  readonly #parts: ForwardingContext;
  readonly #resolve: (answer: FrontAnswer) => void;
  readonly #attempts: AttemptRecord[] = [];
  readonly #timer: NodeJS.Timeout;
  /** Cancels the send under way. */
  readonly #cancel = new AbortController();
  /** A server's failure that is passed on unless a second send does better. */
  #fallback: FrontAnswer | undefined;
  /** A send may have run without an answer. */
  #mayHaveRun = false;
  #sends = 0;
  #waitingSinceMs: number;
  #queuedMs = 0;
  #isSending = false;
  #isDone = false;

  constructor(
    request: FrontRequest,
    route: contracts.Route,
    parts: ForwardingContext,
    resolve: (answer: FrontAnswer) => void,
  ) {
    this.#request = request;
    this.route = route;
    this.#parts = parts;
    this.#resolve = resolve;
    this.key = request.key;
    this.bodyBytes = request.body?.length ?? 0;
    this.targetMs = request.arrivedMs + route.targetLatencyMs;
    const { deadlineMs } = request;
    const longestMs = Math.min(route.timeoutMs, deadlineMs ?? Infinity);
    this.answerByMs = request.arrivedMs + longestMs;
    this.#waitingSinceMs = request.arrivedMs;
    const leftMs = Math.max(0, this.answerByMs - parts.clock.nowMs());
    this.#timer = setTimeout(() => this.#onTimeout(), leftMs);
    request.signal.addEventListener("abort", this.#onCallerGone);
  }

  /** Asks for a server. The answer comes through `resolve`, once. */
  start(): void {
    if (this.#request.signal.aborted) return this.#onCallerGone();
    this.#parts.queue.add(this, this.#parts.clock.nowMs());
  }

  /** A server has room. */
  placed(placement: admission.Placement): void {
    const nowMs = this.#parts.clock.nowMs();
    this.#queuedMs += nowMs - this.#waitingSinceMs;
    this.#sends++;
    this.#send(placement, nowMs).catch((error) =>
      this.#finish(
        { kind: "own", status: 502, message: "The entry VM failed" },
        `failed: ${String(error)}`,
      )
    );
  }

  /** No server can be had in time. */
  refused(refusal: admission.Refusal): void {
    this.#queuedMs += this.#parts.clock.nowMs() - this.#waitingSinceMs;
    const { reason, retryAfterMs, expectedWaitMs } = refusal;
    const why = `${reason}, expected wait ${Math.round(expectedWaitMs)} ms`;
    this.#giveUp(why, retryAfterMs);
  }

  async #send(
    { load, outstanding, fence, releaseSlot: ended }: admission.Placement,
    nowMs: number,
  ): Promise<void> {
    const { entry } = load;
    const noteEnd = load.startRequest(nowMs);
    this.#parts.onLoadChange();
    const leftMs = this.answerByMs - nowMs;
    this.#isSending = true;
    const result = await this.#parts.send(
      entry,
      this.#linkRequest(entry, leftMs),
      { timeoutMs: leftMs, signal: this.#cancel.signal },
    );
    this.#isSending = false;
    const endedMs = this.#parts.clock.nowMs();
    const end = this.#sendEnd(result);
    noteEnd(end, endedMs);
    const report = "report" in result ? result.report : undefined;
    if (report !== undefined) {
      this.#parts.recordServerReport(entry.server, report, endedMs);
    }
    this.#attempts.push({
      server: entry.server,
      outstanding,
      fence,
      tookMs: endedMs - nowMs,
      report,
      end: describeResult(result),
    });
    const hasFreeSlots = outstanding < entry.slots;
    const isServed = end.kind === "answered" && !end.isFailure;
    if (isServed && hasFreeSlots) {
      this.#parts.times.record(this.route, entry.server, endedMs - nowMs);
    }
    ended?.(isServed ? endedMs - nowMs : undefined);
    this.#parts.onLoadChange();
    this.#take(result, entry.server);
    // A keyed server's slot goes back to its coordinator, not to this queue.
    if (!this.#isOwned()) this.#parts.queue.dispatch(endedMs);
  }

  #linkRequest(
    entry: contracts.RegisteredServer,
    leftMs: number,
  ): AttemptRequest {
    const { id, method, target, body } = this.#request;
    const serverLeftMs = Math.max(
      1,
      Math.floor(leftMs - SERVER_DEADLINE_MARGIN_MS),
    );
    return {
      id: id as contracts.RequestId,
      method,
      path: target,
      headers: this.#parts.headers(this.#request, entry, serverLeftMs),
      body,
      maySend: () => !this.#isDone,
      onServerStamp: () => {},
    };
  }

  #sendEnd(result: AttemptResult): admission.SendOutcome {
    if (this.#isDone) return { kind: "abandoned" };
    if (result.kind === "answer") {
      return { kind: "answered", isFailure: isFailure(result.answer.status) };
    }
    if (result.kind === "refusal") return { kind: "rejected" };
    return { kind: "lost" };
  }

  #take(result: AttemptResult, server: contracts.ServerId): void {
    if (this.#isDone) return;
    switch (result.kind) {
      case "answer":
        return this.#takeAnswer(result.answer, server);
      case "refusal":
        return this.#takeRefusal(result.refusal, server);
      case "not-sent":
        // Nothing left, so this costs no second send.
        this.#sends--;
        if (this.key === undefined) this.tried.add(server);
        return this.#again("no connection", false);
      case "unknown":
        this.#mayHaveRun = true;
        this.tried.add(server);
        return this.#takeUnknown(result.message);
    }
  }

  #takeAnswer(
    answer: Extract<AttemptResult, { kind: "answer" }>["answer"],
    server: contracts.ServerId,
  ): void {
    const passedOn: FrontAnswer = { kind: "passed-on", answer };
    const mayRepeat = isFailure(answer.status) && this.route.isIdempotent &&
      this.#mayRepeat(server);
    if (!mayRepeat) return this.#finish(passedOn, "answered");
    this.#fallback = passedOn;
    this.#again(`server failed with ${answer.status}`, true);
  }

  #takeRefusal(refusal: string, server: contracts.ServerId): void {
    const isKeyed = this.key !== undefined && this.#isOwned();
    if (!isKeyed) this.tried.add(server);
    if (this.#canSendAgain() && this.#parts.tryRetry()) {
      if (!isKeyed) return this.#queueAgain();
      setTimeout(() => {
        if (!this.#isDone) this.#queueAgain();
      }, OWNER_REFUSAL_BACKOFF_MS);
      return;
    }
    this.#giveUp(`server refused: ${refusal}`, HANDOVER_RETRY_AFTER_MS);
  }

  #takeUnknown(message: string): void {
    if (this.route.isIdempotent) return this.#again(message, true);
    this.#finish(
      { kind: "own", status: 502, message: "The server's answer was lost" },
      `unknown: ${message}`,
    );
  }

  /** Sends once more where that is allowed and of use. */
  #again(reason: string, isRepeat: boolean): void {
    const isAllowed = this.#canSendAgain() &&
      (!isRepeat || this.#parts.tryRetry());
    if (isAllowed) this.#queueAgain();
    else this.#giveUp(reason, HANDOVER_RETRY_AFTER_MS);
  }

  #queueAgain(): void {
    const nowMs = this.#parts.clock.nowMs();
    this.#waitingSinceMs = nowMs;
    // The owner of a key is the only one to ask, whatever it answered before.
    if (this.#isOwned()) this.tried.clear();
    this.#parts.queue.add(this, nowMs);
  }

  #isOwned(): boolean {
    return this.#parts.queue.isKeyed;
  }

  #mayRepeat(server: contracts.ServerId): boolean {
    const others = [...this.#parts.queue.loads.keys()]
      .some((other) => other !== server);
    return others || this.#isOwned();
  }

  #canSendAgain(): boolean {
    const leftMs = this.answerByMs - this.#parts.clock.nowMs();
    const neededMs = Math.max(
      MIN_RETRY_TIME_LEFT_MS,
      this.#parts.times.estimateMs(this.route) * MIN_RETRY_TIME_RATIO,
    );
    return !this.#isDone && this.#sends < this.route.attemptLimit &&
      leftMs > neededMs;
  }

  /** The final answer when no server's answer was or will be had. */
  #giveUp(reason: string, retryAfterMs: number): void {
    if (this.#fallback !== undefined) {
      return this.#finish(this.#fallback, `passed on a failure: ${reason}`);
    }
    if (this.#mayHaveRun) {
      const isOver = this.#parts.clock.nowMs() >= this.answerByMs;
      const status = isOver ? 504 : 502;
      return this.#finish(
        { kind: "own", status, message: "No whole answer came" },
        reason,
      );
    }
    this.#finish(
      notRunAnswer(`Not run: ${reason}`, retryAfterMs),
      reason,
    );
  }

  #onTimeout(): void {
    if (this.#isDone) return;
    const wasWaiting = this.#parts.queue.cancel(this);
    if (wasWaiting) {
      this.#queuedMs += this.#parts.clock.nowMs() - this.#waitingSinceMs;
      return this.#giveUp("timed out while waiting", HANDOVER_RETRY_AFTER_MS);
    }
    if (this.#fallback !== undefined) {
      return this.#finish(this.#fallback, "timed out on a second send");
    }
    this.#finish(
      { kind: "own", status: 504, message: "The server took too long" },
      "timed out at a server",
    );
  }

  readonly #onCallerGone = (): void => {
    if (this.#isDone) return;
    this.#parts.queue.cancel(this);
    this.#finish(
      { kind: "own", status: 499, message: "The caller has gone" },
      "caller gone",
    );
  };

  #finish(answer: FrontAnswer, outcome: string): void {
    if (this.#isDone) return;
    this.#isDone = true;
    clearTimeout(this.#timer);
    this.#request.signal.removeEventListener("abort", this.#onCallerGone);
    // Ends the send that is still under way, and its work at the server.
    if (this.#isSending) this.#cancel.abort();
    const nowMs = this.#parts.clock.nowMs();
    this.#resolve(answer);
    this.#parts.onFinished({
      id: this.#request.id,
      route: this.route.name,
      service: this.#parts.service,
      key: this.key,
      configVersion: this.#parts.configVersion,
      outcome,
      answer,
      tookMs: nowMs - this.#request.arrivedMs,
      queuedMs: this.#queuedMs,
      attempts: this.#attempts,
    });
  }
}

/** Out of time at the server; says nothing about the server's health. */
const GATEWAY_TIMEOUT_STATUS = 504;

function isFailure(status: number): boolean {
  return status >= 500 && status !== GATEWAY_TIMEOUT_STATUS;
}

function describeResult(result: AttemptResult): string {
  switch (result.kind) {
    case "answer":
      return `${result.answer.status}`;
    case "refusal":
      return `refused ${result.refusal}`;
    case "not-sent":
      return `not sent: ${result.message}`;
    case "unknown":
      return `unknown: ${result.message}`;
  }
}
