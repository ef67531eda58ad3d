/**
 * Elects the entry VMs that read the platform's store for the whole deployment.
 * Readers relay changes to the others, so calls to the store do not grow with
 * the number of VMs.
 */
import type * as contracts from "@guavatide/contracts";

/** An entry VM that may become a reader. */
export interface ReaderCandidate {
  readonly vm: contracts.VmId;
  readonly zone: contracts.ZoneId;
  readonly processorCores: number;
}

/** A reader that reaches the store, by its last report. */
export interface KnownReader {
  readonly vm: contracts.VmId;
  /** When the report was received, on this VM's clock. */
  readonly receivedAtMs: number;
  /** How long the store had answered it without a failure, at the report. */
  readonly storeCalmMs: number;
}

/** State of a VM and its peers at a review. */
export interface ReaderView {
  readonly nowMs: number;
  /** Uptime of this process. */
  readonly uptimeMs: number;
  /** Whether this VM's last call to the store was answered. */
  readonly hasStore: boolean;
  /** VMs that may read, this one included, in order of preference. */
  readonly ranking: readonly contracts.VmId[];
  /**
   * Whether this VM may start reading before it has received peers' messages.
   */
  readonly isSeed: boolean;
}

/** Result of a review. */
export type ReaderStep =
  /** Reads the store. */
  | "read"
  /** Tries to reach the store, and becomes a reader if that succeeds. */
  | "try"
  | "rest";

/** Readers of a deployment. With two, the loss of one causes no delay. */
const READERS = 2;
/** A reader without a report for this long no longer counts. */
const READER_TIMEOUT_MS = 1_000;
/** Extra delay per rank, so that few VMs try at the same time. */
const STAGGER_MS = 150;
/** Uptime before which a VM waits for reports of the present readers. */
const MIN_UPTIME_MS = 700;
/** A VM takes over after it has been among the top ranks for this time. */
const TAKEOVER_DELAY_MS = 3_000;
/** After a failed attempt a VM leaves attempts to others for this time. */
const RETRY_MS = 3_000;

/** Decides whether this VM is a reader. */
export class ReaderElection {
  readonly #vm: contracts.VmId;
  readonly #readers = new Map<contracts.VmId, KnownReader>();
  #isReader = false;
  #tooFewSinceMs: number | undefined;
  #topRankedSinceMs: number | undefined;
  #notBeforeMs = Number.NEGATIVE_INFINITY;

  constructor(vm: contracts.VmId) {
    this.#vm = vm;
  }

  /** Whether this VM is a reader. */
  get isReader(): boolean {
    return this.#isReader;
  }

