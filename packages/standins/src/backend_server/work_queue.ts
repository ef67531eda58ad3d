/**
 * Runs requests in a fixed number of slots with a short queue. Refuses requests
 * because of deadline, drain, cold start or ownership. Checks ownership again
 * when a request leaves the queue and before it commits its effect: the process
 * may have been paused in between, and another server may own the key by then.
 */
import type { Clock, ServerRefusal, SliceId } from "@guavatide/contracts";
import type { Journal, JournaledRequest } from "./journal.ts";
import type { OwnershipState } from "./ownership_state.ts";
import type { ServiceTimeSampler } from "./service_time_sampler.ts";
import type { BackendSettings } from "./settings.ts";

const MAX_REMEMBERED_CANCELLATIONS = 10_000;

/** A request as received. */
export interface IncomingRequest extends JournaledRequest {
  /** On the server's clock; undefined when the request has none. */
  readonly deadlineMs: number | undefined;
  /**
   * Deadline that the sender stamped on the server's clock. Also checked before
   * the effect is committed.
   */
  readonly effectDeadlineMs?: number;
}

/** Outcome of a request. */
export type WorkResult =
  | { readonly kind: "ran" }
  | { readonly kind: "refused"; readonly refusal: ServerRefusal };

/** Outcome of a cancellation. */
export type CancelResult = "removed" | "running" | "unknown";

interface PendingRequest {
  readonly request: IncomingRequest;
  resolve(result: WorkResult): void;
}

/** Options of {@link WorkQueue}. */
export interface WorkQueueOptions {
  readonly settings: BackendSettings;
  readonly clock: Clock;
  readonly ownership: OwnershipState;
  readonly journal: Journal;
  readonly serviceTimes: ServiceTimeSampler;
}

/** Execution slots and queue of one server. */
export class WorkQueue {
  readonly #options: WorkQueueOptions;
  readonly #startedMs: number;
  readonly #queue: PendingRequest[] = [];
  readonly #runningIds = new Set<string>();
  readonly #cancelledIds = new Set<string>();
  readonly #heldRuns: PendingRequest[] = [];
  #holdsRuns = false;
  /** Factor by which requests run slower. */
  slowFactor = 1;
  isDraining = false;

  constructor(options: WorkQueueOptions) {
    this.#options = options;
    this.#startedMs = options.clock.nowMs();
  }

  /** Number of running and queued requests. */
  get inFlight(): number {
    return this.#runningIds.size + this.#queue.length;
  }

