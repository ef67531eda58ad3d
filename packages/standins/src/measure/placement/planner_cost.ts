/** Measures time and memory of one plan as servers and slices grow. */
import * as contracts from "@guavatide/contracts";
import * as ownership from "@guavatide/decisions/ownership/mod";
import * as placement from "@guavatide/decisions/placement/mod";
import * as trace from "./trace.ts";

/** Cost of planning for one number of servers. */
export interface PlannerCost {
  readonly servers: number;
  readonly slices: number;
  readonly hotKeys: number;
  /** First plan, before the code is optimised and with all hot keys new. */
  readonly firstPlanMs: number;
  readonly medianPlanMs: number;
  /** Median processor time of a plan, including garbage collection. */
  readonly medianProcessorMs: number;
  readonly slowestPlanMs: number;
  /** Evacuation plan for one failed server. */
  readonly lossPlanMs: number;
  /** Heap of slices and reports held between plans, without a plan itself. */
  readonly heldMb: number;
  /** Largest heap in use right after a plan, before garbage collection. */
  readonly peakMb: number;
  /** Plans, one a second, until the imbalance stays at 1.3 or below. */
  readonly plansToEven: number;
  readonly assignmentJsonBytes: number;
}

const PLANS = 60;
const PLAN_INTERVAL_MS = 1000;
const BALANCED_IMBALANCE = 1.3;

/**
 * Measures plans for `servers` servers after `hotKeys` keys have become hot.
 * Needs `--expose-gc` for the memory figures.
 */
export function measurePlannerCost(
  servers: number,
  hotKeys: number,
): PlannerCost {
  const beforeMb = heapMb();
  const run = new CostRun(servers, hotKeys);
  const heldMb = heapMb() - beforeMb;
  const times: number[] = [];
  const processorTimes: number[] = [];
  let plansToEven = 0;
  let peakMb = 0;
  for (let i = 0; i < PLANS; i++) {
    const { plan, tookMs, processorMs } = run.plan(i * PLAN_INTERVAL_MS);
    times.push(tookMs);
    processorTimes.push(processorMs);
    peakMb = Math.max(peakMb, process.memoryUsage().heapUsed / 1e6 - beforeMb);
    if (plan.imbalance > BALANCED_IMBALANCE) plansToEven = i + 1;
  }
  const lossPlanMs = run.planLoss(PLANS * PLAN_INTERVAL_MS);
  const sorted = times.slice(1).sort((a, b) => a - b);
  const processor = processorTimes.slice(1).sort((a, b) => a - b);
  return {
    servers,
    slices: run.slices.length,
    hotKeys,
    firstPlanMs: times[0]!,
    medianPlanMs: sorted[sorted.length >> 1]!,
    medianProcessorMs: processor[processor.length >> 1]!,
    slowestPlanMs: sorted.at(-1)!,
    lossPlanMs,
    heldMb,
    peakMb,
    plansToEven,
    assignmentJsonBytes: JSON.stringify(run.slices).length,
  };
}

class CostRun {
  slices: contracts.Slice[];
  readonly #planner = new placement.Planner(placement.DEFAULT_PLACEMENT);
  readonly #servers: placement.PlacementServer[];
  readonly #hotKeys: { hash: number; requestsPerSecond: number }[] = [];
  readonly #total: number;

  constructor(servers: number, hotKeys: number) {
    const random = new trace.SeededRandom(servers);
    const names = Array.from(
      { length: servers },
      (_, index) => `server-${index}` as contracts.ServerId,
    );
    const count = this.#planner.initialSliceCount(servers);
    this.slices = ownership.equalSlices(names, count, { fence: 1 });
    this.#servers = names.map((server, index) => ({
      server,
      zone: `zone-${index % 9}` as contracts.ZoneId,
      state: "live",
      capacity: 1,
    }));
    this.#total = servers * 1000;
    // Each hot key loads a server to between 10% and 90% of the mean load.
    for (let i = 0; i < hotKeys; i++) {
      const hash = random.below(contracts.HASH_SPACE);
      const requestsPerSecond = 100 + 800 * random.next();
      this.#hotKeys.push({ hash, requestsPerSecond });
    }
    this.#hotKeys.sort((a, b) => b.requestsPerSecond - a.requestsPerSecond);
  }

  plan(
    nowMs: number,
  ): { plan: placement.Plan; tookMs: number; processorMs: number } {
    const load = this.#load();
    const before = process.cpuUsage();
    const startMs = performance.now();
    const plan = this.#planner.plan(this.#input(nowMs, load));
    const tookMs = performance.now() - startMs;
    const used = process.cpuUsage(before);
    const processorMs = (used.user + used.system) / 1000;
    this.slices = placement.applyChanges(this.slices, plan.changes);
    return { plan, tookMs, processorMs };
  }

  planLoss(nowMs: number): number {
    const load = this.#load();
    this.#servers[0] = { ...this.#servers[0]!, state: "lost" };
    const startMs = performance.now();
    this.#planner.planEvacuations(this.#input(nowMs, load));
    return performance.now() - startMs;
  }

  #input(
    nowMs: number,
    load: placement.LoadEstimate,
  ): placement.PlacementInput {
    return { nowMs, slices: this.slices, servers: this.#servers, load };
  }

  #load(): placement.LoadEstimate {
    const density = this.#total / contracts.HASH_SPACE;
    const slices = Float64Array.from(
      this.slices,
      (slice) => (slice.toHash - slice.fromHash) * density,
    );
    for (const { hash, requestsPerSecond } of this.#hotKeys) {
      slices[placement.findSlice(this.slices, hash)]! += requestsPerSecond;
    }
    return { requestsPerSecond: this.#total, slices, keys: this.#hotKeys };
  }
}

/** Heap in use after garbage collection; needs `--expose-gc`. */
function heapMb(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / 1e6;
}
