/**
 * Servers whose ranges stay where they are for a while: a handover from them was
 * abandoned, and another one would be as well.
 */
import type * as contracts from "@guavatide/contracts";

/** Old owners of abandoned handovers. */
export class AbandonedHandovers {
  /** When the leases that the handover waited for expire, by old owner. */
  readonly #untilMs = new Map<contracts.ServerId, number>();

  /** Notes a handover that could not have ended before `untilMs`. */
  note({ server }: contracts.RangeOwner, untilMs: number): void {
    const knownMs = this.#untilMs.get(server) ?? Number.NEGATIVE_INFINITY;
    this.#untilMs.set(server, Math.max(knownMs, untilMs));
  }

  /** Whether a handover from the server was abandoned and could not end yet. */
  isRecent(server: contracts.ServerId, nowMs: number): boolean {
    const untilMs = this.#untilMs.get(server);
    if (untilMs === undefined) return false;
    if (nowMs < untilMs) return true;
    this.#untilMs.delete(server);
    return false;
  }
}
