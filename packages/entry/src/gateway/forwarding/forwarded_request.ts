/** One request from queueing through its attempts to its single response. */
import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import * as poison from "@guavatide/decisions/poison/mod";
import type {
  AttemptRequest,
  AttemptResult,
} from "../../links/server_connection.ts";
import { conditionBeforeRetry } from "../../poison/server_end_check.ts";
import {
  deadlinesOf,
  type FrontAnswer,
  type FrontRequest,
  notRunAnswer,
  STOPPING_RETRY_AFTER_MS,
} from "./front_request.ts";
import type { PoisonGuard } from "../poison/poison_guard.ts";
import type { AttemptRecord, RequestRecord } from "./request_log.ts";
import type { PathResult, PathSendOptions } from "../paths/path_attempt.ts";

/** What a request needs from the forwarder. */
export interface ForwardingContext {
  readonly service: contracts.ServiceId;
  readonly queue: admission.ServiceQueue;
  readonly times: admission.ServiceTimes;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  readonly configVersion: number;
  /** Undefined where callers have no shares. */
  readonly judged: admission.JudgedRequest | undefined;
  /** By when this VM has to answer; infinite before it stops. */
  endsAtMs(): number;
  /** A request without a key is sent to a server, or has ended there. */
  recordAdmission(event: "sent" | "ended"): void;
  /** Retry-After of a request that is refused for lack of capacity. */
  returnAfterMs(request: admission.RefusedRequest): number;
  /** Takes one retry from the shared budget; false when none is left. */
  tryRetry(): boolean;
  send(
    entry: contracts.RegisteredServer,
    request: AttemptRequest,
    options: PathSendOptions,
  ): Promise<PathResult>;
  /** Headers for one attempt, with those that the entry VM adds. */
  headers(
    request: FrontRequest,
    entry: contracts.RegisteredServer,
    leftMs: number,
  ): readonly string[];
  /** A server reported its load in a response. */
  recordServerReport(
    server: contracts.ServerId,
    report: contracts.ServerReport,
    nowMs: number,
  ): void;
  /** A request is sent to a server. */
  recordSend(server: contracts.ServerId): void;
  /** A server answered, perhaps with a limit. */
  recordRequestLimit(
    server: contracts.ServerId,
    report: contracts.RequestLimitReport | undefined,
    options: { readonly tookMs: number; readonly isRefusal: boolean },
  ): void;
  /** A step of a request has failed; the others are not affected. */
  noteError(error: unknown): void;
  /** A server's limit in force, for the log. */
  limitRecordOf(server: contracts.ServerId): RequestRecord["limit"];
  /** Knows which requests crash the servers that run them. */
  readonly poison: PoisonGuard;
  /** The request is finished. */
  onFinished(record: RequestRecord): void;
  /** This VM's load on the service's servers has changed. */
  onLoadChange(): void;
}

/**
 * The server's deadline is this much earlier than the caller's, so that its
 * own timeout response still arrives and the connection stays usable.
 */
const SERVER_DEADLINE_MARGIN_MS = 15;
/** Minimum time left before the deadline for which a retry is worth its cost. */
const MIN_RETRY_TIME_LEFT_MS = 20;
/** Tells a caller whose key's owner refused to retry after the handover. */
const HANDOVER_RETRY_AFTER_MS = 150;
/**
 * A VM that stops sends a request only if this multiple of its usual time is
 * left: another VM can serve it to its end.
 */
const STOPPING_TIME_RATIO = 3;
/** No retry with less time left than this fraction of the expected time. */
const MIN_RETRY_TIME_RATIO = 0.6;
/**
 * Wait before a request is queued again that its key's owner refused, or whose
 * server may get no more requests.
 */
const REQUEUE_DELAY_MS = 25;

/** An attempt that has not ended. */
interface PendingAttempt {
  readonly entry: contracts.RegisteredServer;
  /** When its first byte left for the server or a peer. */
  leftAtMs: number | undefined;
  /** Whether another attempt was made since, as its path was lost. */
  isOvertaken: boolean;
}