  /** Fault injection: while set, running requests do not finish. */
  setHoldRuns(isHeld: boolean): void {
    this.#holdsRuns = isHeld;
    if (isHeld) return;
    for (const held of this.#heldRuns.splice(0)) this.#finish(held);
  }

  /** Runs the request when a slot is free, or refuses it. */
  submit(request: IncomingRequest): Promise<WorkResult> {
    const refusal = this.#admissionRefusal(request);
    if (refusal !== undefined) {
      return Promise.resolve(this.#refuse(request, refusal));
    }
    return new Promise((resolve) => {
      this.#queue.push({ request, resolve });
      this.#startQueued();
    });
  }

  /**
   * Cancels a request that has not started. Remembers an unknown id, since the
   * cancellation may have overtaken its request.
   */
  cancel(requestId: string): CancelResult {
    if (this.#runningIds.has(requestId)) return "running";
    const index = this.#queue.findIndex((pending) =>
      pending.request.requestId === requestId
    );
    const pending = this.#queue[index];
    if (pending === undefined) {
      this.#rememberCancellation(requestId);
      return "unknown";
    }
    this.#queue.splice(index, 1);
    pending.resolve(this.#refuse(pending.request, "deadline"));
    return "removed";
  }

  #rememberCancellation(requestId: string): void {
    this.#cancelledIds.add(requestId);
    if (this.#cancelledIds.size <= MAX_REMEMBERED_CANCELLATIONS) return;
    const oldest = this.#cancelledIds.values().next().value;
    if (oldest !== undefined) this.#cancelledIds.delete(oldest);
  }

  #admissionRefusal(request: IncomingRequest): ServerRefusal | undefined {
    const { settings } = this.#options;
    if (this.isDraining) return "draining";
    if (this.#isCold() && settings.coldMode === "refuse") return "cold";
    if (this.#cancelledIds.has(request.requestId)) return "deadline";
    const isFull = this.#runningIds.size >= settings.slots &&
      this.#queue.length >= settings.queueLimit;
    if (isFull) return "busy";
    return this.#deadlineOrOwnerRefusal(request, this.#options.clock.nowMs());
  }

  #deadlineOrOwnerRefusal(
    request: IncomingRequest,
    nowMs: number,
  ): ServerRefusal | undefined {
    if (nowMs >= (request.deadlineMs ?? Infinity)) return "deadline";
    if (nowMs >= (request.effectDeadlineMs ?? Infinity)) return "deadline";
    return this.#isOwner(request, nowMs) ? undefined : "not-owner";
  }

  #isOwner(request: IncomingRequest, nowMs: number): boolean {
    const { settings, ownership } = this.#options;
    if (!settings.keyed || !settings.checksFences) return true;
    if (request.slice === undefined || request.fence === undefined) {
      return false;
    }
    return ownership.mayStart(request.slice as SliceId, request.fence, nowMs);
  }

  #mayCommit(request: IncomingRequest, nowMs: number): boolean {
    if (nowMs >= (request.effectDeadlineMs ?? Infinity)) return false;
    const { settings, ownership } = this.#options;
    if (!settings.keyed || !settings.checksFences) return true;
    const { slice, fence } = request;
    return ownership.mayCommit(slice as SliceId, fence!, nowMs);
  }

  #startQueued(): void {
    while (this.#runningIds.size < this.#options.settings.slots) {
      const next = this.#queue.shift();
      if (next === undefined) return;
      const nowMs = this.#options.clock.nowMs();
      const refusal = this.#deadlineOrOwnerRefusal(next.request, nowMs);
      if (refusal === undefined) this.#run(next, nowMs);
      else next.resolve(this.#refuse(next.request, refusal));
    }
  }

  #run(pending: PendingRequest, nowMs: number): void {
    const { request } = pending;
    const { ownership, journal, serviceTimes: serviceTimes } = this.#options;
    this.#runningIds.add(request.requestId);
    if (request.slice !== undefined) ownership.begin(request.slice as SliceId);
    journal.append("start", request, { nowMs });
    const coldFactor = this.#isCold()
      ? this.#options.settings.coldSlowFactor
      : 1;
    const runMs = serviceTimes.nextMs() * this.slowFactor * coldFactor;
    setTimeout(() => this.#finish(pending), runMs);
  }

  #finish(pending: PendingRequest): void {
    if (this.#holdsRuns) {
      this.#heldRuns.push(pending);
      return;
    }
    const { request } = pending;
    const { ownership, journal, clock } = this.#options;
    const nowMs = clock.nowMs();
    const mayCommit = this.#mayCommit(request, nowMs);
    journal.append(mayCommit ? "end" : "abandoned", request, { nowMs });
    this.#runningIds.delete(request.requestId);
    if (request.slice !== undefined) ownership.end(request.slice as SliceId);
    pending.resolve(
      mayCommit ? { kind: "ran" } : { kind: "refused", refusal: "not-owner" },
    );
    this.#startQueued();
  }

  #refuse(request: IncomingRequest, refusal: ServerRefusal): WorkResult {
    const nowMs = this.#options.clock.nowMs();
    this.#options.journal.append("refused", request, { nowMs, refusal });
    return { kind: "refused", refusal };
  }

  #isCold(): boolean {
    const { clock, settings } = this.#options;
    return clock.nowMs() < this.#startedMs + settings.coldStartMs;
  }
}
