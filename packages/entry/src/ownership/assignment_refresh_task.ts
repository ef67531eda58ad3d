/**
 * Reads one service's assignment from the store only when needed: until the
 * first successful read, while the voters don't confirm the known assignment,
 * when a server refuses a request at a revision that isn't older than the
 * known one, and periodically in case an update was lost.
 */
import type { ServiceContext } from "./service_context.ts";

const POLL_INTERVAL_MS = 10_000;
const MIN_REQUESTED_READ_INTERVAL_MS = 300;
const RETRY_MIN_MS = 200;
const RETRY_MAX_MS = 2_000;
/** Share of a confirmation's validity after which the store is read too. */
const REFRESH_AGE_RATIO = 0.6;

/** Keeps one service's assignment and its confirmation current. */
export class AssignmentRefreshTask {
  readonly #context: ServiceContext;
  /** Whether this process renews leases or forwards requests by it. */
  readonly #needsConfirmation: () => boolean;
  #isReading = false;
  #isReadRequested = false;
  #failures = 0;
  #lastReadAtMs = Number.NEGATIVE_INFINITY;
  #retryAtMs = Number.NEGATIVE_INFINITY;
  #nextPollMs: number;

  constructor(context: ServiceContext, needsConfirmation: () => boolean) {
    this.#context = context;
    this.#needsConfirmation = needsConfirmation;
    this.#nextPollMs = context.clock.nowMs() + this.#pollDelayMs();
  }

  /** Reads soon, because a newer revision than the known one may exist. */
  requestRead(): void {
    this.#isReadRequested = true;
  }

  tick(nowMs: number): void {
    if (this.#isReading || nowMs < this.#retryAtMs) return;
    if (this.#isReadDue(nowMs)) void this.#read();
  }

  #isReadDue(nowMs: number): boolean {
    const { known } = this.#context;
    if (!known.hasReadStore || nowMs >= this.#nextPollMs) return true;
    const wasJustRead =
      nowMs < this.#lastReadAtMs + MIN_REQUESTED_READ_INTERVAL_MS;
    if (this.#isReadRequested && !wasJustRead) return true;
    return this.#needsConfirmation() && this.#isConfirmationAging(nowMs);
  }

  #isConfirmationAging(nowMs: number): boolean {
    const { known } = this.#context;
    if (known.assignment === undefined) return false;
    const refreshAgeMs = known.timings.evidenceMs * REFRESH_AGE_RATIO;
    return nowMs >= known.confirmedAtMs(nowMs) + refreshAgeMs;
  }

  async #read(): Promise<void> {
    const { assignments, known, clock } = this.#context;
    this.#isReading = true;
    this.#isReadRequested = false;
    const { read, sentAtMs } = await assignments.read();
    this.#isReading = false;
    const nowMs = clock.nowMs();
    this.#lastReadAtMs = nowMs;
    if (read.kind === "unavailable") return this.#backOff(nowMs);
    this.#failures = 0;
    this.#nextPollMs = nowMs + this.#pollDelayMs();
    if (read.kind === "found") known.noteStoreRead(read.assignment, sentAtMs);
    else known.noteStoreAbsent();
    // Without an assignment there is nothing to act on yet: poll once a second.
    if (read.kind === "absent") this.#nextPollMs = nowMs + 1_000;
  }

  /** Jitter spreads the reads of the entry VMs when the store recovers. */
  #backOff(nowMs: number): void {
    const maxDelayMs = Math.min(
      RETRY_MAX_MS,
      RETRY_MIN_MS * 2 ** this.#failures,
    );
    this.#failures++;
    const { random } = this.#context;
    this.#retryAtMs = nowMs + maxDelayMs * (0.5 + random.next() / 2);
  }

  #pollDelayMs(): number {
    return POLL_INTERVAL_MS * (0.5 + this.#context.random.next());
  }
}