/** A request from its arrival to its response. */
export class ForwardedRequest implements admission.WaitingRequest {
  readonly route: contracts.Route;
  readonly key: number | undefined;
  readonly bodyBytes: number;
  readonly targetMs: number;
  readonly answerByMs: number;
  readonly standing: admission.RequestStanding | undefined;
  readonly tried = new Set<contracts.ServerId>();
  readonly #request: FrontRequest;
  readonly #context: ForwardingContext;
  readonly #resolve: (answer: FrontAnswer) => void;
  readonly #attempts: AttemptRecord[] = [];
  readonly #timer: NodeJS.Timeout;
  /** Cancels the attempt in flight. */
  readonly #cancel = new AbortController();
  /** A server's failure, which the caller gets unless a retry succeeds. */
  #fallback: FrontAnswer | undefined;
  /** Whether an attempt may have run although no response came. */
  #mayHaveRun = false;
  #attemptCount = 0;
  #crashCount = 0;
  /** Whether servers have broken off connections under the request. */
  #isSuspected = false;
  /** The server whose limit refused the request. */
  #limitedBy: contracts.ServerId | undefined;
  #refusal: admission.Refusal | undefined;
  #waitingSinceMs: number;
  #queuedMs = 0;
  readonly #pending = new Set<PendingAttempt>();
  /** Ends the request once no earlier attempt may still be answered. */
  #heldGiveUp: (() => void) | undefined;
  #isDone = false;

  constructor(
    request: FrontRequest,
    route: contracts.Route,
    context: ForwardingContext,
    resolve: (answer: FrontAnswer) => void,
  ) {
    this.#request = request;
    this.route = route;
    this.#context = context;
    this.#resolve = resolve;
    this.key = request.key;
    this.standing = context.judged?.standing;
    this.bodyBytes = request.body?.length ?? 0;
    const { targetMs, answerByMs } = deadlinesOf(request, route);
    this.targetMs = targetMs;
    this.answerByMs = answerByMs;
    this.#waitingSinceMs = request.arrivedMs;
    const leftMs = Math.max(0, this.answerByMs - context.clock.nowMs());
    this.#timer = setTimeout(
      () => this.#run(() => this.#onTimeout()),
      leftMs,
    );
    request.signal.addEventListener("abort", this.#onCallerDisconnect);
  }

  /** Queues the request. The response comes through `resolve`, once. */
  start(): void {
    if (this.#request.signal.aborted) return this.#onCallerDisconnect();
    if (this.#isPoisonous()) return this.#refusePoison();
    const nowMs = this.#context.clock.nowMs();
    if (!this.#mayEndInTime(nowMs, 1)) return this.#refuseStopping();
    this.#context.queue.add(this, nowMs);
  }

  /** Whether a request that is sent now is answered before this VM ends. */
  #mayEndInTime(nowMs: number, latencyFactor: number): boolean {
    const { endsAtMs, times } = this.#context;
    const usualMs = times.estimateMs(this.route) * latencyFactor;
    return endsAtMs() - nowMs >= usualMs * STOPPING_TIME_RATIO;
  }

  #refuseStopping(): void {
    this.#giveUp("this VM stops", STOPPING_RETRY_AFTER_MS);
  }

  /** Called by the queue when a server has a free slot. */
  placed(placement: admission.Placement): void {
    const nowMs = this.#context.clock.nowMs();
    this.#queuedMs += nowMs - this.#waitingSinceMs;
    if (this.#isPoisonous()) {
      placement.releaseSlot?.(undefined);
      return this.#refusePoison();
    }
    const factor = this.#context.times.latencyFactor(
      placement.load.entry.server,
    );
    if (!this.#mayEndInTime(nowMs, factor)) {
      placement.releaseSlot?.(undefined);
      return this.#refuseStopping();
    }
    this.#attemptCount++;
    this.#detach(this.#send(placement, nowMs));
  }

