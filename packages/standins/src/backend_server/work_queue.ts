/**
 * Runs requests in a fixed number of slots with a short queue. Refuses by
 * deadline, drain, cold start and ownership, and checks ownership again when
 * a request leaves the queue and before its effect: the process may have been
 * stopped in between, and another server may own the key by then.
 */
import type { Clock, ServerRefusal, SliceId } from "@guavatide/contracts";
import type { Journal, JournaledRequest } from "./journal.ts";
import type { OwnershipState } from "./ownership_state.ts";
import type { ServiceTimeSampler } from "./service_time_sampler.ts";
import type { BackendSettings } from "./settings.ts";

const MAX_REMEMBERED_CANCELLATIONS = 10_000;

/** A request that has arrived. */
export interface IncomingRequest extends JournaledRequest {
  /** On the server's clock; undefined without one. */
  readonly deadlineMs: number | undefined;
  /** The same, given by the sender on the server's clock: holds to the end. */
  readonly effectDeadlineMs?: number;
}

/** How a request ended. */
export type WorkResult =
  | { readonly kind: "ran" }
  | { readonly kind: "refused"; readonly refusal: ServerRefusal };

/** What a cancellation met. */
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

/** Slots and queue of one server. */
export class WorkQueue {
  readonly #options: WorkQueueOptions;
  readonly #startedMs: number;
  readonly #waiting: PendingRequest[] = [];
  readonly #runningIds = new Set<string>();
  readonly #cancelledIds = new Set<string>();
  readonly #held: PendingRequest[] = [];
  #holdsRuns = false;
  /** Requests run this many times slower. */
  slowFactor = 1;
  isDraining = false;

  constructor(options: WorkQueueOptions) {
    this.#options = options;
    this.#startedMs = options.clock.nowMs();
  }

  /** Requests that run or wait. */
  get inFlight(): number {
    return this.#runningIds.size + this.#waiting.length;
  }

  /** Fault control: while set, no run ends. */
  setHoldRuns(holds: boolean): void {
    this.#holdsRuns = holds;
    if (holds) return;
    for (const work of this.#held.splice(0)) this.#finish(work);
  }

  /** Runs the request as soon as a slot is free, or refuses it. */
  submit(request: IncomingRequest): Promise<WorkResult> {
    const refusal = this.#refusalOnArrival(request);
    if (refusal !== undefined) {
      return Promise.resolve(this.#refuse(request, refusal));
    }
    return new Promise((resolve) => {
      this.#waiting.push({ request, resolve: resolve });
      this.#startWaiting();
    });
  }

  /**
   * Cancels a request that has not started. An id that is not known is kept:
   * the cancellation may have overtaken its request.
   */
  cancel(requestId: string): CancelResult {
    if (this.#runningIds.has(requestId)) return "running";
    const index = this.#waiting.findIndex((waiting) =>
      waiting.request.requestId === requestId
    );
    const waiting = this.#waiting[index];
    if (waiting === undefined) {
      this.#rememberCancelled(requestId);
      return "unknown";
    }
    this.#waiting.splice(index, 1);
    waiting.resolve(this.#refuse(waiting.request, "deadline"));
    return "removed";
  }

  #rememberCancelled(requestId: string): void {
    this.#cancelledIds.add(requestId);
    if (this.#cancelledIds.size <= MAX_REMEMBERED_CANCELLATIONS) return;
    const oldest = this.#cancelledIds.values().next().value;
    if (oldest !== undefined) this.#cancelledIds.delete(oldest);
  }

  #refusalOnArrival(request: IncomingRequest): ServerRefusal | undefined {
    const { settings } = this.#options;
    if (this.isDraining) return "draining";
    if (this.#isCold() && settings.coldMode === "refuse") return "cold";
    if (this.#cancelledIds.has(request.requestId)) return "deadline";
    const isFull = this.#runningIds.size >= settings.slots &&
      this.#waiting.length >= settings.queueLimit;
    if (isFull) return "busy";
    return this.#refusalNow(request, this.#options.clock.nowMs());
  }

  #refusalNow(
    request: IncomingRequest,
    nowMs: number,
  ): ServerRefusal | undefined {
    if (nowMs >= (request.deadlineMs ?? Infinity)) return "deadline";
    if (nowMs >= (request.effectDeadlineMs ?? Infinity)) return "deadline";
    return this.#ownsKeyOf(request, nowMs) ? undefined : "not-owner";
  }

  #ownsKeyOf(request: IncomingRequest, nowMs: number): boolean {
    const { settings, ownership } = this.#options;
    if (!settings.keyed || !settings.checksFences) return true;
    if (request.slice === undefined || request.fence === undefined) {
      return false;
    }
    return ownership.mayStart(request.slice as SliceId, request.fence, nowMs);
  }

  #mayTakeEffect(request: IncomingRequest, nowMs: number): boolean {
    if (nowMs >= (request.effectDeadlineMs ?? Infinity)) return false;
    const { settings, ownership } = this.#options;
    if (!settings.keyed || !settings.checksFences) return true;
    const { slice, fence } = request;
    return ownership.mayCommit(slice as SliceId, fence!, nowMs);
  }

  #startWaiting(): void {
    while (this.#runningIds.size < this.#options.settings.slots) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      const nowMs = this.#options.clock.nowMs();
      const refusal = this.#refusalNow(next.request, nowMs);
      if (refusal === undefined) this.#run(next, nowMs);
      else next.resolve(this.#refuse(next.request, refusal));
    }
  }

  #run(work: PendingRequest, nowMs: number): void {
    const { request } = work;
    const { ownership, journal, serviceTimes: times } = this.#options;
    this.#runningIds.add(request.requestId);
    if (request.slice !== undefined) ownership.begin(request.slice as SliceId);
    journal.append("start", request, { nowMs });
    const coldFactor = this.#isCold()
      ? this.#options.settings.coldSlowFactor
      : 1;
    const runMs = times.nextMs() * this.slowFactor * coldFactor;
    setTimeout(() => this.#finish(work), runMs);
  }

  #finish(work: PendingRequest): void {
    if (this.#holdsRuns) {
      this.#held.push(work);
      return;
    }
    const { request } = work;
    const { ownership, journal, clock } = this.#options;
    const nowMs = clock.nowMs();
    const ownsStill = this.#mayTakeEffect(request, nowMs);
    journal.append(ownsStill ? "end" : "abandoned", request, { nowMs });
    this.#runningIds.delete(request.requestId);
    if (request.slice !== undefined) ownership.end(request.slice as SliceId);
    work.resolve(
      ownsStill ? { kind: "ran" } : { kind: "refused", refusal: "not-owner" },
    );
    this.#startWaiting();
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
