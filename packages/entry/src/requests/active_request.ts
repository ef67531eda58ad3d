/** State of one routed request: waiting, attempts and the final answer. */
import type * as contracts from "@guavatide/contracts";
import * as names from "@guavatide/contracts";
import * as poison from "@guavatide/decisions/poison/mod";
import * as routing from "@guavatide/decisions/routing/mod";
import { conditionBeforeRetry } from "../poison/server_end_check.ts";
import type { ServerClock } from "../links/server_clock.ts";
import type { AnswerReport } from "../links/answer_decoder.ts";
import type {
  AttemptRequest,
  AttemptResult,
} from "../links/server_connection.ts";
import {
  type CallerAnswer,
  type CallerRequest,
  notRun,
} from "./caller_request.ts";
import type { RequestContext } from "./request_context.ts";
import type { Slot, SlotRequest } from "./slot_allocator.ts";

/** Options of {@link ActiveRequest}. */
export interface ActiveRequestOptions {
  readonly context: RequestContext;
  readonly request: CallerRequest;
  readonly tenant: string;
  readonly keyHash: number | undefined;
  readonly deadlineMs: number;
}

/** Path prefix on backend servers for requests of callers. */
const SERVE_PATH = "/serve/";

/** A request in progress, from its admission to its answer. */
export class ActiveRequest implements SlotRequest {
  readonly tenant: string;
  readonly deadlineMs: number;
  readonly keyHash: number | undefined;
  readonly tried = new Set<contracts.ServerId>();
  readonly #context: RequestContext;
  readonly #request: CallerRequest;
  readonly #startMs: number;
  #attempts = 0;
  #crashes = 0;
  #queuedMs = 0;
  #waitingSinceMs: number;
  #isWaiting = false;
  /** Result of an earlier attempt, if unknown, while a retry is pending. */
  #earlierResult: AttemptResult | undefined;
  #timer: NodeJS.Timeout | undefined;
  #resolve: ((answer: CallerAnswer) => void) | undefined;

  constructor(options: ActiveRequestOptions) {
    this.tenant = options.tenant;
    this.deadlineMs = options.deadlineMs;
    this.keyHash = options.keyHash;
    this.#context = options.context;
    this.#request = options.request;
    this.#startMs = options.context.clock.nowMs();
    this.#waitingSinceMs = this.#startMs;
  }

