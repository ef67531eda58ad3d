/** Settings of the request path and their defaults. */

/** Limits and timeouts of the request path. */
export interface RequestSettings {
  readonly host: string;
  /** 0 lets the operating system choose a free port. */
  readonly port: number;
  /** Maximum number of open connections of callers. */
  readonly connectionLimit: number;
  /** Requests beyond this number are refused with `queue-full`. */
  readonly inFlightLimit: number;
  readonly headerLimitBytes: number;
  readonly bodyLimitBytes: number;
  readonly headersTimeoutMs: number;
  /** Time within which a complete request must arrive. */
  readonly requestTimeoutMs: number;
  readonly keepAliveTimeoutMs: number;
  /** Upper bound of the timeout of a request. */
  readonly maxTimeoutMs: number;
  /**
   * Time after the start of a graceful stop during which requests are still
   * served; each connection is closed with its next answer.
   */
  readonly lingerMs: number;
  /** Time a graceful stop waits for requests in flight, `lingerMs` included. */
  readonly drainTimeoutMs: number;
}

/** Defaults of {@link RequestSettings}. */
export const REQUEST_DEFAULTS: RequestSettings = {
  host: "127.0.0.1",
  port: 0,
  connectionLimit: 2000,
  inFlightLimit: 1000,
  headerLimitBytes: 16 * 1024,
  bodyLimitBytes: 1024 * 1024,
  headersTimeoutMs: 5000,
  requestTimeoutMs: 10_000,
  keepAliveTimeoutMs: 30_000,
  maxTimeoutMs: 60_000,
  lingerMs: 1000,
  drainTimeoutMs: 15_000,
};
