/**
 * What a backend server that checks fences knows of its ownership, and what
 * it may run. A decision without input or output: each method takes the
 * server's monotonic time.
 */
import type {
  LeaseCommand,
  LeaseCommandReply,
  LeasedSlice,
  SliceId,
} from "@guavatide/contracts";

/** Options of {@link OwnershipState}. */
export interface OwnershipStateOptions {
  /** Drawn anew at each start of the process. */
  readonly instance: string;
  readonly checksFences: boolean;
}

/** The part of a reply that ownership decides. */
export type OwnershipReply = Omit<LeaseCommandReply, "draining">;

interface Lease {
  readonly fence: number;
  /** On the server's own clock. */
  leaseEndMs: number;
}

/** Slices held, their leases and the requests that run in them. */
export class OwnershipState {
  readonly #options: OwnershipStateOptions;
  readonly #holds = new Map<SliceId, Lease>();
  /** Holds that were let go while requests of theirs were running. */
  readonly #lettingGo = new Map<SliceId, Lease>();
  readonly #running = new Map<SliceId, number>();
  #revision = 0;

  constructor(options: OwnershipStateOptions) {
    this.#options = options;
  }

  /** Drawn anew at each start of the process. */
  get instance(): string {
    return this.#options.instance;
  }

  /** Applies an order and answers it. */
  applyLeaseCommand(order: LeaseCommand, nowMs: number): OwnershipReply {
    if (order.revision < this.#revision) return this.#answer(false, nowMs);
    this.#revision = order.revision;
    this.#letGo(order.slices);
    const leaseEndMs = this.#leaseEndOf(order, nowMs);
    if (leaseEndMs === undefined) return this.#answer(false, nowMs);
    for (const slice of order.slices) this.#hold(slice, leaseEndMs);
    return this.#answer(true, nowMs);
  }

  /** Whether a request may run now for this slice at this fence. */
  mayStart(slice: SliceId, fence: number, nowMs: number): boolean {
    if (!this.#options.checksFences) return true;
    const hold = this.#holds.get(slice);
    if (hold === undefined) return false;
    return hold.fence === fence && nowMs < hold.leaseEndMs;
  }

  /**
   * Whether a request that runs may take its effect now. One whose slice was
   * let go meanwhile may until its lease ends: whoever took the slice waits
   * for the word that nothing is in flight, or for that end.
   */
  mayCommit(slice: SliceId, fence: number, nowMs: number): boolean {
    if (this.mayStart(slice, fence, nowMs)) return true;
    const hold = this.#lettingGo.get(slice);
    if (hold === undefined) return false;
    return hold.fence === fence && nowMs < hold.leaseEndMs;
  }

  /** Counts a request that begins to run. */
  begin(slice: SliceId): void {
    this.#running.set(slice, (this.#running.get(slice) ?? 0) + 1);
  }

  /** Counts a request that has ended. */
  end(slice: SliceId): void {
    const left = (this.#running.get(slice) ?? 1) - 1;
    if (left > 0) {
      this.#running.set(slice, left);
      return;
    }
    this.#running.delete(slice);
    this.#lettingGo.delete(slice);
  }

  /** Slices with a lease that has not ended. */
  heldSlices(nowMs: number): SliceId[] {
    return [...this.#holds.entries()]
      .filter(([, hold]) => nowMs < hold.leaseEndMs)
      .map(([slice]) => slice);
  }

  /**
   * Undefined when the order can't give a lease: no stamp, a stamp of another
   * run, a stamp from the future or one whose lease has ended on its way.
   */
  #leaseEndOf(order: LeaseCommand, nowMs: number): number | undefined {
    if (order.stampMs === undefined) return undefined;
    if (order.stampInstance !== this.#options.instance) return undefined;
    if (order.stampMs > nowMs) return undefined;
    const leaseEndMs = order.stampMs + order.leaseMs;
    return leaseEndMs > nowMs ? leaseEndMs : undefined;
  }

  /** Letting go is always safe, so it needs no stamp. */
  #letGo(listed: readonly LeasedSlice[]): void {
    const fences = new Map(listed.map((held) => [held.slice, held.fence]));
    for (const [slice, hold] of [...this.#holds]) {
      if (fences.get(slice) === hold.fence) continue;
      this.#holds.delete(slice);
      if (this.#running.has(slice)) this.#lettingGo.set(slice, hold);
    }
  }

  /** An older stamp never shortens the lease that a newer one gave. */
  #hold(listed: LeasedSlice, leaseEndMs: number): void {
    const present = this.#holds.get(listed.slice);
    if (present === undefined) {
      this.#holds.set(listed.slice, { fence: listed.fence, leaseEndMs });
      return;
    }
    present.leaseEndMs = Math.max(present.leaseEndMs, leaseEndMs);
  }

  #answer(isAccepted: boolean, nowMs: number): OwnershipReply {
    const releasing = [...this.#running.entries()]
      .filter(([slice]) => !this.#holds.has(slice))
      .map(([slice, inFlight]) => ({ slice, inFlight }));
    return {
      instance: this.#options.instance,
      stampMs: nowMs,
      revision: this.#revision,
      accepted: isAccepted,
      releasing,
      checksFences: this.#options.checksFences,
    };
  }
}