  /** Runs the request. Resolves at the latest by the deadline. */
  run(): Promise<CallerAnswer> {
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#request.signal.addEventListener("abort", this.#onCallerGone);
      this.#context.retryBudget.recordRequest();
      if (this.#isPoisonous()) this.#refusePoison();
      else this.#wait();
    });
  }

  /** Makes an attempt at the server of the granted slot. */
  onGranted(slot: Slot): void {
    this.#stopWaiting();
    if (this.#isPoisonous()) {
      this.#context.allocator.release(slot, { kind: "abandoned" });
      return this.#refusePoison();
    }
    this.#attempts++;
    this.#attempt(slot).catch((error) => {
      this.#context.log.error("Attempt failed.", { error: String(error) });
      this.#finish({
        kind: "unknown",
        reason: "connection-lost",
        message: "The entry process failed while the request was under way",
      });
    });
  }

  /** Ends the request because no slot can be allocated. */
  onRefused(
    reason: contracts.NotRunReason,
    options: { readonly retryAfterMs?: number; readonly message: string },
  ): void {
    this.#stopWaiting();
    // An earlier attempt may have run, so the outcome stays "unknown" although
    // the retry found no server.
    if (this.#earlierResult?.kind === "unknown") {
      const { reason: unknownReason, message } = this.#earlierResult;
      this.#finish({ kind: "unknown", reason: unknownReason, message });
      return;
    }
    this.#finish(notRun(reason, options));
  }

  #isPoisonous(): boolean {
    return this.#context.crashGuard.isPoisonous(this.#request);
  }

  #refusePoison(): void {
    this.onRefused("crashes-servers", {
      retryAfterMs: poison.POISON_RETRY_AFTER_MS,
      message: "The request has crashed the servers that ran it",
    });
  }

  #wait(): void {
    const nowMs = this.#context.clock.nowMs();
    this.#isWaiting = true;
    this.#waitingSinceMs = nowMs;
    this.#timer = setTimeout(
      () => this.#onDeadline(),
      Math.max(0, this.deadlineMs - nowMs),
    );
    this.#context.allocator.acquire(this);
  }

  #stopWaiting(): void {
    clearTimeout(this.#timer);
    if (this.#isWaiting) {
      this.#queuedMs += this.#context.clock.nowMs() - this.#waitingSinceMs;
    }
    this.#isWaiting = false;
  }

  #onDeadline(): void {
    this.#context.allocator.withdraw(this);
    this.onRefused("deadline-before-send", {
      message: "The deadline passed before a server was free",
    });
  }

  readonly #onCallerGone = (): void => {
    if (!this.#isWaiting) return;
    this.#context.allocator.withdraw(this);
    this.onRefused("deadline-before-send", { message: "The caller has gone" });
  };

  async #attempt(slot: Slot): Promise<void> {
    const context = this.#context;
    const id = context.nextRequestId();
    const { server } = slot.address;
    context.log.debug("Sends the request.", {
      service: context.service.name,
      server,
      id,
      keyHash: this.keyHash,
      revision: slot.ownership?.revision,
      reason: slot.ownership === undefined ? context.policy : "owner",
    });
    const sentAtMs = context.clock.nowMs();
    const pool = context.connectionPool(slot.address);
    const forwarded = { handle: undefined as { done(): void } | undefined };
    const result = await pool.send(
      this.#createAttemptRequest(slot, id, {
        forwarded,
        serverClock: pool.serverClock,
      }),
      {
        timeoutMs: this.#attemptTimeoutMs(),
        signal: this.#request.signal,
      },
    );
    this.#endForwarded(forwarded.handle, result);
    const isAbandoned = result.kind === "unknown" &&
      result.reason !== "bad-answer";
    if (isAbandoned) context.cancel(slot.address, id);
    context.allocator.release(slot, this.#outcomeOf(result));
    this.#recordKeyedSample(server, result, context.clock.nowMs() - sentAtMs);
    await this.#noteCrash(slot, result);
    this.#conclude(slot, result);
  }

  /** Records a server that crashed under the request, or its answer. */
  async #noteCrash(
    { address }: Slot,
    result: AttemptResult,
  ): Promise<void> {
    const { crashGuard } = this.#context;
    if (result.kind === "answer" && result.answer.status < 500) {
      return crashGuard.noteAnswer(this.#request);
    }
    if (result.kind !== "unknown") return;
    const { serverRun } = result;
    const isGivenUp = result.reason === "timeout-after-send" ||
      this.#request.signal.aborted;
    if (isGivenUp) {
      return crashGuard.noteGivenUp(this.#request, address, serverRun);
    }
    const condition = await conditionBeforeRetry(
      crashGuard.noteLostConnection(this.#request, address, serverRun),
    );
    if (condition === "ended") this.#crashes++;
  }

  #recordKeyedSample(
    server: contracts.ServerId,
    result: AttemptResult,
    workMs: number,
  ): void {
    if (this.keyHash === undefined || result.kind !== "answer") return;
    const { name, slotsPerServer } = this.#context.service;
    this.#context.metrics.keyedWork({
      service: name,
      server,
      keyHash: this.keyHash,
      workMs,
      hadFreeSlot: (result.inFlight ?? Infinity) < slotsPerServer,
    });
  }

  /**
   * Timeout of the next attempt, in milliseconds. The first attempt of an
   * idempotent request gets half of the time left, so that a request that hangs
   * can be retried at another server.
   */
  #attemptTimeoutMs(): number {
    const leftMs = this.deadlineMs - this.#context.clock.nowMs();
    const leavesTimeForRetry = this.#isIdempotent() &&
      this.keyHash === undefined &&
      this.#attempts === 1 &&
      this.#context.allocator.hasUntriedServer(new Set(this.tried));
    return Math.max(1, leavesTimeForRetry ? leftMs / 2 : leftMs);
  }

  #createAttemptRequest(
    slot: Slot,
    id: contracts.RequestId,
    { forwarded, serverClock }: {
      readonly forwarded: { handle: { done(): void } | undefined };
      readonly serverClock: ServerClock;
    },
  ): AttemptRequest {
    const { owners, service, clock } = this.#context;
    const { ownership } = slot;
    const { server } = slot.address;
    const leftMs = Math.max(1, Math.floor(this.deadlineMs - clock.nowMs()));
    const headers = [...this.#request.headers];
    headers.push(names.REQUEST_ID_HEADER, id);
    headers.push(names.DEADLINE_HEADER, String(leftMs));
    if (this.#request.key !== undefined) {
      headers.push(names.KEY_HEADER, this.#request.key);
    }
    if (ownership !== undefined) {
      headers.push(names.SLICE_HEADER, ownership.slice);
      headers.push(names.FENCE_HEADER, String(ownership.fence));
      const deadline = this.#unfencedDeadline(server, serverClock);
      if (deadline !== undefined) {
        headers.push(names.DEADLINE_STAMP_HEADER, deadline);
      }
    }
    const maySend = () => {
      if (clock.nowMs() >= this.deadlineMs) return false;
      if (ownership === undefined) return true;
      const { slice, fence } = ownership;
      if (!owners.mayForward(service.name, server, slice, fence)) return false;
      forwarded.handle = owners.noteForwarded(service.name, server, slice);
      return true;
    };
    const { method, pathAndQuery, body } = this.#request;
    return {
      id,
      method,
      path: SERVE_PATH + pathAndQuery,
      headers,
      body,
      maySend,
      onServerStamp: (text) => serverClock.recordStamp(text),
    };
  }

  /**
   * Deadline on the clock of a server that does not check fencing tokens. Such
   * a server may freeze with the request in its buffers and resume after the
   * key has moved to another owner. The server refuses the request after this
   * deadline, and a handover waits that long.
   */
  #unfencedDeadline(
    server: contracts.ServerId,
    serverClock: ServerClock,
  ): string | undefined {
    const { owners, service, clock, unfencedTimeoutMs } = this.#context;
    if (owners.checksFences(service.name, server)) return undefined;
    const latestEndMs = clock.nowMs() + unfencedTimeoutMs;
    return serverClock.formatDeadline(Math.min(this.deadlineMs, latestEndMs));
  }

  /**
   * Stops counting a request as forwarded. One with an unknown outcome may
   * still run at the server, so it stays counted for a while; otherwise a
   * handover could give the key to another server while it runs.
   */
  #endForwarded(
    handle: { done(): void } | undefined,
    result: AttemptResult,
  ): void {
    if (handle === undefined) return;
    if (result.kind !== "unknown") {
      handle.done();
      return;
    }
    setTimeout(() => handle.done(), this.#context.unknownOutcomeHoldMs).unref();
  }

  #outcomeOf(result: AttemptResult): routing.AttemptOutcome {
    switch (result.kind) {
      case "answer":
        return {
          kind: "answer",
          inFlight: result.inFlight,
          requestLimit: limitOf(result),
        };
      case "refusal":
        return {
          kind: "refusal",
          refusal: result.refusal,
          inFlight: result.inFlight,
          requestLimit: limitOf(result),
          retryAfterMs: result.retryAfter?.kind === "delay"
            ? result.retryAfter.delayMs
            : undefined,
        };
      case "not-sent":
        return result.isLocal || this.#request.signal.aborted
          ? { kind: "abandoned" }
          : { kind: "failure", cause: "not-connected" };
      case "unknown":
        if (this.#request.signal.aborted) return { kind: "abandoned" };
        return {
          kind: "failure",
          cause: result.reason === "timeout-after-send" ? "timeout" : "broken",
        };
    }
  }

  #conclude(slot: Slot, result: AttemptResult): void {
    if (result.kind === "answer") {
      this.#finish({ kind: "answered", answer: result.answer });
      return;
    }
    const { server } = slot.address;
    const isBusy = result.kind === "refusal" && result.refusal === "busy";
    // A key has only one owner, and a busy server may soon have a free slot.
    const mayRetrySameServer = this.keyHash !== undefined || isBusy;
    if (!mayRetrySameServer) this.tried.add(server);
    if (result.kind === "refusal" && result.refusal === "draining") {
      this.#context.noteDraining(server);
    }
    if (result.kind === "unknown") this.#earlierResult = result;
    const failure = failureOf(result);
    const decision = this.#decide(failure);
    this.#context.log.info(
      decision.kind === "retry"
        ? "Retries the request."
        : "Gives up on the request.",
      {
        service: this.#context.service.name,
        server,
        reason: failure.reason,
        refusal: failure.kind === "not-run" ? failure.refusal : undefined,
        attempt: this.#attempts,
      },
    );
    if (decision.kind === "retry") {
      this.#context.metrics.retried(this.#context.service.name);
      this.#wait();
      return;
    }
    this.#giveUp(decision.failure, result);
  }

  #decide(failure: routing.FailedAttempt): routing.RetryDecision {
    const mustStop = this.#request.signal.aborted ||
      this.#crashes >= poison.MAX_CRASHES_PER_REQUEST || this.#isPoisonous();
    if (mustStop) return { kind: "give-up", failure };
    return routing.decideRetry(failure, {
      isIdempotent: this.#isIdempotent(),
      isKeyed: this.keyHash !== undefined,
      attempts: this.#attempts,
      hasOtherServer: this.#context.allocator.hasUntriedServer(this.tried),
      timeLeftMs: this.deadlineMs - this.#context.clock.nowMs(),
      budget: this.#context.retryBudget,
    });
  }

  #giveUp(failure: routing.FailedAttempt, result: AttemptResult): void {
    const message = result.kind === "not-sent" || result.kind === "unknown"
      ? result.message
      : "The server refused the request";
    if (failure.kind === "not-run") {
      this.onRefused(failure.reason, { message });
      return;
    }
    this.#finish({ kind: "unknown", reason: failure.reason, message });
  }

  #isIdempotent(): boolean {
    return this.#context.service.idempotentMethods.includes(
      this.#request.method,
    );
  }

  #finish(answer: CallerAnswer): void {
    const resolve = this.#resolve;
    if (resolve === undefined) return;
    this.#resolve = undefined;
    this.#request.signal.removeEventListener("abort", this.#onCallerGone);
    this.#context.metrics.finished({
      service: this.#context.service.name,
      outcome: answer.kind,
      reason: answer.kind === "answered" ? undefined : answer.reason,
      durationMs: this.#context.clock.nowMs() - this.#startMs,
      queuedMs: this.#queuedMs,
      attempts: this.#attempts,
    });
    resolve(answer);
  }
}

function failureOf(
  result: Exclude<AttemptResult, { kind: "answer" }>,
): routing.FailedAttempt {
  switch (result.kind) {
    case "refusal":
      return {
        kind: "not-run",
        reason: "refused-by-server",
        refusal: result.refusal,
      };
    case "not-sent":
      return { kind: "not-run", reason: "not-connected" };
    case "unknown":
      return { kind: "unknown", reason: result.reason };
  }
}

/** See {@link routing.AttemptOutcome}. */
function limitOf(
  { requestLimit }: AnswerReport,
): number | null | undefined {
  return requestLimit?.kind === "malformed"
    ? null
    : requestLimit?.requestsPerSecond;
}
