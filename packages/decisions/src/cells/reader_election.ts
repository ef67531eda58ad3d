/**
 * Which entry VMs read the platform's store for the whole deployment. Readers
 * tell the others what has changed, so calls to the store do not grow with the
 * number of VMs.
 */
import type * as contracts from "@guavatide/contracts";

/** An entry VM that may read for the others. */
export interface ReaderCandidate {
  readonly vm: contracts.VmId;
  readonly zone: contracts.ZoneId;
  readonly processorCores: number;
}

/** A reader that reaches the store, as its last word told. */
export interface KnownReader {
  readonly vm: contracts.VmId;
  /** When it said so, on this VM's clock. */
  readonly receivedAtMs: number;
  /** How long it had then reached the store without a failure. */
  readonly storeCalmMs: number;
}

/** What a VM knows when it looks at the duty. */
export interface ReaderView {
  readonly nowMs: number;
  /** How long the process has run. */
  readonly uptimeMs: number;
  /** Whether this VM's last call to the store was answered. */
  readonly hasStore: boolean;
  /** VMs that may read, this one included, in the order of the duty. */
  readonly ranking: readonly contracts.VmId[];
  /** Whether this VM may begin at once, before it has heard its peers. */
  readonly isSeed: boolean;
}

/** What a VM is to do about the duty. */
export type ReaderStep =
  /** Reads, or goes on reading. */
  | "read"
  /** Finds out whether it reaches the store, and then reads. */
  | "try"
  | "rest";

/** Readers of a deployment. With two, the loss of one delays nothing. */
const READERS = 2;
/** A reader without a word for so long is no longer counted on. */
const READER_TIMEOUT_MS = 1_000;
/** VMs further back in the order wait longer, so that few begin at once. */
const STAGGER_MS = 150;
/** A VM that has just started hears first who reads. */
const START_GRACE_MS = 700;
/** A VM that belongs to the first of the order takes over after this time. */
const SETTLE_MS = 3_000;
/** A VM whose attempt failed leaves the next ones to others. */
const RETRY_MS = 3_000;

/** Decides for one VM whether it reads. */
export class ReaderElection {
  readonly #vm: contracts.VmId;
  readonly #known = new Map<contracts.VmId, KnownReader>();
  #isReader = false;
  #missingSinceMs: number | undefined;
  #firstSinceMs: number | undefined;
  #noTryBeforeMs = Number.NEGATIVE_INFINITY;

  constructor(vm: contracts.VmId) {
    this.#vm = vm;
  }

  /** Whether this VM reads. */
  get isReader(): boolean {
    return this.#isReader;
  }

  /** A reader said, itself or through a peer, that it reaches the store. */
  noteReader(reader: KnownReader): void {
    if (reader.vm === this.#vm) return;
    const known = this.#known.get(reader.vm);
    const isOlder = known !== undefined &&
      known.receivedAtMs >= reader.receivedAtMs;
    if (!isOlder) this.#known.set(reader.vm, reader);
  }

  /** Other readers whose word is still good. */
  activeReaders(nowMs: number): KnownReader[] {
    return [...this.#known.values()]
      .filter(({ receivedAtMs: heardAtMs }) =>
        nowMs - heardAtMs < READER_TIMEOUT_MS
      );
  }

  /** How long the store has answered some other reader without a failure. */
  storeHealthyMs(nowMs: number): number {
    const calms = this.activeReaders(nowMs)
      .map(({ receivedAtMs: heardAtMs, storeCalmMs }) =>
        storeCalmMs + nowMs - heardAtMs
      );
    return Math.max(0, ...calms);
  }

  /** Looks at the duty again. */
  review(view: ReaderView): ReaderStep {
    const active = this.activeReaders(view.nowMs);
    this.#forget(view.nowMs);
    if (this.#isReader) {
      if (!this.#isNeeded(view, active)) this.#isReader = false;
      return this.#isReader ? "read" : "rest";
    }
    const isDue = this.#isMissed(view, active) || this.#isFirst(view);
    const mayTry = isDue && view.nowMs >= this.#noTryBeforeMs;
    return mayTry ? "try" : "rest";
  }

  /**
   * The attempt to reach the store has ended. With a slow store it takes longer
   * than the VMs wait for one another, so enough others may read by now.
   */
  noteAttempt(isReached: boolean, view: ReaderView): void {
    const { nowMs } = view;
    if (!isReached) this.#noTryBeforeMs = nowMs + RETRY_MS;
    this.#isReader = isReached &&
      (this.activeReaders(nowMs).length < READERS || this.#isFirst(view));
  }

  /** Whether fewer than enough other readers go before this one. */
  #isNeeded(
    { ranking: order, hasStore }: ReaderView,
    active: readonly KnownReader[],
  ): boolean {
    if (!hasStore) return active.length < READERS;
    const own = order.indexOf(this.#vm);
    const before = active.filter(({ vm }) => {
      const place = order.indexOf(vm);
      return place >= 0 && place < own;
    });
    return before.length < READERS;
  }

  /** Whether readers have been missing for as long as this VM is to wait. */
  #isMissed(view: ReaderView, active: readonly KnownReader[]): boolean {
    if (active.length >= READERS) {
      this.#missingSinceMs = undefined;
      return false;
    }
    if (view.uptimeMs < START_GRACE_MS && !view.isSeed) return false;
    this.#missingSinceMs ??= view.nowMs;
    const names = new Set(active.map(({ vm }) => vm));
    const others = view.ranking.filter((vm) => !names.has(vm));
    const place = Math.max(0, others.indexOf(this.#vm));
    const missing = READERS - active.length;
    const waitMs = STAGGER_MS * Math.max(0, place + 1 - missing);
    return view.nowMs - this.#missingSinceMs >= waitMs;
  }

  /** Whether this VM has been among the first of the order for long. */
  #isFirst(
    { ranking: order, nowMs, uptimeMs: lifeMs, hasStore }: ReaderView,
  ): boolean {
    const isFirst = hasStore && order.slice(0, READERS).includes(this.#vm);
    if (!isFirst) this.#firstSinceMs = undefined;
    else this.#firstSinceMs ??= nowMs;
    return isFirst && lifeMs >= SETTLE_MS &&
      nowMs - this.#firstSinceMs! >= SETTLE_MS;
  }

  #forget(nowMs: number): void {
    for (const [vm, { receivedAtMs: heardAtMs }] of this.#known) {
      if (nowMs - heardAtMs >= READER_TIMEOUT_MS) this.#known.delete(vm);
    }
  }
}

/**
 * Candidates in the order in which they read: of equal duty the strongest, and
 * of each availability zone one before any second.
 */
export function rankReaders(
  candidates: readonly ReaderCandidate[],
  rank: (vms: readonly contracts.VmId[]) => readonly contracts.VmId[],
): contracts.VmId[] {
  const places = new Map(
    rank(candidates.map(({ vm }) => vm)).map((vm, place) => [vm, place]),
  );
  const strongest = [...candidates].sort((a, b) =>
    b.processorCores - a.processorCores ||
    places.get(a.vm)! - places.get(b.vm)!
  );
  const inZone = new Map<contracts.ZoneId, number>();
  const rounds = new Map<contracts.VmId, number>();
  for (const { vm, zone } of strongest) {
    const round = inZone.get(zone) ?? 0;
    rounds.set(vm, round);
    inZone.set(zone, round + 1);
  }
  return strongest.map(({ vm }) => vm)
    .sort((a, b) => rounds.get(a)! - rounds.get(b)!);
}
