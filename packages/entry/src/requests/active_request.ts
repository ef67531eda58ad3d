/** One request on its way: waiting, attempts, and its single final answer. */
import type * as contracts from "@guavatide/contracts";
import * as names from "@guavatide/contracts";
import * as routing from "@guavatide/decisions/routing/mod";
import type { ServerClock } from "../links/server_clock.ts";
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

/** Path on the backend server under which work is asked for. */
const SERVE_PATH = "/serve/";

/** A request from its admission to its answer. */
export class ActiveRequest implements SlotRequest {
  readonly tenant: string;
  readonly deadlineMs: number;
  readonly keyHash: number | undefined;
  readonly tried = new Set<contracts.ServerId>();
  readonly #parts: RequestContext;
  readonly #request: CallerRequest;
  readonly #startMs: number;
  #attempts = 0;
  #queuedMs = 0;
  #waitingSinceMs: number;
  #isWaiting = false;
  /** An attempt's unknown end, while another attempt is waited for. */
  #earlier: AttemptResult | undefined;
  #timer: NodeJS.Timeout | undefined;
  #resolve: ((answer: CallerAnswer) => void) | undefined;

  constructor(options: ActiveRequestOptions) {
    this.tenant = options.tenant;
    this.deadlineMs = options.deadlineMs;
    this.keyHash = options.keyHash;
    this.#parts = options.context;
    this.#request = options.request;
    this.#startMs = options.context.clock.nowMs();
    this.#waitingSinceMs = this.#startMs;
  }

