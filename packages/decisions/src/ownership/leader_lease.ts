/**
 * Lease of the leadership for one control task, held as an object in the store.
 * It only avoids conflicting updates: two leaders at once are harmless, because
 * every change of an assignment is a conditional update.
 */
import * as contracts from "@guavatide/contracts";
import * as z from "zod";

/** Schema of {@link LeaderRecord}. */
export const leaderRecordSchema = z.strictObject({
  holder: contracts.vmIdSchema,
  incarnation: contracts.incarnationSchema,
  /**
   * Number of the leader's write, so that each write changes the object; 0
   * after it has resigned.
   */
  renewal: z.number().int().min(0),
});
/** The stored object that names the leader. */
export type LeaderRecord = z.infer<typeof leaderRecordSchema>;

/** Timing of a leader lease, in milliseconds. */
export interface LeaderLeaseSettings {
  readonly leaseMs: number;
  readonly renewMs: number;
  /** Interval at which the other VMs read the record. */
  readonly pollMs: number;
  /** Mean delay of a retry while the store does not answer. */
  readonly retryMs: number;
  /** Delay of a takeover for each live VM that ranks before this one. */
  readonly takeoverDelayMs: number;
}

/** Defaults: about one store call every 3 s for each VM and leader lease. */
export const DEFAULT_LEADER_LEASE_SETTINGS: LeaderLeaseSettings = {
  leaseMs: 8_000,
  renewMs: 2_500,
  pollMs: 3_000,
  retryMs: 800,
  takeoverDelayMs: 250,
};

/** Result of a read of the leader record. */
export type LeaderRecordRead =
  | {
    readonly kind: "found";
    readonly record: LeaderRecord;
    readonly version: string;
  }
  | { readonly kind: "absent" }
  | { readonly kind: "unavailable" };

/** Result of a conditional write of the leader record. */
export type LeaderRecordWrite =
  | { readonly kind: "acknowledged"; readonly version: string }
  | { readonly kind: "conflict" | "unavailable" };

/** A store call that the caller is to make. */
export type LeaderLeaseEffect =
  | { readonly kind: "read" }
  | {
    readonly kind: "write";
    readonly record: LeaderRecord;
    readonly condition: contracts.WriteCondition;
  };

/** Input of one tick. */
export interface LeaderLeaseTick {
  readonly nowMs: number;
  /** Rank of this VM among the live ones for this lease; 0 is the first. */
  rank(): number;
  /** Whether membership reports that incarnation as lost or replaced. */
  isLost(holder: contracts.VmId, incarnation: contracts.Incarnation): boolean;
}

interface ObservedRecord {
  readonly record: LeaderRecord | undefined;
  readonly condition: contracts.WriteCondition;
  /** Time at which this VM first read this version. */
  readonly observedAtMs: number;
}

/** One VM's side of a leader lease. */
export class LeaderLease {
  readonly #vm: contracts.VmId;
  readonly #incarnation: contracts.Incarnation;
  readonly #settings: LeaderLeaseSettings;
  #latest: ObservedRecord | undefined;
  #leaseEndsAtMs = Number.NEGATIVE_INFINITY;
  #nextRequestAtMs = Number.NEGATIVE_INFINITY;
  #vacantSinceMs: number | undefined;
  #requestSentAtMs: number | undefined;
  #pendingRecord: LeaderRecord | undefined;

  constructor(
    self: { readonly vm: contracts.VmId; incarnation: contracts.Incarnation },
    settings: LeaderLeaseSettings,
  ) {
    this.#vm = self.vm;
    this.#incarnation = self.incarnation;
    this.#settings = settings;
  }

  /**
   * Whether this VM is the leader; the lease runs from when its last
   * acknowledged renewal was sent.
   */
  isLeader(nowMs: number): boolean {
    return nowMs < this.#leaseEndsAtMs;
  }

  /** The leader as last read. */
  get leader(): contracts.VmId | undefined {
    return this.#latest?.record?.holder;
  }

