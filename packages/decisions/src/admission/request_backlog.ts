/**
 * Requests that an entry VM has read and not begun, as it is short of
 * processor: which of them begins next, and which are refused.
 */

/** A request that was read. */
export interface BackloggedRequest {
  /** Whether it is the first one of its connection. */
  readonly isFirst: boolean;
  readonly readMs: number;
}

/** What is due for a request. */
export interface BacklogStep<Request> {
  readonly kind: "begin" | "refuse";
  readonly request: Request;
}

/** Requests that are expected to wait for longer are refused. */
const MAX_WAIT_MS = 200;
/** So many requests of a kind wait whatever the expected time. */
const MIN_LENGTH = 4;
/** Weight of a new sample in the moving average of the time for a request. */
const SAMPLE_WEIGHT = 0.1;
/** After this time without a backlog, the last average says nothing. */
const AVERAGE_TTL_MS = 1_000;
/**
 * One step in so many goes to connections that were answered before. Callers of
 * new connections leave soonest, as they can't tell a busy VM from a dead one.
 */
const KEPT_STEP_INTERVAL = 3;

/** Requests of one VM that wait for its processor. */
export class RequestBacklog<Request extends BackloggedRequest> {
  /** First requests of connections. */
  readonly #first: Request[] = [];
  /** Further requests of connections. */
  readonly #further: Request[] = [];
  /** Those that would wait for too long. */
  readonly #excess: Request[] = [];
  /** Mean time from one begun request to the next while some wait. */
  #intervalMs = 0;
  #begunAtMs: number | undefined;
  #emptySinceMs = Number.NEGATIVE_INFINITY;
  #steps = 0;
  #hasRefused = false;

  /** Number of requests that wait. */
  get length(): number {
    return this.#first.length + this.#further.length + this.#excess.length;
  }

  /** Time for which the oldest request has waited; 0 without one. */
  waitMs(nowMs: number): number {
    const readMs = [this.#first, this.#further, this.#excess]
      .flatMap(([oldest]) => oldest?.readMs ?? []);
    return readMs.length === 0 ? 0 : nowMs - Math.min(...readMs);
  }

  add(request: Request, nowMs: number): void {
    const isOutdated = this.length === 0 &&
      nowMs - this.#emptySinceMs > AVERAGE_TTL_MS;
    if (isOutdated) this.#intervalMs = 0;
    const queue = request.isFirst ? this.#first : this.#further;
    const expectedMs = this.#intervalMs *
      (this.#first.length + this.#further.length);
    const isExcess = queue.length >= MIN_LENGTH && expectedMs > MAX_WAIT_MS;
    (isExcess ? this.#excess : queue).push(request);
  }

  /** Takes the next request; undefined without one. */
  next(nowMs: number): BacklogStep<Request> | undefined {
    const step = this.#take(nowMs);
    if (this.length === 0) {
      this.#emptySinceMs = nowMs;
      this.#begunAtMs = undefined;
    }
    return step;
  }

  #take(nowMs: number): BacklogStep<Request> | undefined {
    this.#steps++;
    const hasOthers = this.#further.length + this.#excess.length > 0;
    const isTurnOfFirst = !hasOthers || this.#steps % KEPT_STEP_INTERVAL !== 0;
    if (isTurnOfFirst && this.#first.length > 0) {
      return this.#begin(this.#first.shift()!, nowMs);
    }
    const mustRefuse = this.#excess.length > 0 &&
      (!this.#hasRefused || this.#further.length === 0);
    this.#hasRefused = mustRefuse;
    if (mustRefuse) return { kind: "refuse", request: this.#excess.shift()! };
    const request = this.#further.shift();
    return request && this.#begin(request, nowMs);
  }

  #begin(request: Request, nowMs: number): BacklogStep<Request> {
    if (this.#begunAtMs !== undefined) {
      const sampleMs = nowMs - this.#begunAtMs;
      this.#intervalMs += SAMPLE_WEIGHT * (sampleMs - this.#intervalMs);
    }
    this.#begunAtMs = nowMs;
    return { kind: "begin", request };
  }
}
