/** A token bucket: a rate with a bounded burst. */

/** Options of {@link TokenBucket}. */
export interface TokenBucketOptions {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

/** Counts tokens that refill with time. */
export class TokenBucket {
  #options: TokenBucketOptions;
  #tokens: number;
  #updatedMs: number;

  constructor(options: TokenBucketOptions, nowMs: number) {
    this.#options = options;
    this.#tokens = options.burstTokens;
    this.#updatedMs = nowMs;
  }

  /** Changes the rate; tokens already gathered stay, up to the new burst. */
  configure(options: TokenBucketOptions): void {
    this.#options = options;
    this.#tokens = Math.min(this.#tokens, options.burstTokens);
  }

  /** Takes a token if there is one. */
  tryTake(nowMs: number): boolean {
    this.#refill(nowMs);
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }

  /** Gives back a token that was not used. */
  refund(): void {
    this.#tokens = Math.min(this.#options.burstTokens, this.#tokens + 1);
  }

  /** Time until the next token, in milliseconds. */
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
