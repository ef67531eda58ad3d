/**
 * Gossips changes of members by piggybacking them on heartbeats, so that a
 * change reaches all VMs of a large fleet although each VM probes only a few.
 */
import type * as contracts from "@guavatide/contracts";
import type { MemberState } from "./member.ts";

/** A change of a member, as sent to a peer. */
export interface MemberUpdate {
  readonly vm: contracts.VmId;
  readonly incarnation?: contracts.Incarnation;
  readonly state: MemberState;
}

/** Each update is sent to about this many times log2(fleet size) peers. */
const TRANSMIT_FACTOR = 3;
/** Updates kept; the oldest is dropped first. */
const MAX_UPDATES = 256;

/** Keeps updates until each has been sent often enough. */
export class UpdateQueue {
  readonly #perMessage: number;
  readonly #queue = new Map<
    contracts.VmId,
    { update: MemberUpdate; sends: number }
  >();

  constructor(perMessage: number) {
    this.#perMessage = perMessage;
  }

  /** Adds an update; it replaces an earlier one about the same VM. */
  enqueue(update: MemberUpdate): void {
    this.#queue.delete(update.vm);
    this.#queue.set(update.vm, { update, sends: 0 });
    if (this.#queue.size <= MAX_UPDATES) return;
    const oldest = this.#queue.keys().next().value;
    if (oldest !== undefined) this.#queue.delete(oldest);
  }

  /** The next updates to send, the least often sent first. */
  take(fleetVms: number): MemberUpdate[] {
    const limit = TRANSMIT_FACTOR * Math.ceil(Math.log2(fleetVms + 2));
    const chosen = [...this.#queue.values()]
      .sort((a, b) => a.sends - b.sends)
      .slice(0, this.#perMessage);
    for (const item of chosen) {
      item.sends++;
      if (item.sends >= limit) this.#queue.delete(item.update.vm);
    }
    return chosen.map((item) => item.update);
  }
}
