/**
 * Limits the bytes that an entry VM holds: request bodies from their admission
 * to their answer, and answers until they are written. A body's whole length
 * counts from its admission, so every admitted body can be read to its end.
 */
import type * as contracts from "@guavatide/contracts";

/** Options of {@link HeldBytes}. */
export interface HeldBytesOptions {
  /** Infinite for no limit. */
  readonly limitBytes: number;
  /** Bytes per second of the VM's link; undefined when it is not known. */
  readonly bytesPerSecond?: number | undefined;
  readonly random: contracts.RandomSource;
}

/** A request body that is counted; waits until there is room for it. */
export interface HeldBody {
  /** Whether the body may be read. */
  readonly isAdmitted: boolean;
  /** Corrects the length once it is known. */
  resize(bytes: number): void;
  /** Stops counting the body, or its wait for room. */
  release(): void;
}

interface Body {
  bytes: number;
  isAdmitted: boolean;
  isReleased: boolean;
  readonly onAdmitted: () => void;
}

/** Fraction of the limit above which no further body is read. */
const NEAR_LIMIT_RATIO = 0.75;
/** Retry time where the speed of the link is not known. */
const DEFAULT_RETRY_AFTER_MS = 1_000;
const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 5_000;

/** Memory of a process without requests, in MB. */
const RESTING_MB = 70;
/**
 * Fraction of the remaining memory for held bytes: the parts of a body and
 * their concatenation exist at the same time.
 */
const HELD_MEMORY_RATIO = 0.5;
/** Answers up to this length are read however many bytes are held. */
const SMALL_ANSWER_BYTES = 65_536;
/** The largest answer that a server may give has room. */
const MIN_LIMIT_BYTES = 8 * 1024 * 1024;

/** Bytes that a VM with this memory may hold; infinite without a setting. */
export function heldBytesLimit(memoryMb: number | undefined): number {
  if (memoryMb === undefined) return Number.POSITIVE_INFINITY;
  const bytes = (memoryMb - RESTING_MB) * HELD_MEMORY_RATIO * 1024 * 1024;
  return Math.max(MIN_LIMIT_BYTES, bytes);
}

/** Bytes held by all connections of a VM. */
export class HeldBytes {
  readonly #options: HeldBytesOptions;
  #heldBytes = 0;
  #waitingBytes = 0;
  /** Bodies that wait to be read, in their order of arrival. */
  readonly #waiting = new Set<Body>();

  constructor(options: HeldBytesOptions) {
    this.#options = options;
  }

  /** Whether there is a limit. */
  get isLimited(): boolean {
    return this.#options.limitBytes !== Number.POSITIVE_INFINITY;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Whether bodies have to wait before they are read. */
  get isNearLimit(): boolean {
    return this.#waiting.size > 0 || this.#heldBytes > this.#nearBytes;
  }

  /**
   * Admits a body, or lets it wait for room; undefined when it must be refused.
   * One body is always admitted, however large it is.
   */
  admitBody(bytes: number, onAdmitted: () => void): HeldBody | undefined {
    const body: Body = {
      bytes,
      isAdmitted: this.#waiting.size === 0 && this.#hasRoom(bytes),
      isReleased: false,
      onAdmitted,
    };
    if (body.isAdmitted) {
      this.#heldBytes += bytes;
    } else {
      const allBytes = this.#heldBytes + this.#waitingBytes + bytes;
      if (allBytes > this.#options.limitBytes) return undefined;
      this.#waiting.add(body);
      this.#waitingBytes += bytes;
    }
    return {
      get isAdmitted() {
        return body.isAdmitted;
      },
      resize: (size) => this.#resize(body, size),
      release: () => this.#release(body),
    };
  }

  /** Counts bytes of answers; a negative number for those that were written. */
  addAnswerBytes(bytes: number): void {
    this.#heldBytes += bytes;
    if (bytes < 0) this.#admitWaiting();
  }

  /**
   * Whether an answer that has this length by now may be read on; beyond the
   * limit only small ones are.
   */
  mayReadAnswer(bytes: number): boolean {
    return bytes <= SMALL_ANSWER_BYTES ||
      this.#heldBytes <= this.#options.limitBytes;
  }

  /**
   * When a refused body may be sent again: as soon as the link can have carried
   * the bytes that are in its way.
   */
  retryAfterMs(bytes: number): number {
    const { bytesPerSecond, random } = this.#options;
    const excessBytes = this.#heldBytes + this.#waitingBytes + bytes -
      this.#nearBytes;
    const meanMs = bytesPerSecond === undefined
      ? DEFAULT_RETRY_AFTER_MS
      : 1_000 * excessBytes / bytesPerSecond;
    const boundedMs = Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(MIN_RETRY_AFTER_MS, meanMs),
    );
    return boundedMs * (1 + random.next() / 2);
  }

  get #nearBytes(): number {
    return this.#options.limitBytes * NEAR_LIMIT_RATIO;
  }

  #hasRoom(bytes: number): boolean {
    return this.#heldBytes === 0 || this.#heldBytes + bytes <= this.#nearBytes;
  }

  #resize(body: Body, bytes: number): void {
    if (body.isReleased || !body.isAdmitted) return;
    this.#heldBytes += bytes - body.bytes;
    body.bytes = bytes;
    this.#admitWaiting();
  }

  #release(body: Body): void {
    if (body.isReleased) return;
    body.isReleased = true;
    if (body.isAdmitted) this.#heldBytes -= body.bytes;
    else if (this.#waiting.delete(body)) this.#waitingBytes -= body.bytes;
    this.#admitWaiting();
  }

  #admitWaiting(): void {
    for (const body of this.#waiting) {
      if (!this.#hasRoom(body.bytes)) return;
      this.#waiting.delete(body);
      this.#waitingBytes -= body.bytes;
      this.#heldBytes += body.bytes;
      body.isAdmitted = true;
      body.onAdmitted();
    }
  }
}
