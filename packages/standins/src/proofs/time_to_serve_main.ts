/**
 * Prints percentiles of the time until a failed server's keys are served again.
 * Optional arguments: number of failures of each kind, and one kind to run.
 */
import * as hdr from "hdr-histogram-js";
import {
  type KeyGap,
  type LossKind,
  measureTimeToServe,
  type TimeToServe,
} from "./time_to_serve.ts";

const LOSSES = 10;
const KINDS: readonly LossKind[] = ["kill", "freeze", "cut"];
const PARTS: readonly { name: string; of: (gap: KeyGap) => number }[] = [
  { name: "total", of: (gap) => gap.totalMs },
  { name: "detect and write", of: (gap) => gap.detectMs },
  { name: "wait and write", of: (gap) => gap.waitMs },
  { name: "grant and answer", of: (gap) => gap.grantMs },
];

const COLUMNS = [
  "loss",
  "part",
  "losses",
  "keys",
  "p50 ms",
  "p90 ms",
  "p99 ms",
  "max ms",
  "unserved",
  "violations",
];

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printRows(measured: TimeToServe): void {
  for (const part of PARTS) {
    const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
    for (const gap of measured.gaps) {
      histogram.recordValue(Math.max(0, Math.round(part.of(gap))));
    }
    const cells = [
      measured.loss,
      part.name,
      measured.losses,
      measured.gaps.length,
      ...[50, 90, 99].map((percentile) =>
        histogram.getValueAtPercentile(percentile)
      ),
      histogram.maxValue,
      measured.unserved,
      measured.violations,
    ];
    printLine(`| ${cells.join(" | ")} |`);
  }
}

async function main(): Promise<void> {
  const losses = Number(process.argv[2] ?? LOSSES);
  const chosen = KINDS.filter((kind) => kind.includes(process.argv[3] ?? ""));
  printLine(`| ${COLUMNS.join(" | ")} |`);
  printLine(`| ${COLUMNS.map(() => "---").join(" | ")} |`);
  // One at a time: deployments that share the machine distort the figures.
  for (const kind of chosen) printRows(await measureTimeToServe(kind, losses));
}

await main();
// Idle connections of the harness would keep the process alive.
process.exit();
