/**
 * Reads one service's assignment from the store as seldom as safety allows:
 * until this process has settled, while the keepers give no evidence, when a
 * server calls this process's knowledge old, and now and then against loss.
 */
import type { ServiceContext } from "./service_context.ts";

const POLL_INTERVAL_MS = 10_000;
const MIN_REQUESTED_READ_INTERVAL_MS = 300;
const RETRY_MIN_MS = 200;
const RETRY_MAX_MS = 2_000;
/** Part of the evidence's life after which the store is asked as well. */
const REFRESH_AGE_RATIO = 0.6;

/** Keeps one service's knowledge and evidence fresh. */
export class AssignmentRefreshTask {
  readonly #context: ServiceContext;
  /** Whether this process acts on evidence: renews or forwards by it. */
  readonly #needsEvidence: () => boolean;
  #isReading = false;
  #isHinted = false;
  #failures = 0;
  #lastReadAtMs = Number.NEGATIVE_INFINITY;
  #notBeforeMs = Number.NEGATIVE_INFINITY;
  #compareAtMs: number;

  constructor(context: ServiceContext, needsEvidence: () => boolean) {
    this.#context = context;
    this.#needsEvidence = needsEvidence;
    this.#compareAtMs = context.clock.nowMs() + this.#compareDelayMs();
  }

  /** There may be a newer revision than the one known. */
  requestRead(): void {
    this.#isHinted = true;
  }

  tick(nowMs: number): void {
    if (this.#isReading || nowMs < this.#notBeforeMs) return;
    if (this.#isDue(nowMs)) void this.#read();
  }

  #isDue(nowMs: number): boolean {
    const { known } = this.#context;
    if (!known.hasReadStore || nowMs >= this.#compareAtMs) return true;
    const isLately =
      nowMs < this.#lastReadAtMs + MIN_REQUESTED_READ_INTERVAL_MS;
    if (this.#isHinted && !isLately) return true;
    return this.#needsEvidence() && this.#isWeak(nowMs);
  }

  #isWeak(nowMs: number): boolean {
    const { known } = this.#context;
    if (known.assignment === undefined) return false;
    const weakMs = known.timings.evidenceMs * REFRESH_AGE_RATIO;
    return nowMs >= known.confirmedAtMs(nowMs) + weakMs;
  }

  async #read(): Promise<void> {
    const { assignments, known, clock } = this.#context;
    this.#isReading = true;
    this.#isHinted = false;
    const { read, sentAtMs } = await assignments.read();
    this.#isReading = false;
    const nowMs = clock.nowMs();
    this.#lastReadAtMs = nowMs;
    if (read.kind === "unavailable") return this.#backOff(nowMs);
    this.#failures = 0;
    this.#compareAtMs = nowMs + this.#compareDelayMs();
    if (read.kind === "found") known.noteStoreRead(read.assignment, sentAtMs);
    else known.noteStoreAbsent();
    // Without an assignment there is nothing to act on: ask again at ease.
    if (read.kind === "absent") this.#compareAtMs = nowMs + 1_000;
  }

  /** Jitter spreads the entry VMs when the store comes back. */
  #backOff(nowMs: number): void {
    const limitMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** this.#failures);
    this.#failures++;
    const { random } = this.#context;
    this.#notBeforeMs = nowMs + limitMs * (0.5 + random.next() / 2);
  }

  #compareDelayMs(): number {
    return POLL_INTERVAL_MS * (0.5 + this.#context.random.next());
  }
}
