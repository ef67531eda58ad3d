/**
 * A server's own clock, told with each answer, for deadlines in its time. "Time
 * left" would start anew when a frozen server wakes and reads its buffers, and
 * it would run requests for keys that it has lost.
 */
import type * as contracts from "@guavatide/contracts";

/** A stamp older than this is of no use: the clocks' rates differ. */
const STAMP_TTL_MS = 600_000;

interface Stamp {
  readonly instance: string;
  readonly serverMs: number;
  readonly receivedAtMs: number;
}

/** The latest stamp of one server. */
export class ServerClock {
  readonly #clock: contracts.Clock;
  #stamp: Stamp | undefined;

  constructor(clock: contracts.Clock) {
    this.#clock = clock;
  }

  /** Takes the stamp of an answer, `<instance>/<milliseconds>`. */
  recordStamp(text: string | undefined): void {
    const [instance, milliseconds] = text?.split("/") ?? [];
    const serverMs = Number(milliseconds);
    if (!instance || !Number.isFinite(serverMs)) return;
    const receivedAtMs = this.#clock.nowMs();
    this.#stamp = { instance, serverMs, receivedAtMs };
  }

  /**
   * A deadline on the server's clock in the same form; undefined without a
   * stamp. It is early by the time that the stamp's answer was on its way.
   */
  formatDeadline(deadlineMs: number): string | undefined {
    const stamp = this.#stamp;
    if (stamp === undefined) return undefined;
    const ageMs = this.#clock.nowMs() - stamp.receivedAtMs;
    if (ageMs > STAMP_TTL_MS) return undefined;
    const atServerMs = stamp.serverMs + (deadlineMs - stamp.receivedAtMs);
    return `${stamp.instance}/${atServerMs.toFixed(1)}`;
  }
}