  /** Runs a step of a timer. An error ends this request and nothing else. */
  #run(step: () => void): void {
    try {
      step();
    } catch (error) {
      this.#fail(error);
    }
  }

  /** The same for a step that nobody awaits. */
  #detach(step: Promise<void>): void {
    step.catch((error) => this.#fail(error));
  }

  #fail(error: unknown): void {
    this.#context.noteError(error);
    this.#finish(
      { kind: "own", status: 502, message: "The entry VM failed" },
      `failed: ${String(error)}`,
    );
  }

  /** Called by the queue when no server will be free in time. */
  refused(refusal: admission.Refusal): void {
    this.#queuedMs += this.#context.clock.nowMs() - this.#waitingSinceMs;
    const { reason, retryAfterMs, expectedWaitMs } = refusal;
    const outcome = `${reason}, expected wait ${Math.round(expectedWaitMs)} ms`;
    this.#limitedBy = refusal.limitedBy;
    this.#refusal = refusal;
    const isFull = reason === "no-room";
    this.#giveUp(
      outcome,
      isFull ? this.#returnAfterMs(refusal) : retryAfterMs,
    );
  }

  /** Retry-After of a refusal for lack of capacity. */
  #returnAfterMs(
    { retryAfterMs }: Pick<admission.Refusal, "retryAfterMs">,
  ): number {
    const { judged, times, returnAfterMs } = this.#context;
    if (judged === undefined) return retryAfterMs;
    return returnAfterMs({
      caller: this.#request.caller,
      route: this.route.name,
      judged,
      answerByMs: this.answerByMs,
      serviceMs: times.estimateMs(this.route),
      reservedAfterMs: this.#isKeyedService() ? retryAfterMs : undefined,
    });
  }

  async #send(
    { load, outstanding, fence, releaseSlot }: admission.Placement,
    nowMs: number,
  ): Promise<void> {
    const { entry } = load;
    const recordEnd = load.startRequest(nowMs);
    this.#context.onLoadChange();
    const release = once((tookMs: number | undefined) => releaseSlot?.(tookMs));
    const attempt: PendingAttempt = {
      entry,
      leftAtMs: undefined,
      isOvertaken: false,
    };
    const leftMs = this.answerByMs - nowMs;
    this.#pending.add(attempt);
    this.#context.recordSend(entry.server);
    this.#context.recordAdmission("sent");
    const result = await this.#context.send(
      entry,
      this.#attemptRequest(attempt, leftMs),
      {
        timeoutMs: leftMs,
        signal: this.#cancel.signal,
        expectedMs: this.#context.times.estimateMs(this.route) *
          this.#context.times.latencyFactor(entry.server),
        isIdempotent: this.route.isIdempotent,
        priority: this.route.priority,
        request: this.#request,
        onPathLost: (isCertain) => {
          const isOvertaken = this.#mayOvertake(attempt);
          // It may still be answered, but holds nothing up until then.
          if (isOvertaken || isCertain) {
            recordEnd({ kind: "abandoned" }, this.#context.clock.nowMs());
            release(undefined);
            this.#context.onLoadChange();
          }
          if (isOvertaken) this.#overtake(attempt);
          return false;
        },
      },
    );
    this.#pending.delete(attempt);
    const endedMs = this.#context.clock.nowMs();
    const outcome = this.#attemptEnd(result);
    recordEnd(outcome, endedMs);
    this.#context.recordAdmission("ended");
    const report = "report" in result ? result.report : undefined;
    if (report !== undefined) {
      this.#context.recordServerReport(entry.server, report, endedMs);
    }
    if (result.kind === "answer" || result.kind === "refusal") {
      this.#context.recordRequestLimit(entry.server, result.requestLimit, {
        tookMs: endedMs - nowMs,
        isRefusal: result.kind === "refusal",
      });
    }
    this.#attempts.push({
      server: entry.server,
      outstanding,
      fence,
      tookMs: endedMs - nowMs,
      leftAfterMs: result.kind === "not-sent" || attempt.leftAtMs === undefined
        ? undefined
        : attempt.leftAtMs - nowMs,
      report,
      via: result.via,
      end: describeResult(result),
    });
    const hasFreeSlots = outstanding < entry.slots;
    const isServed = outcome.kind === "answered" && !outcome.isFailure;
    if (isServed && hasFreeSlots) {
      const tookMs = endedMs - nowMs;
      this.#context.times.record(this.route, entry.server, tookMs, endedMs);
    }
    release(isServed ? endedMs - nowMs : undefined);
    this.#context.onLoadChange();
    if (attempt.isOvertaken) this.#handleOvertaken(result, entry);
    else this.#handleResult(result, entry);
    // A slot of a keyed service returns to its coordinator, not to this queue.
    if (!this.#isKeyedService()) this.#context.queue.dispatch(endedMs);
  }

  #attemptRequest(attempt: PendingAttempt, leftMs: number): AttemptRequest {
    const { entry } = attempt;
    const { id, method, target, body } = this.#request;
    const serverLeftMs = Math.max(
      1,
      Math.floor(leftMs - SERVER_DEADLINE_MARGIN_MS),
    );
    return {
      id: id as contracts.RequestId,
      method,
      path: target,
      headers: this.#context.headers(this.#request, entry, serverLeftMs),
      body,
      maySend: () => {
        const nowMs = this.#context.clock.nowMs();
        attempt.leftAtMs = nowMs;
        // The timer of the deadline may run late.
        return !this.#isDone && nowMs < this.answerByMs;
      },
      onServerStamp: () => {},
    };
  }

  #attemptEnd(result: AttemptResult): admission.SendOutcome {
    if (this.#isDone) return { kind: "abandoned" };
    if (result.kind === "answer") {
      return { kind: "answered", isFailure: isFailure(result.answer.status) };
    }
    if (result.kind === "refusal") return { kind: "rejected" };
    const isOurPath = result.kind === "not-sent"
      ? result.hasNoPath || result.isHeldBack || result.isServerGone
      : result.isPathLost;
    if (isOurPath) return { kind: "abandoned" };
    return {
      kind: "lost",
      isTooLarge: result.kind === "unknown" && result.isTooLarge,
    };
  }

  #handleResult(
    result: AttemptResult,
    entry: contracts.RegisteredServer,
  ): void {
    if (this.#isDone) return;
    const { server } = entry;
    switch (result.kind) {
      case "answer":
        return this.#handleAnswer(result.answer, server);
      case "refusal":
        return this.#handleRefusal(result.refusal, server);
      case "not-sent":
        // Not one byte was sent, so this doesn't count as an attempt.
        this.#attemptCount--;
        if (result.hasNoPath) return this.#handleMissingPath(server);
        if (result.isHeldBack) return this.#requeue();
        if (result.isServerGone) return this.#requeueSoon();
        if (this.key === undefined) this.tried.add(server);
        return this.#retryOrGiveUp("no connection", false);
      case "unknown":
        this.#mayHaveRun = true;
        this.tried.add(server);
        if (result.reason === "timeout-after-send") {
          this.#context.poison.noteGivenUp(this.#request, entry);
        }
        if (
          result.reason === "timeout-after-send" || result.isPathLost ||
          // A server that sends without end has not crashed.
          result.isTooLarge
        ) {
          return this.#handleUnknown(result.message);
        }
        return this.#handleLostConnection(result, entry);
    }
  }

  #handleAnswer(
    answer: Extract<AttemptResult, { kind: "answer" }>["answer"],
    server: contracts.ServerId,
  ): void {
    // A server fails work that it breaks off, so only another answer shows that
    // the request ran to its end.
    if (answer.status < 500) this.#context.poison.noteAnswer(this.#request);
    const forwarded: FrontAnswer = { kind: "passed-on", answer };
    const isRetried = isFailure(answer.status) && this.route.isIdempotent &&
      this.#hasRetryTarget(server);
    if (!isRetried) return this.#finish(forwarded, "answered");
    this.#fallback = forwarded;
    this.#retryOrGiveUp(`server failed with ${answer.status}`, true);
  }

  #handleRefusal(refusal: string, server: contracts.ServerId): void {
    const nowMs = this.#context.clock.nowMs();
    this.#waitingSinceMs = nowMs;
    if (this.#context.queue.refuseIfBackingOff(this, nowMs)) return;
    const isKeyed = this.key !== undefined && this.#isKeyedService();
    if (!isKeyed) this.tried.add(server);
    if (this.#hasRetryLeft() && this.#context.tryRetry()) {
      return isKeyed ? this.#requeueSoon() : this.#requeue();
    }
    this.#giveUp(`server refused: ${refusal}`, HANDOVER_RETRY_AFTER_MS);
  }

  /** Queues it again once the queue may have learned of another server. */
  #requeueSoon(): void {
    const requeue = () => {
      if (!this.#isDone) this.#requeue();
    };
    setTimeout(() => this.#run(requeue), REQUEUE_DELAY_MS);
  }

  /** Whether another attempt is to be made beside one whose path is lost. */
  #mayOvertake({ isOvertaken }: PendingAttempt): boolean {
    return !this.#isDone && !isOvertaken && this.route.isIdempotent &&
      this.#hasRetryLeft() && this.#context.tryRetry();
  }

  /** Makes another attempt; the first answer of both counts. */
  #overtake(attempt: PendingAttempt): void {
    attempt.isOvertaken = true;
    this.#mayHaveRun = true;
    this.tried.add(attempt.entry.server);
    this.#requeue();
  }

  /** An attempt has ended beside which another one was made. */
  #handleOvertaken(
    result: AttemptResult,
    entry: contracts.RegisteredServer,
  ): void {
    if (this.#isDone) return;
    if (result.kind === "answer" && !isFailure(result.answer.status)) {
      this.#context.queue.cancel(this);
      return this.#handleAnswer(result.answer, entry.server);
    }
    const isBrokenOff = result.kind === "unknown" && !result.isPathLost &&
      result.reason !== "timeout-after-send" && result.condition === undefined;
    if (isBrokenOff) {
      const noted = this.#context.poison
        .noteLostConnection(this.#request, entry)
        .then((condition) => {
          if (condition === "ended") this.#crashCount++;
        });
      this.#detach(noted);
    } else if (result.kind === "unknown" && result.condition === "ended") {
      this.#crashCount++;
    }
    if (!this.#isAnswerPossible()) this.#heldGiveUp?.();
  }

  /** Whether an attempt that was overtaken may still be answered. */
  #isAnswerPossible(): boolean {
    return [...this.#pending].some(({ isOvertaken }) => isOvertaken);
  }

  /** Without a key, another server may still be reached. */
  #handleMissingPath(server: contracts.ServerId): void {
    const reason = "no VM reaches the server";
    if (!this.#isKeyedService()) {
      this.tried.add(server);
      return this.#retryOrGiveUp(reason, false);
    }
    this.#giveUp(reason, this.#jitter(admission.UNREACHED_RETRY_AFTER_MS));
  }

  /** Spreads out the retries of callers that are refused together. */
  #jitter(meanMs: number): number {
    return meanMs * (0.5 + this.#context.random.next());
  }

  /** Retries only what has not crashed too many servers. */
  #handleLostConnection(
    { message, condition }: Extract<AttemptResult, { kind: "unknown" }>,
    entry: contracts.RegisteredServer,
  ): void {
    this.#isSuspected = true;
    const noted = condition === undefined
      ? this.#context.poison.noteLostConnection(this.#request, entry)
      : Promise.resolve(condition);
    if (!this.route.isIdempotent) return this.#handleUnknown(message);
    const retried = conditionBeforeRetry(noted).then((condition) => {
      if (this.#isDone) return;
      if (condition === "ended") this.#crashCount++;
      if (this.#isPoisonous()) return this.#refusePoison();
      if (this.#crashCount < poison.MAX_CRASHES_PER_REQUEST) {
        return this.#handleUnknown(message);
      }
      this.#giveUp(
        `crashed ${this.#crashCount} servers`,
        poison.POISON_RETRY_AFTER_MS,
      );
    });
    this.#detach(retried);
  }

  #isPoisonous(): boolean {
    return this.#context.poison.isPoisonous(this.#request);
  }

  #refusePoison(): void {
    this.#isSuspected = true;
    this.#context.poison.noteRefusal(this.#context.service);
    this.#giveUp(
      "it crashes the servers that run it",
      poison.POISON_RETRY_AFTER_MS,
    );
  }

  #handleUnknown(message: string): void {
    if (this.route.isIdempotent) return this.#retryOrGiveUp(message, true);
    this.#finish(
      { kind: "own", status: 502, message: "The server's answer was lost" },
      `unknown: ${message}`,
    );
  }

  /** Retries where attempts, time and, if it counts, the budget allow it. */
  #retryOrGiveUp(reason: string, usesBudget: boolean): void {
    const isAllowed = this.#hasRetryLeft() &&
      (!usesBudget || this.#context.tryRetry());
    if (isAllowed) this.#requeue();
    else this.#giveUp(reason, HANDOVER_RETRY_AFTER_MS);
  }

  #requeue(): void {
    const nowMs = this.#context.clock.nowMs();
    this.#waitingSinceMs = nowMs;
    // Only the owner can serve a key, so it is tried again after a failure.
    if (this.#isKeyedService()) this.tried.clear();
    this.#context.queue.add(this, nowMs);
  }

  #isKeyedService(): boolean {
    return this.#context.queue.isKeyed;
  }

  #hasRetryTarget(server: contracts.ServerId): boolean {
    const others = [...this.#context.queue.loads.keys()]
      .some((other) => other !== server);
    return others || this.#isKeyedService();
  }

  #hasRetryLeft(): boolean {
    const leftMs = this.answerByMs - this.#context.clock.nowMs();
    const neededMs = Math.max(
      MIN_RETRY_TIME_LEFT_MS,
      this.#context.times.estimateMs(this.route) * MIN_RETRY_TIME_RATIO,
    );
    return !this.#isDone && this.#attemptCount < this.route.attemptLimit &&
      leftMs > neededMs;
  }

  /**
   * Ends the request without a success: with the server's failure if there was
   * one, 504 or 502 if the request may have run, else 503.
   */
  #giveUp(reason: string, retryAfterMs: number): void {
    const isOver = this.#context.clock.nowMs() >= this.answerByMs;
    if (!isOver && this.#isAnswerPossible()) {
      this.#heldGiveUp = () => this.#giveUp(reason, retryAfterMs);
      return;
    }
    if (this.#fallback !== undefined) {
      return this.#finish(this.#fallback, `passed on a failure: ${reason}`);
    }
    if (this.#mayHaveRun) {
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
    const wasWaiting = this.#context.queue.cancel(this);
    // Between two attempts it is at no server either.
    if (wasWaiting || this.#pending.size === 0) {
      this.#queuedMs += this.#context.clock.nowMs() - this.#waitingSinceMs;
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

  readonly #onCallerDisconnect = (): void =>
    this.#run(() => {
      if (this.#isDone) return;
      this.#context.queue.cancel(this);
      this.#finish(
        { kind: "own", status: 499, message: "The caller has gone" },
        "caller gone",
      );
    });

  #finish(answer: FrontAnswer, outcome: string): void {
    if (this.#isDone) return;
    this.#isDone = true;
    // First: the caller gets its answer whatever fails after it.
    this.#resolve(answer);
    try {
      this.#close(answer, outcome);
    } catch (error) {
      this.#context.noteError(error);
    }
  }

  /** Ends what belongs to the request, and records it. */
  #close(answer: FrontAnswer, outcome: string): void {
    clearTimeout(this.#timer);
    this.#request.signal.removeEventListener("abort", this.#onCallerDisconnect);
    // Cancels the attempt still in flight, and so its work at the server.
    if (this.#pending.size > 0) this.#cancel.abort();
    for (const { entry } of this.#pending) {
      this.#context.poison.noteGivenUp(this.#request, entry);
    }
    const nowMs = this.#context.clock.nowMs();
    this.#context.onFinished({
      id: this.#request.id,
      route: this.route.name,
      service: this.#context.service,
      key: this.key,
      configVersion: this.#context.configVersion,
      outcome,
      answer,
      tookMs: nowMs - this.#request.arrivedMs,
      queuedMs: this.#queuedMs,
      attempts: this.#attempts,
      queue: this.#refusal && {
        waiting: this.#context.queue.waiting,
        expectedWaitMs: this.#refusal.expectedWaitMs,
        judged: this.#context.judged,
      },
      limit: this.#limitedBy && this.#context.limitRecordOf(this.#limitedBy),
      fingerprint: this.#isSuspected
        ? this.#context.poison.identify(this.#request).fingerprint
        : undefined,
    });
  }
}

/** A function that does something at its first call only. */
function once<Value>(action: (value: Value) => void): (value: Value) => void {
  let isDone = false;
  return (value) => {
    if (!isDone) action(value);
    isDone = true;
  };
}

/** The request's deadline passed; says nothing about the server's health. */
const GATEWAY_TIMEOUT_STATUS = 504;

function isFailure(status: number): boolean {
  return status >= 500 && status !== GATEWAY_TIMEOUT_STATUS;
}

function describeResult(result: AttemptResult): string {
  switch (result.kind) {
    case "answer":
      return `${result.answer.status}`;
    case "refusal":
      return `refused ${result.refusal}${describeDelay(result)}`;
    case "not-sent":
      return `not sent: ${result.message}`;
    case "unknown":
      return `unknown: ${result.message}`;
  }
}

function describeDelay({ retryAfter }: contracts.ServerNotices): string {
  return retryAfter?.kind === "delay"
    ? `, back after ${Math.round(retryAfter.delayMs)} ms`
    : "";
}
