/**
 * The lease of a control duty, an object in the store. It only keeps planners
 * from racing: two holders at once are harmless, since every change of an
 * assignment is a conditional update.
 */
import * as contracts from "@guavatide/contracts";
import * as z from "zod";

/** Schema of {@link LeaderRecord}. */
export const leaderRecordSchema = z.strictObject({
  holder: contracts.vmIdSchema,
  incarnation: contracts.incarnationSchema,
  /** Counts the holder's writes, so that each changes the object. */
  renewal: z.number().int().min(0),
});
/** The object that names the holder of a duty. */
export type LeaderRecord = z.infer<typeof leaderRecordSchema>;

/** Times of a duty lease. */
export interface LeaderLeaseSettings {
  readonly leaseMs: number;
  readonly renewMs: number;
  /** How often one who does not hold the duty looks at it. */
  readonly pollMs: number;
  /** Mean time between two tries while the store gives no answer. */
  readonly retryMs: number;
  /** Delay of a take-over for each live VM ranked before this one. */
  readonly takeoverDelayMs: number;
}

/** Defaults: about one store call every 3 s for each VM and duty. */
export const DEFAULT_LEADER_LEASE_SETTINGS: LeaderLeaseSettings = {
  leaseMs: 8_000,
  renewMs: 2_500,
  pollMs: 3_000,
  retryMs: 800,
  takeoverDelayMs: 250,
};

/** What came of a read. */
export type LeaderRecordRead =
  | {
    readonly kind: "found";
    readonly record: LeaderRecord;
    readonly version: string;
  }
  | { readonly kind: "absent" }
  | { readonly kind: "unavailable" };

/** What came of a conditional write. */
export type LeaderRecordWrite =
  | { readonly kind: "acknowledged"; readonly version: string }
  | { readonly kind: "conflict" | "unavailable" };

/** What the task around it is to do. */
export type LeaderLeaseEffect =
  | { readonly kind: "read" }
  | {
    readonly kind: "write";
    readonly record: LeaderRecord;
    readonly condition: contracts.WriteCondition;
  };

/** The world at a tick. */
export interface LeaderLeaseTick {
  readonly nowMs: number;
  /** Place of this VM among the live ones for this duty; 0 is the first. */
  rank(): number;
  /** Membership's word on the holder's run: lost, or replaced by another. */
  isLost(holder: contracts.VmId, incarnation: contracts.Incarnation): boolean;
}

interface ObservedRecord {
  readonly record: LeaderRecord | undefined;
  readonly condition: contracts.WriteCondition;
  /** When this version was first seen here. */
  readonly observedAtMs: number;
}

/** One VM's part in the lease of one duty. */
export class LeaderLease {
  readonly #vm: contracts.VmId;
  readonly #incarnation: contracts.Incarnation;
  readonly #settings: LeaderLeaseSettings;
  #seen: ObservedRecord | undefined;
  #heldUntilMs = Number.NEGATIVE_INFINITY;
  #nextCallAtMs = Number.NEGATIVE_INFINITY;
  #vacantSinceMs: number | undefined;
  #callSentAtMs: number | undefined;
  #written: LeaderRecord | undefined;

  constructor(
    self: { readonly vm: contracts.VmId; incarnation: contracts.Incarnation },
    settings: LeaderLeaseSettings,
  ) {
    this.#vm = self.vm;
    this.#incarnation = self.incarnation;
    this.#settings = settings;
  }

  /** Whether this VM holds the duty, counted from before its last renewal. */
  isLeader(nowMs: number): boolean {
    return nowMs < this.#heldUntilMs;
  }

  /** The holder as last seen. */
  get leader(): contracts.VmId | undefined {
    return this.#seen?.record?.holder;
  }

