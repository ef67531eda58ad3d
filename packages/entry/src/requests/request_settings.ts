/** Settings of the request path with their defaults. */

/** Limits and times of the request path. */
export interface RequestSettings {
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
  readonly connectionLimit: number;
  readonly inFlightLimit: number;
  readonly headerLimitBytes: number;
  readonly bodyLimitBytes: number;
  readonly headersTimeoutMs: number;
  /** Time for a whole request to arrive. */
  readonly requestTimeoutMs: number;
  readonly keepAliveTimeoutMs: number;
  /** Longest time that a caller may ask us to wait. */
  readonly maxTimeoutMs: number;
  /**
   * Time after the start of a stop during which connections are still served,
   * and closed with their next answer.
   */
  readonly lingerMs: number;
  /** Time that a graceful stop waits for requests in flight. */
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