  /** The next store call if one is due; at most one is pending. */
  tick(tick: LeaderLeaseTick): LeaderLeaseEffect | undefined {
    if (this.#requestSentAtMs !== undefined) return undefined;
    const effect = this.#nextEffect(tick);
    if (effect !== undefined) this.#requestSentAtMs = tick.nowMs;
    return effect;
  }

  /** The read that `tick` requested has ended. */
  noteRead(
    read: LeaderRecordRead,
    nowMs: number,
    random: contracts.RandomSource,
  ): void {
    this.#requestSentAtMs = undefined;
    if (read.kind === "unavailable") return this.#retryLater(nowMs, random);
    this.#nextRequestAtMs = nowMs + this.#settings.pollMs;
    if (read.kind === "absent") return this.#setLatest(undefined, nowMs);
    this.#setLatest(read, nowMs);
    // This VM's own record, perhaps near its expiry: renew it at once.
    if (this.#isOwn()) this.#nextRequestAtMs = nowMs;
  }

  /**
   * The write that `tick` requested has ended. The result of the write that
   * `resign` returned is not noted.
   */
  noteWrite(
    write: LeaderRecordWrite,
    nowMs: number,
    random: contracts.RandomSource,
  ): void {
    const requestSentAtMs = this.#requestSentAtMs ?? nowMs;
    this.#requestSentAtMs = undefined;
    if (write.kind === "acknowledged") {
      this.#leaseEndsAtMs = requestSentAtMs + this.#settings.leaseMs;
      this.#nextRequestAtMs = nowMs + this.#settings.renewMs;
      this.#setLatest(
        { record: this.#pendingRecord!, version: write.version },
        nowMs,
      );
      return;
    }
    // Only a read shows who is the leader now; after a lost reply it may be
    // this VM.
    this.#latest = undefined;
    if (write.kind === "unavailable") return this.#retryLater(nowMs, random);
    this.#leaseEndsAtMs = Number.NEGATIVE_INFINITY;
    this.#nextRequestAtMs = nowMs;
  }

  /** Jitter spreads the VMs' retries when the store is available again. */
  #retryLater(nowMs: number, random: contracts.RandomSource): void {
    const { retryMs } = this.#settings;
    this.#nextRequestAtMs = nowMs + retryMs * (0.5 + random.next());
  }

  /**
   * The write that gives up leadership when this VM leaves; undefined when it
   * is not the leader.
   */
  resign(nowMs: number): LeaderLeaseEffect | undefined {
    if (!this.isLeader(nowMs) || this.#latest === undefined) return undefined;
    this.#leaseEndsAtMs = Number.NEGATIVE_INFINITY;
    const record = { ...this.#nextRecord(), renewal: 0 };
    return { kind: "write", record, condition: this.#latest.condition };
  }

  #nextEffect(tick: LeaderLeaseTick): LeaderLeaseEffect | undefined {
    const isDue = tick.nowMs >= this.#nextRequestAtMs;
    if (this.#latest === undefined) return isDue ? { kind: "read" } : undefined;
    if (this.#isOwn()) return isDue ? this.#write() : undefined;
    if (this.#mayTakeLease(tick)) return this.#write();
    return isDue ? { kind: "read" } : undefined;
  }

  #mayTakeLease(tick: LeaderLeaseTick): boolean {
    const { record, observedAtMs } = this.#latest!;
    const isVacant = record === undefined || record.renewal === 0 ||
      tick.isLost(record.holder, record.incarnation);
    if (isVacant) this.#vacantSinceMs ??= tick.nowMs;
    else this.#vacantSinceMs = undefined;
    const takeableFromMs = this.#vacantSinceMs ??
      observedAtMs + this.#settings.leaseMs;
    if (tick.nowMs < takeableFromMs) return false;
    return tick.nowMs >=
      takeableFromMs + tick.rank() * this.#settings.takeoverDelayMs;
  }

  #isOwn(): boolean {
    const record = this.#latest?.record;
    return record?.holder === this.#vm && record.renewal > 0 &&
      record.incarnation === this.#incarnation;
  }

  #write(): LeaderLeaseEffect {
    this.#pendingRecord = this.#nextRecord();
    const condition = this.#latest!.condition;
    return { kind: "write", record: this.#pendingRecord, condition };
  }

  #nextRecord(): LeaderRecord {
    return {
      holder: this.#vm,
      incarnation: this.#incarnation,
      renewal: (this.#latest?.record?.renewal ?? 0) + 1,
    };
  }

  #setLatest(
    found: { record: LeaderRecord; version: string } | undefined,
    nowMs: number,
  ): void {
    const condition: contracts.WriteCondition = found === undefined
      ? { kind: "absent" }
      : { kind: "version", version: found.version };
    const isSame = this.#latest?.condition.kind === "version" &&
      this.#latest.condition.version === found?.version;
    if (isSame) return;
    this.#vacantSinceMs = undefined;
    this.#latest = { record: found?.record, condition, observedAtMs: nowMs };
  }
}
