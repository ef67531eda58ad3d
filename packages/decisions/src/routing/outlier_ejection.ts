/**
 * Takes a server out of use on evidence from its own answers, and lets it
 * back by a probe and then a single request. Health reports lag or mislead,
 * and a frozen server accepts connections and bytes as a healthy one does;
 * only answers count.
 */

/** Failures in a row after which a server is out. */
const CONSECUTIVE_FAILURES = 3;
/** Time without any answer, with requests waiting, that hints at a freeze. */
const UNRESPONSIVE_MS = 400;
/** First time out after failures; doubled with each further one. */
const MIN_EJECTION_MS = 500;
/** Longest time out between two probes. */
const MAX_EJECTION_MS = 8000;

/**
 * Where a server stands: `ejected` until a probe is due, `probing` while one
 * is on its way, `on-trial` while it gets one request at a time.
 */
export type EjectionState = "in-use" | "ejected" | "probing" | "on-trial";

/** Evidence about one server. */
export class OutlierEjection {
  #state: EjectionState = "in-use";
  #failures = 0;
  #lastAnswerMs = -Infinity;
  #ejections = 0;
  #ejectedUntilMs = -Infinity;
  /** Ejected for its silence alone, not for a failed request. */
  #isMerelySilent = false;

  get state(): EjectionState {
    return this.#state;
  }

  /** The server answered a request or refused it. */
  recordAnswer(nowMs: number): void {
    this.#state = "in-use";
    this.#failures = 0;
    this.#ejections = 0;
    this.#lastAnswerMs = nowMs;
  }

  /** An attempt ended without an answer. Returns whether it ejected. */
  recordFailure(nowMs: number): boolean {
    this.#failures++;
    const isOut = this.#state === "ejected" || this.#state === "probing";
    if (isOut) return false;
    const isEnough = this.#state === "on-trial" ||
      this.#failures >= CONSECUTIVE_FAILURES;
    if (isEnough) this.#ejectFor(this.#nextTimeOutMs(), nowMs);
    return isEnough;
  }

  /**
   * Looks for a freeze: requests are in flight, the oldest was sent long ago
   * and nothing at all came back since. The probe is due at once, since the
   * requests may merely be long. Returns whether it ejected.
   */
  detectFreeze(oldestSentMs: number, nowMs: number): boolean {
    if (this.#state !== "in-use") return false;
    const since = Math.max(oldestSentMs, this.#lastAnswerMs);
    if (nowMs - since < UNRESPONSIVE_MS) return false;
    this.#ejectFor(0, nowMs);
    this.#isMerelySilent = true;
    return true;
  }

  /** Whether one probe may be sent now; it counts as sent. */
  tryProbe(nowMs: number): boolean {
    const isDue = this.#state === "ejected" && nowMs >= this.#ejectedUntilMs;
    if (isDue) this.#state = "probing";
    return isDue;
  }

  /**
   * A probe ended. An answer shows that the process runs, which is all that
   * was in doubt after a silence: its requests are merely long. It does not
   * show that requests are served, so after failures one is tried alone.
   */
  recordProbe(isAnswered: boolean, nowMs: number): void {
    if (this.#state !== "probing") return;
    if (!isAnswered) {
      this.#ejectFor(this.#nextTimeOutMs(), nowMs);
      return;
    }
    this.#state = this.#isMerelySilent ? "in-use" : "on-trial";
    this.#lastAnswerMs = nowMs;
  }

  #nextTimeOutMs(): number {
    const timeOutMs = MIN_EJECTION_MS * 2 ** this.#ejections;
    this.#ejections++;
    return Math.min(MAX_EJECTION_MS, timeOutMs);
  }

  #ejectFor(timeOutMs: number, nowMs: number): void {
    this.#state = "ejected";
    this.#isMerelySilent = false;
    this.#ejectedUntilMs = nowMs + timeOutMs;
  }
}
