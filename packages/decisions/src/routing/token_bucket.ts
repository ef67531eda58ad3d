/** Token bucket: limits a rate and its bursts. */

/** Options of {@link TokenBucket}. */
export interface TokenBucketOptions {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

/** A token bucket that starts full. */
export class TokenBucket {
  #options: TokenBucketOptions;
  #tokens: number;
  #updatedMs: number;

  constructor(options: TokenBucketOptions, nowMs: number) {
    this.#options = options;
    this.#tokens = options.burstTokens;
    this.#updatedMs = nowMs;
  }

  /** Changes the limits; existing tokens stay, up to the new burst. */
  configure(options: TokenBucketOptions): void {
    this.#options = options;
    this.#tokens = Math.min(this.#tokens, options.burstTokens);
  }

  /** Takes one token; false if there is none. */
  tryTake(nowMs: number): boolean {
    this.#refill(nowMs);
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }

  /** Returns an unused token. */
  refund(): void {
    this.#tokens = Math.min(this.#options.burstTokens, this.#tokens + 1);
  }

  /** Time until the next token, in milliseconds; 0 if there is one. */
  waitMs(nowMs: number): number {
    this.#refill(nowMs);
    if (this.#tokens >= 1) return 0;
    return (1 - this.#tokens) / this.#options.tokensPerSecond * 1000;
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedMs);
    const gained = elapsedMs / 1000 * this.#options.tokensPerSecond;
    this.#tokens = Math.min(this.#options.burstTokens, this.#tokens + gained);
    this.#updatedMs = nowMs;
  }
}
