/**
 * Rate limits for each partner and for each of its callers, so that one
 * tenant's burst is refused at the door and leaves the rest alone.
 */
import type * as contracts from "@guavatide/contracts";
import { TokenBucket } from "./token_bucket.ts";

/** Callers whose state is kept; the longest unseen is dropped beyond that. */
const MAX_CALLERS = 10_000;
/** Part of the partner's rate and burst that one caller may take. */
const CALLER_SHARE = 0.5;

/** Answer of {@link CallerLimits.admit}. */
export type LimitDecision =
  | { readonly kind: "admitted" }
  | {
    readonly kind: "limited";
    readonly by: "partner" | "caller";
    readonly retryAfterMs: number;
  };

/** Token buckets of partners and callers. */
export class CallerLimits {
  readonly #partners = new Map<contracts.PartnerId, TokenBucket>();
  readonly #callers = new Map<string, TokenBucket>();

  /** Takes a token of the caller and one of its partner, or neither. */
  admit(
    partner: contracts.Partner,
    caller: string,
    nowMs: number,
  ): LimitDecision {
    const callerBucket = this.#callerBucket(partner, caller, nowMs);
    if (!callerBucket.tryTake(nowMs)) {
      const retryAfterMs = callerBucket.waitMs(nowMs);
      return { kind: "limited", by: "caller", retryAfterMs };
    }
    const partnerBucket = this.#partnerBucket(partner, nowMs);
    if (partnerBucket.tryTake(nowMs)) return { kind: "admitted" };
    callerBucket.refund();
    const retryAfterMs = partnerBucket.waitMs(nowMs);
    return { kind: "limited", by: "partner", retryAfterMs };
  }

  #partnerBucket(partner: contracts.Partner, nowMs: number): TokenBucket {
    const options = {
      tokensPerSecond: partner.requestsPerSecond,
      burstTokens: partner.burstRequests,
    };
    const found = this.#partners.get(partner.name);
    if (found !== undefined) {
      found.configure(options);
      return found;
    }
    const bucket = new TokenBucket(options, nowMs);
    this.#partners.set(partner.name, bucket);
    return bucket;
  }

  #callerBucket(
    partner: contracts.Partner,
    caller: string,
    nowMs: number,
  ): TokenBucket {
    const options = {
      tokensPerSecond: partner.requestsPerSecond * CALLER_SHARE,
      burstTokens: Math.max(1, partner.burstRequests * CALLER_SHARE),
    };
    const name = `${partner.name} ${caller}`;
    const found = this.#callers.get(name);
    const bucket = found ?? new TokenBucket(options, nowMs);
    if (found !== undefined) {
      found.configure(options);
      // Moved to the end of the map, whose first entry is the longest unseen.
      this.#callers.delete(name);
    }
    this.#callers.set(name, bucket);
    if (this.#callers.size > MAX_CALLERS) {
      const [oldest] = this.#callers.keys();
      this.#callers.delete(oldest!);
    }
    return bucket;
  }
}
