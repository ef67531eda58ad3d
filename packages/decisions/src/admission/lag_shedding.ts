/**
 * Load shedding by event loop lag: refuses requests that this entry VM has read
 * too late. A refusal takes far less processor time than forwarding, so an
 * overloaded VM still answers the other requests on time.
 */

/** A request that has been read, with the lag before that. */
export interface DelayedRequest {
  /** How long it stayed unread because of event loop lag; 0 without lag. */
  readonly lagMs: number;
  readonly nowMs: number;
  /** When it arrived, before it was read. */
  readonly arrivedMs: number;
  /** Time from its arrival within which it should be answered. */
  readonly targetLatencyMs: number;
  /** Expected service time at a server. */
  readonly serviceMs: number;
}

/**
 * Fraction of the target latency reserved for the VM's own work: an overloaded
 * VM admits requests right up to this limit.
 */
const RESERVED_FRACTION = 0.2;

/** Whether the answer would be on time without the lag, and is late with it. */
export function shouldShedForLag(request: DelayedRequest): boolean {
  const { lagMs, nowMs, arrivedMs, targetLatencyMs, serviceMs } = request;
  if (lagMs <= 0) return false;
  const lastMs = arrivedMs + targetLatencyMs * (1 - RESERVED_FRACTION);
  const answeredMs = nowMs + serviceMs;
  return answeredMs > lastMs && answeredMs - lagMs <= lastMs;
}
