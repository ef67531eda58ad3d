/** Services, loads and faults of the bench. */

/** A service of one of the two deployments, at its full size. */
export interface BenchService {
  readonly name: string;
  readonly zones: readonly string[];
  readonly servers: number;
  readonly slots: number;
  readonly connections: number;
  readonly entryVms: number;
  /** One-way delay between availability zones, in milliseconds. */
  readonly linkDelayMs: number;
  /** One-way delay between caller and entry VM, in milliseconds. */
  readonly clientDelayMs: number;
}

const DAKAR = {
  zones: ["plateau", "almadies", "medina", "yoff"],
  slots: 3,
  connections: 110,
  entryVms: 9,
  linkDelayMs: 1,
  clientDelayMs: 3,
};

const MEXICO = {
  zones: ["queretaro", "guanajuato", "aguascalientes"],
  slots: 2,
  connections: 110,
  entryVms: 9,
  linkDelayMs: 1.5,
  clientDelayMs: 3,
};

/** The unkeyed services of both deployments. */
export const BENCH_SERVICES: readonly BenchService[] = [
  { name: "reservations", servers: 8, ...DAKAR },
  { name: "catalogue", servers: 10, ...DAKAR },
  { name: "ledger", servers: 6, ...MEXICO },
  { name: "archive", servers: 10, ...MEXICO },
];

/** A fault that is injected while the load runs. */
export type BenchFault =
  | "none"
  /** One server's process is paused and later resumed. */
  | "frozen"
  /** One server runs five times slower. */
  | "slow"
  /** One server is killed and restarts cold. */
  | "cold"
  /** Load reports show every server as idle. */
  | "lagging-reports"
  /** All servers of one availability zone are paused and later resumed. */
  | "zone-cut"
  /** The entry VM that dispatches is paused and later resumed. */
  | "frozen-entry";

/** One load with one fault. */
export interface BenchScenario {
  readonly name: string;
  /** Mean load of all callers, as a fraction of the servers' capacity. */
  readonly load: number;
  readonly fault: BenchFault;
  /** Additional load of one large caller during the middle third. */
  readonly burst: number;
}

function scenario(
  name: string,
  load: number,
  options: Partial<BenchScenario> = {},
): BenchScenario {
  return { name, load, fault: "none", burst: 0, ...options };
}

/** All scenarios. */
export const BENCH_SCENARIOS: readonly BenchScenario[] = [
  scenario("calm", 0.3),
  scenario("load-0.7", 0.7),
  scenario("load-0.95", 0.95),
  scenario("load-1.3", 1.3),
  scenario("frozen", 0.7, { fault: "frozen" }),
  scenario("slow", 0.7, { fault: "slow" }),
  scenario("cold", 0.7, { fault: "cold" }),
  scenario("lagging-reports", 0.7, { fault: "lagging-reports" }),
  scenario("zone-cut", 0.5, { fault: "zone-cut" }),
  scenario("frozen-entry", 0.7, { fault: "frozen-entry" }),
  scenario("burst", 0.6, { burst: 1 }),
];
