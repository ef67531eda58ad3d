/**
 * Measures how long the keys of a lost server are not served, and where that
 * time goes: until the loss is written, until the next owner is written, and
 * until a caller has the first answer.
 */
import type * as contracts from "@guavatide/contracts";
import { KeyHasher } from "@guavatide/decisions/ownership/key_hasher";
import {
  AssignmentObserver,
  type SeenRevision,
} from "./assignment_observer.ts";
import { monotonicMs } from "./caller_record.ts";
import { pause, ProofCluster } from "./proof_cluster.ts";
import { KEYED } from "./proof_plan.ts";
import { countViolations, totalOf } from "./violations.ts";

/** How a server is lost. */
export type LossKind = "kill" | "freeze" | "cut";

/** Time without service of one key. */
export interface KeyGap {
  readonly key: string;
  /** From the loss to the first answer at a caller. */
  readonly totalMs: number;
  /** From the loss to the write that takes the key from the lost server. */
  readonly detectMs: number;
  /** From then to the write that names the next owner. */
  readonly waitMs: number;
  /** From then to the first answer at a caller. */
  readonly grantMs: number;
}

/** What a series of losses showed. */
export interface TimeToServe {
  readonly loss: LossKind;
  readonly losses: number;
  readonly gaps: readonly KeyGap[];
  /** Losses after which some key was not served before the deadline. */
  readonly unserved: number;
  /** Violations of any kind during the series. */
  readonly violations: number;
}

const WORKERS = 48;
const CALLER_TIMEOUT_MS = 1000;
const SETTLE_MS = 2500;

/** Loses servers one after another in one deployment. */
export async function measureTimeToServe(
  loss: LossKind,
  losses: number,
): Promise<TimeToServe> {
  const hasher = await KeyHasher.create();
  const cluster = await ProofCluster.start({
    relaysServers: loss === "cut",
    keyedServers: 5,
  });
  const observer = new AssignmentObserver(
    cluster.deployment.storeUrl,
    KEYED,
  );
  const gaps: KeyGap[] = [];
  let unserved = 0;
  try {
    cluster.startLoad({
      workers: WORKERS,
      timeoutMs: CALLER_TIMEOUT_MS,
      pauseMs: 2,
    });
    await cluster.untilAnswered(500);
    for (let number = 0; number < losses; number++) {
      const found = await loseOne(cluster, { loss, observer, hasher, number });
      if (found === undefined) unserved++;
      else gaps.push(...found);
    }
    const evidence = await cluster.finish();
    const violations = totalOf(countViolations(evidence));
    return { loss, losses, gaps, unserved, violations };
  } finally {
    await observer.stop();
    await cluster.stop();
  }
}

interface Loss {
  readonly loss: LossKind;
  readonly observer: AssignmentObserver;
  readonly hasher: KeyHasher;
  readonly number: number;
}

/** Undefined when a key was not served again before the deadline. */
async function loseOne(
  cluster: ProofCluster,
  loss: Loss,
): Promise<KeyGap[] | undefined> {
  const owners = [...await cluster.keysByOwner()];
  const [server, keys] = owners[loss.number % owners.length]!;
  // Losses fall at any moment of the heartbeat's and the lease's rhythm.
  await pause(Math.random() * SETTLE_MS / 5);
  const lostMs = monotonicMs();
  await lose(cluster, server, loss.loss);
  const isServed = await cluster.untilServed(cluster.vms, keys)
    .then(() => true, () => false);
  const gaps = keys.flatMap((key) =>
    gapOf(cluster, { key, server, lostMs, ...loss }) ?? []
  );
  await bringBack(cluster, server, loss.loss);
  await pause(SETTLE_MS);
  await cluster.untilServed().catch(() => {});
  return isServed ? gaps : undefined;
}

async function lose(
  cluster: ProofCluster,
  server: string,
  loss: LossKind,
): Promise<void> {
  switch (loss) {
    case "kill":
      return await cluster.killServer(server);
    case "freeze":
      return cluster.server(server).freeze();
    case "cut":
      return await cluster.relays.setFaults(`server/${server}`, {
        mode: "mute",
      });
  }
}

async function bringBack(
  cluster: ProofCluster,
  server: string,
  loss: LossKind,
): Promise<void> {
  switch (loss) {
    case "kill":
      return await cluster.deployment.restartServer(server);
    case "freeze":
      return cluster.server(server).wake();
    case "cut":
      return await cluster.relays.setFaults(`server/${server}`, {
        mode: "pass",
      });
  }
}

/** The gap of one key, or undefined if no caller asked for it since. */
function gapOf(
  cluster: ProofCluster,
  options: Loss & {
    readonly key: string;
    readonly server: string;
    readonly lostMs: number;
  },
): KeyGap | undefined {
  const { key, server, lostMs, observer, hasher } = options;
  const firstMs = cluster.records
    .filter((record) => record.key === key && record.outcome === "answered")
    .filter((record) => record.endMs > lostMs && record.server !== server)
    .reduce((first, record) => Math.min(first, record.endMs), Infinity);
  const since = observer.seen.filter((seen) => seen.atMs > lostMs);
  const hash = hasher.hash(key);
  const taken = since.find((seen) =>
    sliceOf(seen, hash).server !== server ||
    sliceOf(seen, hash).state === "vacating"
  );
  const given = since.find((seen) =>
    sliceOf(seen, hash).state === "owned" &&
    sliceOf(seen, hash).server !== server
  );
  if (firstMs === Infinity || taken === undefined || given === undefined) {
    return undefined;
  }
  return {
    key,
    totalMs: firstMs - lostMs,
    detectMs: taken.atMs - lostMs,
    waitMs: given.atMs - taken.atMs,
    grantMs: firstMs - given.atMs,
  };
}

function sliceOf(seen: SeenRevision, hash: number): contracts.Slice {
  return seen.assignment.slices.find((slice) =>
    slice.fromHash <= hash && hash < slice.toHash
  )!;
}
