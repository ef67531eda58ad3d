/**
 * Repeats reads of the platform's store that are overdue, and reads back writes
 * that are. A connection on which an answer is lost stays open and returns
 * nothing further, so a second call on another connection is quicker than the
 * first one's timeout. A read is overdue only while nothing of it arrives.
 */
import * as contracts from "@guavatide/contracts";
import * as util from "node:util";
import * as neverthrow from "neverthrow";
import {
  READ_AFTER_PAUSE_MS,
  startPauseAwareTimer,
} from "../utils/pause_aware_timer.ts";

/** Options of {@link HedgedStore}. */
export interface HedgedStoreOptions {
  readonly store: contracts.PlatformStore;
  readonly clock: contracts.Clock;
  /**
   * Whether overdue reads are repeated now. Every call is priced, and one more
   * doesn't help while the store answers nobody.
   */
  readonly mayRepeat: () => boolean;
  /**
   * Called when a repeated read was answered and the first one is not: its answer
   * is probably lost. A slow store answers both.
   */
  readonly onLostAnswer: () => void;
}

type Attempt<Value> = (
  options: contracts.CallOptions,
  attempt: number,
) => neverthrow.ResultAsync<Value, contracts.StoreError>;

/** Calls of one read, the first included. */
const MAX_ATTEMPTS = 3;
/** A write, and a read of what it wrote. */
const MAX_WRITE_ATTEMPTS = 2;
/** An answer is overdue after this many times the usual time. */
const OVERDUE_FACTOR = 1.5;
/** The store answers in some milliseconds, at its slowest in some tenths of a second. */
const OVERDUE_MIN_MS = 250;
const OVERDUE_MAX_MS = 600;
/** A call unanswered this long after a later one was answered counts as lost. */
const LOST_AFTER_MS = 400;
/** Weight of the latest answer in the usual time. */
const LATENCY_WEIGHT = 0.3;
/** Wait of a watch that is repeated; a change that was lost is returned at once. */
const REPEATED_WAIT_MS = 50;

/** A store whose overdue reads are repeated and overdue writes read back. */
export class HedgedStore implements contracts.PlatformStore {
  readonly #options: HedgedStoreOptions;
  #usualMs = 0;

  constructor(options: HedgedStoreOptions) {
    this.#options = options;
  }

  get(
    name: string,
    options: Parameters<contracts.PlatformStore["get"]>[1],
  ) {
    return this.#hedge(
      (call) => this.#options.store.get(name, { ...options, ...call }),
      options,
    );
  }

  list(
    prefix: string,
    options: Parameters<contracts.PlatformStore["list"]>[1],
  ) {
    return this.#hedge(
      (call) => this.#options.store.list(prefix, { ...options, ...call }),
      options,
    );
  }

  watch(
    prefix: string,
    options: Parameters<contracts.PlatformStore["watch"]>[1],
  ) {
    const { cursor, waitMs } = options;
    return this.#hedge(
      (call, attempt) =>
        this.#options.store.watch(prefix, {
          ...call,
          cursor,
          waitMs: attempt === 0 ? waitMs : REPEATED_WAIT_MS,
        }),
      options,
      // A held answer doesn't tell how quick the store is.
      { waitMs, isTimed: waitMs === 0 },
    );
  }

  put(
    name: string,
    value: string,
    options: Parameters<contracts.PlatformStore["put"]>[2],
  ) {
    return this.#hedge(
      (call, attempt) =>
        attempt === 0
          ? this.#options.store.put(name, value, { ...options, ...call })
          : this.#readBack(name, value, call),
      options,
      { maxAttempts: MAX_WRITE_ATTEMPTS, isTimed: false },
    );
  }

  delete(
    name: string,
    options: Parameters<contracts.PlatformStore["delete"]>[1],
  ) {
    return new neverthrow.ResultAsync(
      toResult(() => this.#options.store.delete(name, options)),
    );
  }

  /**
   * Resolves to an object's version if it holds a value. Otherwise the write of
   * that value may still be on its way, and only its own answer tells.
   */
  #readBack(
    name: string,
    value: string,
    call: contracts.CallOptions,
  ): neverthrow.ResultAsync<string, contracts.StoreError> {
    return this.get(name, call)
      .mapErr(({ message }) => ({ kind: "unavailable" as const, message }))
      .andThen((object) =>
        hasValue(object, value)
          ? neverthrow.ok(object.version)
          : neverthrow.err({
            kind: "unavailable" as const,
            message: "The value is not written yet",
          })
      );
  }

  #hedge<Value>(
    attempt: Attempt<Value>,
    { timeoutMs, signal }: contracts.CallOptions,
    { waitMs = 0, maxAttempts = MAX_ATTEMPTS, isTimed = true }: HedgeOptions =
      {},
  ): neverthrow.ResultAsync<Value, contracts.StoreError> {
    const hedged = new HedgedCall(attempt, {
      ...this.#options,
      timeoutMs,
      signal,
      waitMs,
      maxAttempts,
      overdueMs: this.#overdueMs,
      onLatency: (latencyMs) => isTimed && this.#noteLatency(latencyMs),
    });
    return new neverthrow.ResultAsync(hedged.run());
  }

  get #overdueMs(): number {
    return Math.min(
      OVERDUE_MAX_MS,
      Math.max(OVERDUE_MIN_MS, OVERDUE_FACTOR * this.#usualMs),
    );
  }

  #noteLatency(latencyMs: number): void {
    this.#usualMs += LATENCY_WEIGHT * (latencyMs - this.#usualMs);
  }
}

