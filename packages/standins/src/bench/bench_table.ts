/** Formats results as rows of a Markdown table. */
import type { BenchResult } from "./bench_run.ts";

/** Header row for {@link formatTable}. */
export const TABLE_HEADER =
  "| service | scenario | policy | p50 | p99 | goodput / capacity | answered " +
  "| refused | unknown | retries/req | max/mean | CV | twice | lies " +
  "| CPU ms/req | msgs/req | loop delay p99 |";

/** Formats results, one row each. */
export function formatTable(results: readonly BenchResult[]): string {
  return results.map(formatRow).join("");
}

function formatRow(result: BenchResult): string {
  const { figures } = result;
  const cells = [
    result.service,
    result.scenario,
    result.policy,
    figures.p50Ms.toFixed(1),
    figures.p99Ms.toFixed(1),
    (figures.goodputPerSecond / result.capacityPerSecond).toFixed(3),
    percent(figures.answeredPart),
    formatKinds(figures.notAnswered, "not-run:"),
    formatKinds(figures.notAnswered, "unknown:", "none:"),
    figures.retriesPerRequest.toFixed(3),
    figures.imbalanceMaxOverMean.toFixed(2),
    figures.imbalanceCv.toFixed(3),
    figures.runTwice,
    figures.toldNotRunButRan,
    figures.entryCpuMsPerRequest.toFixed(2),
    figures.peerMessagesPerRequest.toFixed(2),
    figures.loopDelayP99Ms.toFixed(1),
  ];
  return `| ${cells.join(" | ")} |\n`;
}

function percent(fraction: number): string {
  return `${(fraction * 100).toFixed(2)} %`;
}

function formatKinds(
  kinds: Readonly<Record<string, number>>,
  ...prefixes: readonly string[]
): string {
  const found = Object.entries(kinds)
    .filter(([kind]) => prefixes.some((prefix) => kind.startsWith(prefix)))
    .map(([kind, count]) => `${kind.split(":")[1]} ${count}`);
  return found.length === 0 ? "-" : found.join(", ");
}
