/**
 * Slice leases of a backend server that checks fencing tokens, and the rules
 * for which requests it may run. Does no I/O and reads no clock: callers pass
 * the server's monotonic time.
 */
import type {
  LeaseCommand,
  LeaseCommandReply,
  LeasedSlice,
  SliceId,
} from "@guavatide/contracts";

/** Options of {@link OwnershipState}. */
export interface OwnershipStateOptions {
  /** Incarnation id, new at each start of the process. */
  readonly instance: string;
  readonly checksFences: boolean;
}

/** The part of a lease command reply that depends on ownership. */
export type OwnershipReply = Omit<LeaseCommandReply, "draining">;

interface Lease {
  readonly fence: number;
  /** On the server's monotonic clock. */
  leaseEndMs: number;
}

/** Slice leases and the number of requests that run in each slice. */
export class OwnershipState {
  readonly #options: OwnershipStateOptions;
  readonly #leases = new Map<SliceId, Lease>();
  /** Leases that were released while requests were still running. */
  readonly #releasing = new Map<SliceId, Lease>();
  readonly #running = new Map<SliceId, number>();
  #revision = 0;

  constructor(options: OwnershipStateOptions) {
    this.#options = options;
  }

  /** Incarnation id, new at each start of the process. */
  get instance(): string {
    return this.#options.instance;
  }

  /** Applies a lease command and returns the reply. */
  applyLeaseCommand(command: LeaseCommand, nowMs: number): OwnershipReply {
    if (command.revision < this.#revision) return this.#reply(false, nowMs);
    this.#revision = command.revision;
    this.#releaseUnlisted(command.slices);
    const leaseEndMs = this.#leaseEndOf(command, nowMs);
    if (leaseEndMs === undefined) return this.#reply(false, nowMs);
    for (const slice of command.slices) this.#grantOrRenew(slice, leaseEndMs);
    return this.#reply(true, nowMs);
  }

  /** Whether a request for this slice and fencing token may start now. */
  mayStart(slice: SliceId, fence: number, nowMs: number): boolean {
    if (!this.#options.checksFences) return true;
    const lease = this.#leases.get(slice);
    if (lease === undefined) return false;
    return lease.fence === fence && nowMs < lease.leaseEndMs;
  }

  /**
   * Whether a running request may commit its effect now. A request whose slice
   * was released in the meantime may commit until the lease expires: the new
   * owner starts only after this server has reported that no request is in
   * flight, or after that expiry.
   */
  mayCommit(slice: SliceId, fence: number, nowMs: number): boolean {
    if (this.mayStart(slice, fence, nowMs)) return true;
    const lease = this.#releasing.get(slice);
    if (lease === undefined) return false;
    return lease.fence === fence && nowMs < lease.leaseEndMs;
  }

  /** Counts a request that starts running. */
  begin(slice: SliceId): void {
    this.#running.set(slice, (this.#running.get(slice) ?? 0) + 1);
  }

  /** Counts a request that has finished running. */
  end(slice: SliceId): void {
    const remaining = (this.#running.get(slice) ?? 1) - 1;
    if (remaining > 0) {
      this.#running.set(slice, remaining);
      return;
    }
    this.#running.delete(slice);
    this.#releasing.delete(slice);
  }

  /** Slices with a lease that has not expired. */
  heldSlices(nowMs: number): SliceId[] {
    return [...this.#leases.entries()]
      .filter(([, lease]) => nowMs < lease.leaseEndMs)
      .map(([slice]) => slice);
  }

  /**
   * Undefined when the command can't grant a lease: it has no stamp, a stamp
   * of another incarnation or a stamp in the future, or the lease expired
   * before the command arrived.
   */
  #leaseEndOf(command: LeaseCommand, nowMs: number): number | undefined {
    if (command.stampMs === undefined) return undefined;
    if (command.stampInstance !== this.#options.instance) return undefined;
    if (command.stampMs > nowMs) return undefined;
    const leaseEndMs = command.stampMs + command.leaseMs;
    return leaseEndMs > nowMs ? leaseEndMs : undefined;
  }

  /** Releasing a slice is always safe, so it needs no valid stamp. */
  #releaseUnlisted(listed: readonly LeasedSlice[]): void {
    const fences = new Map(
      listed.map((leased) => [leased.slice, leased.fence]),
    );
    for (const [slice, lease] of [...this.#leases]) {
      if (fences.get(slice) === lease.fence) continue;
      this.#leases.delete(slice);
      if (this.#running.has(slice)) this.#releasing.set(slice, lease);
    }
  }

  /** An older stamp never shortens the lease that a newer one granted. */
  #grantOrRenew(listed: LeasedSlice, leaseEndMs: number): void {
    const current = this.#leases.get(listed.slice);
    if (current === undefined) {
      this.#leases.set(listed.slice, { fence: listed.fence, leaseEndMs });
      return;
    }
    current.leaseEndMs = Math.max(current.leaseEndMs, leaseEndMs);
  }

  #reply(isAccepted: boolean, nowMs: number): OwnershipReply {
    const releasing = [...this.#running.entries()]
      .filter(([slice]) => !this.#leases.has(slice))
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