/** Whether an object holds a value that was to be written. */
function hasValue(object: contracts.StoredObject, value: string): boolean {
  return object.value === value ||
    util.isDeepStrictEqual(
      contracts.parseJson(object.value).unwrapOr(undefined),
      contracts.parseJson(value).unwrapOr(undefined),
    );
}

/**
 * The result of a call, also where the client throws, for example on an answer
 * that it can't read: the caller would wait for ever, and nobody else handles
 * the error.
 */
async function toResult<Value>(
  call: () => neverthrow.ResultAsync<Value, contracts.StoreError>,
): Promise<neverthrow.Result<Value, contracts.StoreError>> {
  try {
    return await call();
  } catch (error) {
    const message = `The call to the store failed: ${String(error)}`;
    return neverthrow.err({ kind: "unavailable", message });
  }
}

/** How one kind of call is repeated. */
interface HedgeOptions {
  /** How long the store may hold the answer back; 0 by default. */
  readonly waitMs?: number;
  readonly maxAttempts?: number;
  /** Whether its answers tell how quick the store is; true by default. */
  readonly isTimed?: boolean;
}

interface HedgedCallOptions
  extends Pick<HedgedStoreOptions, "clock" | "mayRepeat" | "onLostAnswer"> {
  readonly timeoutMs: number;
  readonly signal: AbortSignal | undefined;
  readonly waitMs: number;
  readonly maxAttempts: number;
  readonly overdueMs: number;
  readonly onLatency: (latencyMs: number) => void;
}

/** A call and those that repeat it; its result is that of the first answered. */
class HedgedCall<Value> {
  readonly #attempt: Attempt<Value>;
  readonly #options: HedgedCallOptions;
  readonly #startMs: number;
  readonly #cancellation = new AbortController();
  readonly #pending = new Set<number>();
  #sent = 0;
  /** When a part of an answer arrived last. */
  #progressAtMs = Number.NEGATIVE_INFINITY;
  #isAnswered = false;
  #timer: NodeJS.Timeout | undefined;
  #resolve: (result: neverthrow.Result<Value, contracts.StoreError>) => void =
    () => {};

  constructor(attempt: Attempt<Value>, options: HedgedCallOptions) {
    this.#attempt = attempt;
    this.#options = options;
    this.#startMs = options.clock.nowMs();
  }

  async run(): Promise<neverthrow.Result<Value, contracts.StoreError>> {
    const { signal } = this.#options;
    const cancel = () => this.#cancellation.abort();
    signal?.addEventListener("abort", cancel);
    if (signal?.aborted) cancel();
    const result = await new Promise<
      neverthrow.Result<Value, contracts.StoreError>
    >((resolve) => {
      this.#resolve = resolve;
      this.#send();
    });
    signal?.removeEventListener("abort", cancel);
    clearTimeout(this.#timer);
    this.#watchUnanswered();
    return result;
  }

  get #elapsedMs(): number {
    return this.#options.clock.nowMs() - this.#startMs;
  }

  #send(): void {
    const { timeoutMs, waitMs, overdueMs } = this.#options;
    const index = this.#sent++;
    this.#pending.add(index);
    const sentAtMs = this.#elapsedMs;
    const heldMs = index === 0 ? waitMs : Math.min(waitMs, REPEATED_WAIT_MS);
    this.#armTimer(heldMs + overdueMs);
    const options = {
      timeoutMs: timeoutMs - sentAtMs,
      signal: this.#cancellation.signal,
      onProgress: () => this.#progressAtMs = this.#elapsedMs,
    };
    void toResult(() => this.#attempt(options, index))
      .then((result) => this.#noteResult(index, sentAtMs, result));
  }

  #noteResult(
    index: number,
    sentAtMs: number,
    result: neverthrow.Result<Value, contracts.StoreError>,
  ): void {
    this.#pending.delete(index);
    const isAnswer = result.isOk() || result.error.kind !== "unavailable";
    if (!isAnswer && this.#pending.size > 0) return;
    if (isAnswer) this.#options.onLatency(this.#elapsedMs - sentAtMs);
    this.#isAnswered ||= isAnswer;
    this.#resolve(result);
  }

  #armTimer(delayMs: number): void {
    const { timeoutMs, maxAttempts, mayRepeat, overdueMs } = this.#options;
    this.#timer = startPauseAwareTimer(delayMs, (wasPaused) => {
      // The answer may have arrived meanwhile.
      if (wasPaused) return this.#armTimer(READ_AFTER_PAUSE_MS);
      const sinceProgressMs = this.#elapsedMs - this.#progressAtMs;
      // A second answer would share the link with the one that is arriving.
      if (sinceProgressMs < overdueMs) {
        return this.#armTimer(overdueMs - sinceProgressMs);
      }
      const isSpent = this.#elapsedMs >= timeoutMs;
      if (this.#sent < maxAttempts && !isSpent && mayRepeat()) this.#send();
    });
  }

  /** Cancels the calls that are not answered soon after the first answer. */
  #watchUnanswered(): void {
    if (!this.#isAnswered || this.#pending.size === 0) {
      return this.#cancellation.abort();
    }
    setTimeout(() => {
      const isLost = this.#pending.has(0);
      this.#cancellation.abort();
      if (isLost) this.#options.onLostAnswer();
    }, LOST_AFTER_MS).unref();
  }
}