  /** Runs the request. Resolves once, by the deadline at the latest. */
  run(): Promise<CallerAnswer> {
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#request.signal.addEventListener("abort", this.#onCallerGone);
      this.#parts.retryBudget.recordRequest();
      this.#wait();
    });
  }

  /** A server was found: makes an attempt there. */
  onGranted(slot: Slot): void {
    this.#stopWaiting();
    this.#attempts++;
    this.#attempt(slot).catch((error) => {
      this.#parts.log.error("Attempt failed.", { error: String(error) });
      this.#finish({
        kind: "unknown",
        reason: "connection-lost",
        message: "The entry process failed while the request was under way",
      });
    });
  }

  /** No server can be had. */
  onRefused(
    reason: contracts.NotRunReason,
    options: { readonly retryAfterMs?: number; readonly message: string },
  ): void {
    this.#stopWaiting();
    // Without this an earlier attempt that may have run would be told as
    // "not run" because a later one found no server.
    if (this.#earlier?.kind === "unknown") {
      const { reason: unknownReason, message } = this.#earlier;
      this.#finish({ kind: "unknown", reason: unknownReason, message });
      return;
    }
    this.#finish(notRun(reason, options));
  }

  #wait(): void {
    const nowMs = this.#parts.clock.nowMs();
    this.#isWaiting = true;
    this.#waitingSinceMs = nowMs;
    this.#timer = setTimeout(
      () => this.#onDeadline(),
      Math.max(0, this.deadlineMs - nowMs),
    );
    this.#parts.allocator.acquire(this);
  }

  #stopWaiting(): void {
    clearTimeout(this.#timer);
    if (this.#isWaiting) {
      this.#queuedMs += this.#parts.clock.nowMs() - this.#waitingSinceMs;
    }
    this.#isWaiting = false;
  }

  #onDeadline(): void {
    this.#parts.allocator.withdraw(this);
    this.onRefused("deadline-before-send", {
      message: "The deadline passed before a server was free",
    });
  }

  readonly #onCallerGone = (): void => {
    if (!this.#isWaiting) return;
    this.#parts.allocator.withdraw(this);
    this.onRefused("deadline-before-send", { message: "The caller has gone" });
  };

  async #attempt(slot: Slot): Promise<void> {
    const parts = this.#parts;
    const id = parts.nextRequestId();
    const { server } = slot.address;
    parts.log.debug("Sends.", {
      service: parts.service.name,
      server,
      id,
      keyHash: this.keyHash,
      revision: slot.ownership?.revision,
      reason: slot.ownership === undefined ? parts.policy : "owner",
    });
    const sentAtMs = parts.clock.nowMs();
    const pool = parts.connectionPool(slot.address);
    const forwarded = { mark: undefined as { done(): void } | undefined };
    const result = await pool.send(
      this.#linkRequest(slot, id, { forwarded, serverClock: pool.serverClock }),
      {
        timeoutMs: this.#attemptTimeoutMs(),
        signal: this.#request.signal,
      },
    );
    this.#noteForwardEnd(forwarded.mark, result);
    const isAbandoned = result.kind === "unknown" &&
      result.reason !== "bad-answer";
    if (isAbandoned) parts.cancel(slot.address, id);
    parts.allocator.release(slot, this.#endOf(result));
    this.#noteWork(server, result, parts.clock.nowMs() - sentAtMs);
    this.#conclude(slot, result);
  }

  #noteWork(
    server: contracts.ServerId,
    result: AttemptResult,
    workMs: number,
  ): void {
    if (this.keyHash === undefined || result.kind !== "answer") return;
    const { name, slotsPerServer } = this.#parts.service;
    this.#parts.metrics.keyedWork({
      service: name,
      server,
      keyHash: this.keyHash,
      workMs,
      hadFreeSlot: (result.inFlight ?? Infinity) < slotsPerServer,
    });
  }

  /**
   * An idempotent request that hangs may be answered by another server, so
   * its first attempts leave time for one more.
   */
  #attemptTimeoutMs(): number {
    const leftMs = this.deadlineMs - this.#parts.clock.nowMs();
    const mayRepeat = this.#isIdempotent() && this.keyHash === undefined &&
      this.#attempts === 1 &&
      this.#parts.allocator.hasUntriedServer(new Set(this.tried));
    return Math.max(1, mayRepeat ? leftMs / 2 : leftMs);
  }

  #linkRequest(
    slot: Slot,
    id: contracts.RequestId,
    { forwarded, serverClock }: {
      readonly forwarded: { mark: { done(): void } | undefined };
      readonly serverClock: ServerClock;
    },
  ): AttemptRequest {
    const { owners, service, clock } = this.#parts;
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
      const deadline = this.#boundedDeadline(server, serverClock);
      if (deadline !== undefined) {
        headers.push(names.DEADLINE_STAMP_HEADER, deadline);
      }
    }
    const mayLeave = () => {
      if (clock.nowMs() >= this.deadlineMs) return false;
      if (ownership === undefined) return true;
      const { slice, fence } = ownership;
      if (!owners.mayForward(service.name, server, slice, fence)) return false;
      forwarded.mark = owners.noteForwarded(service.name, server, slice);
      return true;
    };
    const { method, pathAndQuery: rest, body } = this.#request;
    return {
      id,
      method,
      path: SERVE_PATH + rest,
      headers,
      body,
      maySend: mayLeave,
      onServerStamp: (text) => serverClock.recordStamp(text),
    };
  }

  /**
   * A server that checks no fences may be frozen with this request in its
   * buffers and wake when the key has another owner. A mover waits for as
   * long as this bound says; after it the server refuses the request.
   */
  #boundedDeadline(
    server: contracts.ServerId,
    serverClock: ServerClock,
  ): string | undefined {
    const { owners, service, clock, unfencedTimeoutMs: unfencedRunMs } =
      this.#parts;
    if (owners.checksFences(service.name, server)) return undefined;
    const boundMs = clock.nowMs() + unfencedRunMs;
    return serverClock.formatDeadline(Math.min(this.deadlineMs, boundMs));
  }

  /**
   * A request whose fate is unknown may still run at the server, so it stays
   * counted as in flight for a while; a mover that asks would otherwise give
   * the key to another server while this one still works on it.
   */
  #noteForwardEnd(
    mark: { done(): void } | undefined,
    result: AttemptResult,
  ): void {
    if (mark === undefined) return;
    if (result.kind !== "unknown") {
      mark.done();
      return;
    }
    setTimeout(() => mark.done(), this.#parts.unknownOutcomeHoldMs).unref();
  }

  #endOf(result: AttemptResult): routing.AttemptOutcome {
    switch (result.kind) {
      case "answer":
        return { kind: "answer", inFlight: result.inFlight };
      case "refusal":
        return {
          kind: "refusal",
          refusal: result.refusal,
          inFlight: result.inFlight,
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
    // A key has one owner, and a full server may be free a moment later.
    const mayAskAgain = this.keyHash !== undefined || isBusy;
    if (!mayAskAgain) this.tried.add(server);
    if (result.kind === "refusal" && result.refusal === "draining") {
      this.#parts.noteDraining(server);
    }
    if (result.kind === "unknown") this.#earlier = result;
    const failure = failureOf(result);
    const decision = this.#decide(failure);
    this.#parts.log.info(
      decision.kind === "retry" ? "Tries again." : "Gives up.",
      {
        service: this.#parts.service.name,
        server,
        reason: failure.reason,
        refusal: failure.kind === "not-run" ? failure.refusal : undefined,
        attempt: this.#attempts,
      },
    );
    if (decision.kind === "retry") {
      this.#parts.metrics.retried(this.#parts.service.name);
      this.#wait();
      return;
    }
    this.#giveUp(decision.failure, result);
  }

  #decide(failure: routing.FailedAttempt): routing.RetryDecision {
    if (this.#request.signal.aborted) return { kind: "give-up", failure };
    return routing.decideRetry(failure, {
      isIdempotent: this.#isIdempotent(),
      isKeyed: this.keyHash !== undefined,
      attempts: this.#attempts,
      hasOtherServer: this.#parts.allocator.hasUntriedServer(this.tried),
      timeLeftMs: this.deadlineMs - this.#parts.clock.nowMs(),
      budget: this.#parts.retryBudget,
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
    return this.#parts.service.idempotentMethods.includes(this.#request.method);
  }

  #finish(answer: CallerAnswer): void {
    const resolve = this.#resolve;
    if (resolve === undefined) return;
    this.#resolve = undefined;
    this.#request.signal.removeEventListener("abort", this.#onCallerGone);
    this.#parts.metrics.finished({
      service: this.#parts.service.name,
      outcome: answer.kind,
      reason: answer.kind === "answered" ? undefined : answer.reason,
      durationMs: this.#parts.clock.nowMs() - this.#startMs,
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
