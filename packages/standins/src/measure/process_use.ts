/** Reads the resource usage of a process from /proc. */
import * as fs from "node:fs";

/** Totals since the process started, and its current memory. */
export interface ProcessUsage {
  /** Read by system calls from sockets, files and pipes. */
  readonly readBytes: number;
  readonly writtenBytes: number;
  readonly processorS: number;
  readonly residentMb: number;
}

/** Clock ticks per second in /proc, fixed at 100 on Linux. */
const TICKS_PER_S = 100;

/** Reads the usage of one process. Errors: throws if it doesn't exist. */
export function readProcessUsage(pid: number): ProcessUsage {
  const io = fs.readFileSync(`/proc/${pid}/io`, "utf8");
  const stat = fs.readFileSync(`/proc/${pid}/stat`, "utf8");
  const status = fs.readFileSync(`/proc/${pid}/status`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return {
    readBytes: numberIn(io, /rchar: (\d+)/),
    writtenBytes: numberIn(io, /wchar: (\d+)/),
    processorS: ticks / TICKS_PER_S,
    residentMb: numberIn(status, /VmRSS:\s+(\d+)/) / 1024,
  };
}

function numberIn(text: string, pattern: RegExp): number {
  return Number(pattern.exec(text)?.[1] ?? Number.NaN);
}
