/**
 * Measures how long the keys of a failed server are unavailable, split into
 * the time until the failure is stored, until the next owner is stored, and
 * until a caller receives the first answer.
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

/** How a server fails. */
export type LossKind = "kill" | "freeze" | "cut";

/** Time during which one key was unavailable. */
export interface KeyGap {
  readonly key: string;
  /** From the failure to the first answer at a caller. */
  readonly totalMs: number;
  /** From the failure to the write that takes the key off the failed server. */
  readonly detectMs: number;
  /** From then to the write that names the next owner. */
  readonly waitMs: number;
  /** From then to the first answer at a caller. */
  readonly grantMs: number;
}

/** Results of a series of server failures. */
export interface TimeToServe {
  readonly loss: LossKind;
  readonly losses: number;
  readonly gaps: readonly KeyGap[];
  /** Failures after which some key wasn't served before the deadline. */
  readonly unserved: number;
  /** Violations of any kind during the series. */
  readonly violations: number;
}

const WORKERS = 48;
const CALLER_TIMEOUT_MS = 1000;
const SETTLE_MS = 2500;

/**
 * Makes servers of one deployment fail one after another, `losses` times.
 * Errors: rejects if the deployment doesn't start.
 */
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
      const found = await measureOneLoss(cluster, {
        loss,
        observer,
        hasher,
        number,
      });
      if (found === undefined) unserved++;
      else gaps.push(...found);
    }
    const observations = await cluster.finish();
    const violations = totalOf(countViolations(observations));
    return { loss, losses, gaps, unserved, violations };
  } finally {
    await observer.stop();
    await cluster.stop();
  }
}

interface LossOptions {
  readonly loss: LossKind;
  readonly observer: AssignmentObserver;
  readonly hasher: KeyHasher;
  readonly number: number;
}

/** Returns undefined if a key wasn't served again before the deadline. */
async function measureOneLoss(
  cluster: ProofCluster,
  loss: LossOptions,
): Promise<KeyGap[] | undefined> {
  const owners = [...await cluster.keysByOwner()];
  const [server, keys] = owners[loss.number % owners.length]!;
  // A random delay spreads failures over the heartbeat and lease intervals.
  await pause(Math.random() * SETTLE_MS / 5);
  const lostMs = monotonicMs();
  await injectLoss(cluster, server, loss.loss);
  const isServed = await cluster.untilServed(cluster.vms, keys)
    .then(() => true, () => false);
  const gaps = keys.flatMap((key) =>
    gapOf(cluster, { key, server, lostMs, ...loss }) ?? []
  );
  await restore(cluster, server, loss.loss);
  await pause(SETTLE_MS);
  await cluster.untilServed().catch(() => {});
  return isServed ? gaps : undefined;
}

async function injectLoss(
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

async function restore(
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

/** Unavailability of one key; undefined if no caller got an answer since. */
function gapOf(
  cluster: ProofCluster,
  options: LossOptions & {
    readonly key: string;
    readonly server: string;
    readonly lostMs: number;
  },
): KeyGap | undefined {
  const { key, server, lostMs, observer, hasher } = options;
  const firstAnswerMs = cluster.records
    .filter((record) => record.key === key && record.outcome === "answered")
    .filter((record) => record.endMs > lostMs && record.server !== server)
    .reduce((first, record) => Math.min(first, record.endMs), Infinity);
  const since = observer.seen.filter((seen) => seen.atMs > lostMs);
  const hash = hasher.hash(key);
  const taken = since.find((seen) =>
    sliceOf(seen, hash).server !== server ||
    sliceOf(seen, hash).state === "vacating"
  );
  const granted = since.find((seen) =>
    sliceOf(seen, hash).state === "owned" &&
    sliceOf(seen, hash).server !== server
  );
  if (
    firstAnswerMs === Infinity || taken === undefined || granted === undefined
  ) {
    return undefined;
  }
  return {
    key,
    totalMs: firstAnswerMs - lostMs,
    detectMs: taken.atMs - lostMs,
    waitMs: granted.atMs - taken.atMs,
    grantMs: firstAnswerMs - granted.atMs,
  };
}

function sliceOf(seen: SeenRevision, hash: number): contracts.Slice {
  return seen.assignment.slices.find((slice) =>
    slice.fromHash <= hash && hash < slice.toHash
  )!;
}
