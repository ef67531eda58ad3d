/**
 * Decides when a request that was read begins: at once, in one of the next
 * iterations of the event loop, or never, if the VM is too short of processor.
 */
import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import { EventLoopLagMonitor } from "./event_loop_lag_monitor.ts";
import { IterationBudget } from "./iteration_budget.ts";
import type { LifeCycle } from "./life_cycle.ts";
import type { Logger } from "./log.ts";
import { ThrottledWarning } from "./throttled_warning.ts";

/** A request that was read. */
export interface ScheduledRequest extends admission.BackloggedRequest {
  readonly begin: () => void;
  /** Called instead of `begin` when the VM is too far behind. */
  readonly refuse: () => void;
}

/** Options of {@link RequestScheduler}. */
export interface RequestSchedulerOptions {
  readonly clock: contracts.BoundedClock;
  readonly log: Logger;
  readonly count?: (event: ScheduleEvent) => void;
}

/** How far a VM is behind. */
export interface ProcessorReport {
  readonly loopLagMs: number;
  readonly requestWaitMs: number;
  readonly requestsWaiting: number;
}

/** Decisions of the scheduler that are counted. */
export type ScheduleEvent =
  /** A request waited for a later iteration. */
  | "request-deferred"
  /** A request was refused, as too many others wait. */
  | "request-behind";

/** A backlog that lasts for this long means overload rather than one stall. */
const SUSTAINED_BACKLOG_MS = 400;

/** Schedules the requests of one VM, and tells how far it is behind. */
export class RequestScheduler {
  readonly #clock: contracts.Clock;
  readonly #count: (event: ScheduleEvent) => void;
  readonly #loop: EventLoopLagMonitor;
  readonly #backlog = new admission.RequestBacklog<ScheduledRequest>();
  readonly #budget = new IterationBudget({ runNext: () => this.#runNext() });
  readonly #behindLog: ThrottledWarning;
  /** Since when some request waits; undefined while none does. */
  #waitingSinceMs: number | undefined;

  constructor({ clock, log, count = () => {} }: RequestSchedulerOptions) {
    this.#clock = clock;
    this.#loop = new EventLoopLagMonitor(clock);
    this.#count = count;
    this.#behindLog = new ThrottledWarning(
      log,
      "Refuses: requests wait for the processor.",
    );
  }

  /** Starts to measure; pauses while `isIdle` returns true. */
  start(lifeCycle: LifeCycle, isIdle: () => boolean): void {
    this.#loop.start(lifeCycle, isIdle);
  }

  /** A connection was accepted: more may wait behind it. */
  noteAccept(): void {
    this.#loop.resume();
    this.#budget.noteAccept();
  }

  /** How long data may have waited unread, at most; 0 below 60 ms. */
  get readLagMs(): number {
    return this.#loop.lagMs;
  }

  /**
   * Whether data may have waited unread, also in a suspension of the machine:
   * its sender may have gone.
   */
  get mayHaveWaited(): boolean {
    return this.#loop.maxLagMs > 0;
  }

  /** How long the oldest request that has not begun has waited. */
  get waitMs(): number {
    return this.#backlog.waitMs(this.#clock.nowMs());
  }

  /** How far the VM is behind, for log lines. */
  get report(): ProcessorReport {
    return {
      loopLagMs: Math.round(this.#loop.lagMs),
      requestWaitMs: Math.round(this.waitMs),
      requestsWaiting: this.#backlog.length,
    };
  }

  /** Whether the VM has been behind for a while. */
  get isSustained(): boolean {
    const waitingMs = this.#waitingSinceMs === undefined
      ? 0
      : this.#clock.nowMs() - this.#waitingSinceMs;
    return this.#loop.isSustained || waitingMs >= SUSTAINED_BACKLOG_MS;
  }

  /** Begins a request at once if this iteration has room for it. */
  add(request: ScheduledRequest): void {
    if (this.#budget.tryBegin()) return request.begin();
    const nowMs = this.#clock.nowMs();
    this.#backlog.add(request, nowMs);
    this.#waitingSinceMs ??= nowMs;
    this.#count("request-deferred");
    this.#budget.noteWaiting();
  }

  #runNext(): boolean {
    const nowMs = this.#clock.nowMs();
    const step = this.#backlog.next(nowMs);
    const waiting = this.#backlog.length;
    if (waiting === 0) this.#waitingSinceMs = undefined;
    if (step?.kind === "begin") step.request.begin();
    if (step?.kind === "refuse") {
      const waitedMs = Math.round(nowMs - step.request.readMs);
      this.#count("request-behind");
      this.#behindLog.warn(nowMs, { waitedMs, waiting });
      step.request.refuse();
    }
    return this.#backlog.length > 0;
  }
}