  /** The next call, if one is due; at most one is under way. */
  tick(tick: LeaderLeaseTick): LeaderLeaseEffect | undefined {
    if (this.#callSentAtMs !== undefined) return undefined;
    const effect = this.#choose(tick);
    if (effect !== undefined) this.#callSentAtMs = tick.nowMs;
    return effect;
  }

  /** The read has ended. */
  noteRead(
    read: LeaderRecordRead,
    nowMs: number,
    random: contracts.RandomSource,
  ): void {
    this.#callSentAtMs = undefined;
    if (read.kind === "unavailable") return this.#retryLater(nowMs, random);
    this.#nextCallAtMs = nowMs + this.#settings.pollMs;
    if (read.kind === "absent") return this.#see(undefined, nowMs);
    this.#see(read, nowMs);
    // Ours as it turns out: renew it now, it has not been for long.
    if (this.#isOwn()) this.#nextCallAtMs = nowMs;
  }

  /** The write has ended. */
  noteWrite(
    write: LeaderRecordWrite,
    nowMs: number,
    random: contracts.RandomSource,
  ): void {
    const sentAtMs = this.#callSentAtMs ?? nowMs;
    this.#callSentAtMs = undefined;
    if (write.kind === "acknowledged") {
      this.#heldUntilMs = sentAtMs + this.#settings.leaseMs;
      this.#nextCallAtMs = nowMs + this.#settings.renewMs;
      this.#see({ record: this.#written!, version: write.version }, nowMs);
      return;
    }
    // Who holds the duty now can only be read; after a lost reply perhaps us.
    this.#seen = undefined;
    if (write.kind === "unavailable") return this.#retryLater(nowMs, random);
    this.#heldUntilMs = Number.NEGATIVE_INFINITY;
    this.#nextCallAtMs = nowMs;
  }

  /** Jitter: all VMs ask a store that comes back, but not at one moment. */
  #retryLater(nowMs: number, random: contracts.RandomSource): void {
    const { retryMs } = this.#settings;
    this.#nextCallAtMs = nowMs + retryMs * (0.5 + random.next());
  }

  /** The write that hands the duty back while this VM leaves, if it holds. */
  resign(nowMs: number): LeaderLeaseEffect | undefined {
    if (!this.isLeader(nowMs) || this.#seen === undefined) return undefined;
    this.#heldUntilMs = Number.NEGATIVE_INFINITY;
    const record = { ...this.#record(), renewal: 0 };
    return { kind: "write", record, condition: this.#seen.condition };
  }

  #choose(tick: LeaderLeaseTick): LeaderLeaseEffect | undefined {
    const isDue = tick.nowMs >= this.#nextCallAtMs;
    if (this.#seen === undefined) return isDue ? { kind: "read" } : undefined;
    if (this.#isOwn()) return isDue ? this.#write() : undefined;
    if (this.#mayTakeOver(tick)) return this.#write();
    return isDue ? { kind: "read" } : undefined;
  }

  #mayTakeOver(tick: LeaderLeaseTick): boolean {
    const { record, observedAtMs: seenAtMs } = this.#seen!;
    const isVacant = record === undefined || record.renewal === 0 ||
      tick.isLost(record.holder, record.incarnation);
    if (isVacant) this.#vacantSinceMs ??= tick.nowMs;
    else this.#vacantSinceMs = undefined;
    const fromMs = this.#vacantSinceMs ?? seenAtMs + this.#settings.leaseMs;
    if (tick.nowMs < fromMs) return false;
    return tick.nowMs >= fromMs + tick.rank() * this.#settings.takeoverDelayMs;
  }

  #isOwn(): boolean {
    const record = this.#seen?.record;
    return record?.holder === this.#vm && record.renewal > 0 &&
      record.incarnation === this.#incarnation;
  }

  #write(): LeaderLeaseEffect {
    this.#written = this.#record();
    const condition = this.#seen!.condition;
    return { kind: "write", record: this.#written, condition };
  }

  #record(): LeaderRecord {
    return {
      holder: this.#vm,
      incarnation: this.#incarnation,
      renewal: (this.#seen?.record?.renewal ?? 0) + 1,
    };
  }

  #see(
    found: { record: LeaderRecord; version: string } | undefined,
    nowMs: number,
  ): void {
    const condition: contracts.WriteCondition = found === undefined
      ? { kind: "absent" }
      : { kind: "version", version: found.version };
    const isSame = this.#seen?.condition.kind === "version" &&
      this.#seen.condition.version === found?.version;
    if (isSame) return;
    this.#vacantSinceMs = undefined;
    this.#seen = { record: found?.record, condition, observedAtMs: nowMs };
  }
}
