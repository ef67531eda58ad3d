/**
 * A server's own clock, sent in each response, for deadlines in the server's
 * time. With a timeout instead, the time would start only when a paused server
 * resumes and reads its buffers, and it would run requests for keys that it has
 * lost.
 */
import type * as contracts from "@guavatide/contracts";

/** Older stamps are ignored, as the clocks drift apart. */
const STAMP_TTL_MS = 600_000;

interface Stamp {
  readonly instance: string;
  readonly serverMs: number;
  readonly receivedAtMs: number;
}

/** The run of a server that a stamp names; undefined without one. */
export function runOfStamp(text: string | undefined): string | undefined {
  return text?.split("/")[0] || undefined;
}

/** The latest stamp of one server. */
export class ServerClock {
  readonly #clock: contracts.Clock;
  #stamp: Stamp | undefined;

  constructor(clock: contracts.Clock) {
    this.#clock = clock;
  }

  /**
   * Records the stamp of a response, `<instance>/<milliseconds>`. Ignores a
   * missing or malformed one.
   */
  recordStamp(text: string | undefined): void {
    const [instance, milliseconds] = text?.split("/") ?? [];
    const serverMs = Number(milliseconds);
    if (!instance || !Number.isFinite(serverMs)) return;
    const receivedAtMs = this.#clock.nowMs();
    this.#stamp = { instance, serverMs, receivedAtMs };
  }

  /**
   * A local deadline in milliseconds as a stamp of the server's clock; undefined
   * without a recent stamp. It is early by the network delay of the response
   * that carried the stamp.
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
