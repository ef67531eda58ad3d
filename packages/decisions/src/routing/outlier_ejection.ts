/**
 * Outlier detection: ejects a server that fails to answer requests, and returns
 * it after a probe and then a single trial request. Health reports are delayed
 * or wrong, and a frozen server still accepts connections and bytes, so only
 * its answers to requests count.
 */

/** Consecutive failures after which a server is ejected. */
const CONSECUTIVE_FAILURES = 3;
/** Time without any answer, with requests in flight, that suggests a freeze. */
const UNRESPONSIVE_MS = 400;
/** First ejection after failures; doubled with each further one. */
const MIN_EJECTION_MS = 500;
/** Longest ejection before the next probe. */
const MAX_EJECTION_MS = 8000;

/**
 * State of a server: `ejected` until a probe is due, `probing` while a probe is
 * in flight, `on-trial` while it gets one request at a time.
 */
export type EjectionState = "in-use" | "ejected" | "probing" | "on-trial";

/** Ejection state of one server. */
export class OutlierEjection {
  #state: EjectionState = "in-use";
  #failures = 0;
  #lastAnswerMs = -Infinity;
  #ejections = 0;
  #ejectedUntilMs = -Infinity;
  /** Ejected only because it was unresponsive, not for failed requests. */
  #isOnlyUnresponsive = false;

  get state(): EjectionState {
    return this.#state;
  }

  /** Records that the server answered a request or refused it. */
  recordAnswer(nowMs: number): void {
    this.#state = "in-use";
    this.#failures = 0;
    this.#ejections = 0;
    this.#lastAnswerMs = nowMs;
  }

  /**
   * Records an attempt without an answer. Returns whether the server is
   * ejected.
   */
  recordFailure(nowMs: number): boolean {
    this.#failures++;
    const isEjected = this.#state === "ejected" || this.#state === "probing";
    if (isEjected) return false;
    const mustEject = this.#state === "on-trial" ||
      this.#failures >= CONSECUTIVE_FAILURES;
    if (mustEject) this.#ejectFor(this.#nextEjectionMs(), nowMs);
    return mustEject;
  }

  /**
   * Ejects the server if it may be frozen: requests are in flight, the oldest
   * was sent long ago and nothing was answered since. A probe is due at once,
   * as the requests may just be slow. Returns whether the server is ejected.
   */
  detectFreeze(oldestSentMs: number, nowMs: number): boolean {
    if (this.#state !== "in-use") return false;
    const sinceMs = Math.max(oldestSentMs, this.#lastAnswerMs);
    if (nowMs - sinceMs < UNRESPONSIVE_MS) return false;
    this.#ejectFor(0, nowMs);
    this.#isOnlyUnresponsive = true;
    return true;
  }

  /** Returns whether a probe is due; if so it counts as sent. */
  tryProbe(nowMs: number): boolean {
    const isDue = this.#state === "ejected" && nowMs >= this.#ejectedUntilMs;
    if (isDue) this.#state = "probing";
    return isDue;
  }

  /**
   * Records the result of a probe. An answer shows that the process runs, which
   * suffices for a server that was only unresponsive: its requests are slow. It
   * does not show that requests are served, so after failures a single request
   * is tried first.
   */
  recordProbe(isAnswered: boolean, nowMs: number): void {
    if (this.#state !== "probing") return;
    if (!isAnswered) {
      this.#ejectFor(this.#nextEjectionMs(), nowMs);
      return;
    }
    this.#state = this.#isOnlyUnresponsive ? "in-use" : "on-trial";
    this.#lastAnswerMs = nowMs;
  }

  #nextEjectionMs(): number {
    const ejectionMs = MIN_EJECTION_MS * 2 ** this.#ejections;
    this.#ejections++;
    return Math.min(MAX_EJECTION_MS, ejectionMs);
  }

  #ejectFor(ejectionMs: number, nowMs: number): void {
    this.#state = "ejected";
    this.#isOnlyUnresponsive = false;
    this.#ejectedUntilMs = nowMs + ejectionMs;
  }
}
