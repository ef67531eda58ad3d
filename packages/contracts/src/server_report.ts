/** Load that a backend server reports with each answer. */

/** Load of a server at the time of an answer, as the server reports it. */
export interface ServerReport {
  /** Requests that it runs. */
  readonly running: number;
  /** Requests in its queue. */
  readonly waiting: number;
  /** Requests that it can run at once. */
  readonly slots: number;
  /**
   * Processing time on its VM relative to the usual, 1 for as usual; changes
   * many times a second. Undefined when the server does not report it.
   */
  readonly slowdownRatio: number | undefined;
}

/** What an answer says about the rate of requests that its server takes. */
export type RequestLimitReport =
  /** From all entry VMs together, for as long as its answers say so. */
  | { readonly kind: "limited"; readonly requestsPerSecond: number }
  /** The text is not a rate, so it changes nothing. */
  | { readonly kind: "malformed"; readonly text: string };

/** More digits would be no rate that a server can mean. */
const RATE = /^[0-9]{1,9}(\.[0-9]{1,9})?$/;
const MAX_REPORTED_TEXT = 40;

/** Decodes requests a second as a decimal number; undefined for no text. */
export function parseRequestLimit(
  text: string | undefined,
): RequestLimitReport | undefined {
  if (text === undefined) return undefined;
  const trimmed = text.trim();
  return RATE.test(trimmed)
    ? { kind: "limited", requestsPerSecond: Number(trimmed) }
    : { kind: "malformed", text: trimmed.slice(0, MAX_REPORTED_TEXT) };
}

/** What an answer says about when its server takes requests of this VM again. */
export type RetryAfterReport =
  /** Not before this time is over. */
  | { readonly kind: "delay"; readonly delayMs: number }
  /** The text is neither a delay nor a date, so it asks for nothing. */
  | { readonly kind: "malformed"; readonly text: string };

const DELAY_SECONDS = /^[0-9]{1,9}(\.[0-9]{1,9})?$/;
const HTTP_DATE =
  /^[A-Z][a-z]{2}, [0-9]{2} [A-Z][a-z]{2} [0-9]{4} [0-9:]{8} GMT$/;

/**
 * Decodes a `Retry-After` header (RFC 9110, section 10.2.3; seconds may have a
 * fraction): a delay, or a date, counted from `dateText`, the answer's own
 * `Date`, or else from `nowUnixMs`. Undefined for no text or no delay.
 */
export function parseRetryAfter(
  text: string | undefined,
  { dateText, nowUnixMs }: {
    readonly dateText: string | undefined;
    readonly nowUnixMs: number;
  },
): RetryAfterReport | undefined {
  if (text === undefined) return undefined;
  const trimmed = text.trim();
  let delayMs: number;
  if (DELAY_SECONDS.test(trimmed)) delayMs = Number(trimmed) * 1_000;
  else if (HTTP_DATE.test(trimmed)) {
    const sentUnixMs = Date.parse(dateText ?? "");
    const fromUnixMs = Number.isNaN(sentUnixMs) ? nowUnixMs : sentUnixMs;
    delayMs = Date.parse(trimmed) - fromUnixMs;
  } else delayMs = Number.NaN;
  if (Number.isNaN(delayMs)) {
    return { kind: "malformed", text: trimmed.slice(0, MAX_REPORTED_TEXT) };
  }
  return delayMs > 0 ? { kind: "delay", delayMs } : undefined;
}

/** What a server says of itself beside an answer, whatever the answer is. */
export interface ServerNotices {
  /** Undefined when the server names no limit. */
  readonly requestLimit?: RequestLimitReport | undefined;
  /** Undefined when the server takes further requests. */
  readonly retryAfter?: RetryAfterReport | undefined;
  /** Whether the server says that it leaves. */
  readonly isLeaving?: boolean | undefined;
}