  /** Notes a reader's report, received from itself or through a peer. */
  noteReader(reader: KnownReader): void {
    if (reader.vm === this.#vm) return;
    const known = this.#readers.get(reader.vm);
    const isOlder = known !== undefined &&
      known.receivedAtMs >= reader.receivedAtMs;
    if (!isOlder) this.#readers.set(reader.vm, reader);
  }

  /** Other readers whose last report has not timed out. */
  activeReaders(nowMs: number): KnownReader[] {
    return [...this.#readers.values()]
      .filter(({ receivedAtMs }) => nowMs - receivedAtMs < READER_TIMEOUT_MS);
  }

  /**
   * Longest time that the store has answered another reader without failure.
   */
  storeHealthyMs(nowMs: number): number {
    const healthyMs = this.activeReaders(nowMs)
      .map(({ receivedAtMs, storeCalmMs }) =>
        storeCalmMs + nowMs - receivedAtMs
      );
    return Math.max(0, ...healthyMs);
  }

  /** Reviews the role; call it regularly. */
  review(view: ReaderView): ReaderStep {
    const active = this.activeReaders(view.nowMs);
    this.#dropExpired(view.nowMs);
    if (this.#isReader) {
      if (!this.#isNeeded(view, active)) this.#isReader = false;
      return this.#isReader ? "read" : "rest";
    }
    const isDue = this.#isDelayOver(view, active) || this.#isTopRanked(view);
    const mayTry = isDue && view.nowMs >= this.#notBeforeMs;
    return mayTry ? "try" : "rest";
  }

  /**
   * Notes the end of an attempt to reach the store. With a slow store it takes
   * longer than the delay between ranks, so enough others may read by now.
   */
  noteAttempt(isReached: boolean, view: ReaderView): void {
    const { nowMs } = view;
    if (!isReached) this.#notBeforeMs = nowMs + RETRY_MS;
    this.#isReader = isReached &&
      (this.activeReaders(nowMs).length < READERS || this.#isTopRanked(view));
  }

  /** Whether fewer than `READERS` active readers rank before this VM. */
  #isNeeded(
    { ranking, hasStore }: ReaderView,
    active: readonly KnownReader[],
  ): boolean {
    if (!hasStore) return active.length < READERS;
    const ownPosition = ranking.indexOf(this.#vm);
    const higherRanked = active.filter(({ vm }) => {
      const position = ranking.indexOf(vm);
      return position >= 0 && position < ownPosition;
    });
    return higherRanked.length < READERS;
  }

  /** Whether readers have been missing for longer than this VM's delay. */
  #isDelayOver(view: ReaderView, active: readonly KnownReader[]): boolean {
    if (active.length >= READERS) {
      this.#tooFewSinceMs = undefined;
      return false;
    }
    if (view.uptimeMs < MIN_UPTIME_MS && !view.isSeed) return false;
    this.#tooFewSinceMs ??= view.nowMs;
    const names = new Set(active.map(({ vm }) => vm));
    const otherVms = view.ranking.filter((vm) => !names.has(vm));
    const position = Math.max(0, otherVms.indexOf(this.#vm));
    const missing = READERS - active.length;
    const waitMs = STAGGER_MS * Math.max(0, position + 1 - missing);
    return view.nowMs - this.#tooFewSinceMs >= waitMs;
  }

  /** Whether this VM has been among the top ranks for long enough. */
  #isTopRanked(
    { ranking, nowMs, uptimeMs, hasStore }: ReaderView,
  ): boolean {
    const isTop = hasStore && ranking.slice(0, READERS).includes(this.#vm);
    if (!isTop) this.#topRankedSinceMs = undefined;
    else this.#topRankedSinceMs ??= nowMs;
    return isTop && uptimeMs >= TAKEOVER_DELAY_MS &&
      nowMs - this.#topRankedSinceMs! >= TAKEOVER_DELAY_MS;
  }

  #dropExpired(nowMs: number): void {
    for (const [vm, { receivedAtMs }] of this.#readers) {
      if (nowMs - receivedAtMs >= READER_TIMEOUT_MS) this.#readers.delete(vm);
    }
  }
}

/**
 * Ranks candidates: first the best of each availability zone, then the second
 * best of each, and so on. Within a zone more processor cores rank higher, and
 * `rank` breaks ties.
 */
export function rankReaders(
  candidates: readonly ReaderCandidate[],
  rank: (vms: readonly contracts.VmId[]) => readonly contracts.VmId[],
): contracts.VmId[] {
  const ranks = new Map(
    rank(candidates.map(({ vm }) => vm)).map((vm, position) => [vm, position]),
  );
  const byCores = [...candidates].sort((a, b) =>
    b.processorCores - a.processorCores ||
    ranks.get(a.vm)! - ranks.get(b.vm)!
  );
  const inZone = new Map<contracts.ZoneId, number>();
  const rounds = new Map<contracts.VmId, number>();
  for (const { vm, zone } of byCores) {
    const round = inZone.get(zone) ?? 0;
    rounds.set(vm, round);
    inZone.set(zone, round + 1);
  }
  return byCores.map(({ vm }) => vm)
    .sort((a, b) => rounds.get(a)! - rounds.get(b)!);
}
