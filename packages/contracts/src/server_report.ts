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
