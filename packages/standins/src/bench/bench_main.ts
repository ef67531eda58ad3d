/** Command line of the load bench. */
import * as clipanion from "clipanion";
import { BenchCluster } from "./bench_cluster.ts";
import { benchCost } from "./bench_cost.ts";
import { type BenchResult, benchRun } from "./bench_run.ts";
import { BENCH_SCENARIOS, BENCH_SERVICES } from "./bench_scenarios.ts";
import { formatTable, TABLE_HEADER } from "./bench_table.ts";

const DEFAULT_POLICIES =
  "round-robin,least-outstanding,power-of-two,dispatched";

/** Runs scenarios with several load-balancing policies. */
class BenchCommand extends clipanion.Command {
  static override usage = clipanion.Command.Usage({
    description: "run the load bench with local stand-in processes",
  });
  scenario = clipanion.Option.String("--scenario", "all", {
    description: `comma-separated names, or "all": ${
      BENCH_SCENARIOS.map((scenario) => scenario.name).join(", ")
    }`,
  });
  service = clipanion.Option.String("--service", "reservations", {
    description: `comma-separated names: ${
      BENCH_SERVICES.map((service) => service.name).join(", ")
    }`,
  });
  policy = clipanion.Option.String("--policy", DEFAULT_POLICIES, {
    description: "comma-separated policies",
  });
  seconds = clipanion.Option.String("--seconds", "6", {
    description: "measured time of a run, without warm-up",
  });
  serviceMs = clipanion.Option.String("--service-ms", "20", {
    description: "mean time that a server works on a request",
  });
  timeScale = clipanion.Option.String("--time-scale", "1", {
    description: "factor for run times, network delays and deadlines, to " +
      "reduce the influence of noise on a busy machine",
  });
  method = clipanion.Option.String("--method", "POST", {
    description: "GET is idempotent, POST is not",
  });
  profileFolder = clipanion.Option.String("--profile-folder", {
    description: "folder for CPU profiles of the entry processes",
  });
  seed = clipanion.Option.String("--seed", "1");
  json = clipanion.Option.Boolean("--json", false);

  async execute(): Promise<number> {
    const results: BenchResult[] = [];
    if (!this.json) this.context.stdout.write(`${TABLE_HEADER}\n`);
    for (const service of pick(BENCH_SERVICES, this.service)) {
      for (const scenario of pick(BENCH_SCENARIOS, this.scenario)) {
        for (const policy of this.policy.split(",")) {
          const result = await benchRun(service, {
            scenario,
            policy,
            durationMs: Number(this.seconds) * 1000,
            meanServiceMs: Number(this.serviceMs) * Number(this.timeScale),
            timeScale: Number(this.timeScale),
            method: this.method === "GET" ? "GET" : "POST",
            seed: Number(this.seed),
            profileFolder: this.profileFolder,
          });
          results.push(result);
          if (!this.json) this.context.stdout.write(formatTable([result]));
        }
      }
    }
    if (this.json) this.context.stdout.write(JSON.stringify(results) + "\n");
    const isSafe = results.every(({ figures }) =>
      figures.runTwice === 0 && figures.toldNotRunButRan === 0
    );
    return isSafe ? 0 : 1;
  }
}

/** Measures the overhead of the request path. */
class CostCommand extends clipanion.Command {
  static override paths = [["cost"]];
  static override usage = clipanion.Command.Usage({
    description: "compare requests through an entry VM with direct ones",
  });
  rate = clipanion.Option.String("--rate", "100", {
    description: "requests a second, on each of the two paths",
  });
  seconds = clipanion.Option.String("--seconds", "10");
  policy = clipanion.Option.String("--policy", "power-of-two");
  seed = clipanion.Option.String("--seed", "1");

  async execute(): Promise<number> {
    const figures = await benchCost({
      requestsPerSecond: Number(this.rate),
      durationMs: Number(this.seconds) * 1000,
      policy: this.policy,
      seed: Number(this.seed),
    });
    this.context.stdout.write(JSON.stringify(figures, undefined, 2) + "\n");
    return 0;
  }
}

function pick<T extends { readonly name: string }>(
  all: readonly T[],
  names: string,
): readonly T[] {
  if (names === "all") return all;
  return names.split(",").map((name) => {
    const found = all.find((item) => item.name === name);
    if (found !== undefined) return found;
    const known = all.map((item) => item.name).join(", ");
    throw new clipanion.UsageError(`"${name}" is not one of: ${known}`);
  });
}

// Otherwise child processes survive a bench that is stopped or fails.
process.once("exit", () => BenchCluster.killAll());
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(1));
}
const cli = new clipanion.Cli({ binaryName: "npm run bench --" });
cli.register(BenchCommand);
cli.register(CostCommand);
process.exitCode = await cli.run(process.argv.slice(2));
process.exit();
