/** What a process says about itself in log lines. */
import * as v8 from "node:v8";

const BYTES_PER_MB = 1_048_576;

/** Memory and age of this process. */
export interface ProcessStatus {
  readonly pid: number;
  readonly uptimeMs: number;
  /** Memory that the operating system counts. */
  readonly residentMb: number;
  /** Memory of JavaScript objects. */
  readonly heapMb: number;
  /** Above this size of the heap, Node ends the process. */
  readonly heapLimitMb: number;
}

/** Reads the status of this process. */
export function readProcessStatus(): ProcessStatus {
  const heap = v8.getHeapStatistics();
  return {
    pid: process.pid,
    uptimeMs: Math.round(performance.now()),
    residentMb: toMb(process.memoryUsage.rss()),
    heapMb: toMb(heap.used_heap_size),
    heapLimitMb: toMb(heap.heap_size_limit),
  };
}

/** Processor time that this process has used, in user and kernel mode. */
export function processorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

function toMb(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MB);
}
