/**
 * Warns when the process is short of memory or its event loop stands still, so
 * that the last lines of a process that is killed say how it was.
 */
import type * as contracts from "@guavatide/contracts";
import type { LifeCycle } from "./life_cycle.ts";
import type { Logger } from "./log.ts";
import type { ProcessStatus } from "./process_status.ts";

/** Options of {@link ProcessMonitor}. */
export interface ProcessMonitorOptions {
  readonly clock: contracts.Clock;
  readonly log: Logger;
  /** Memory of the VM; undefined if it is not known. */
  readonly memoryMb: number | undefined;
  readonly readStatus: () => ProcessStatus;
  /** Processor time that this process has used so far. */
  readonly processorMs: () => number;
  readonly requestsInFlight: () => number;
}

const CHECK_INTERVAL_MS = 250;
/** Fraction of a memory limit from which a line is written. */
const MEMORY_WARNING_RATIO = 0.8;
/** Interval of further lines while memory stays short. */
const MEMORY_WARNING_INTERVAL_MS = 10_000;
/** Shortest time without a run of the event loop that is logged. */
const MIN_STALL_MS = 500;
/** Interval of lines about stalls. */
const STALL_WARNING_INTERVAL_MS = 1_000;

/** Watches the memory and the event loop of a process. */
export class ProcessMonitor {
  readonly #options: ProcessMonitorOptions;
  #checkedAtMs: number;
  #checkedProcessorMs: number;
  #memoryWarnedAtMs = Number.NEGATIVE_INFINITY;
  #stallWarnedAtMs = Number.NEGATIVE_INFINITY;
  /** Stalls since the last line. */
  #stalls = 0;

  constructor(options: ProcessMonitorOptions) {
    this.#options = options;
    this.#checkedAtMs = options.clock.nowMs();
    this.#checkedProcessorMs = options.processorMs();
  }

  start(lifeCycle: LifeCycle): void {
    lifeCycle.every(CHECK_INTERVAL_MS, () => this.check());
  }

  /** Looks at the event loop and at the memory once. */
  check(): void {
    this.#checkEventLoop();
    this.#checkMemory();
  }

  #checkEventLoop(): void {
    const { clock, log, processorMs, readStatus, requestsInFlight } =
      this.#options;
    const nowMs = clock.nowMs();
    const usedMs = processorMs();
    const stalledMs = nowMs - this.#checkedAtMs - CHECK_INTERVAL_MS;
    const processorUsedMs = usedMs - this.#checkedProcessorMs;
    this.#checkedAtMs = nowMs;
    this.#checkedProcessorMs = usedMs;
    if (stalledMs < MIN_STALL_MS) return;
    this.#stalls++;
    if (nowMs - this.#stallWarnedAtMs < STALL_WARNING_INTERVAL_MS) return;
    this.#stallWarnedAtMs = nowMs;
    // With little processor time, the process was not given any.
    log.warn("The event loop stood still.", {
      stalledMs: Math.round(stalledMs),
      processorMs: Math.round(processorUsedMs),
      stalls: this.#stalls,
      ...readStatus(),
      requestsInFlight: requestsInFlight(),
    });
    this.#stalls = 0;
  }

  #checkMemory(): void {
    const { clock, log, memoryMb, readStatus, requestsInFlight } =
      this.#options;
    const nowMs = clock.nowMs();
    if (nowMs - this.#memoryWarnedAtMs < MEMORY_WARNING_INTERVAL_MS) return;
    const status = readStatus();
    const isVmShort = memoryMb !== undefined &&
      status.residentMb >= memoryMb * MEMORY_WARNING_RATIO;
    const isHeapShort = status.heapMb >=
      status.heapLimitMb * MEMORY_WARNING_RATIO;
    if (!isVmShort && !isHeapShort) return;
    this.#memoryWarnedAtMs = nowMs;
    log.warn("Memory runs short.", {
      limit: isVmShort ? "vm" : "heap",
      memoryMb,
      ...status,
      requestsInFlight: requestsInFlight(),
    });
  }
}
