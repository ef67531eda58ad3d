/**
 * Whether a request is refused because this entry VM reads it too late. A
 * refusal takes far less processor time than a forwarded request, so an
 * overloaded VM answers the others on time.
 */

/** What is known of a request when it has been read. */
export interface DelayedRequest {
  /** How long it lay unread because the event loop was behind; 0 if not. */
  readonly lagMs: number;
  readonly nowMs: number;
  /** When it arrived, before it lay unread. */
  readonly arrivedMs: number;
  /** Time from its arrival within which an answer has its full worth. */
  readonly targetLatencyMs: number;
  /** Expected time at a server. */
  readonly serviceMs: number;
}

/**
 * Part of the target latency kept for the VM's own work: an overloaded VM takes
 * requests up to this limit.
 */
const RESERVED_FRACTION = 0.2;

/** Whether the lag alone makes the answer late. */
export function shouldShedForLag(request: DelayedRequest): boolean {
  const { lagMs, nowMs, arrivedMs, targetLatencyMs, serviceMs } = request;
  if (lagMs <= 0) return false;
  const lastMs = arrivedMs + targetLatencyMs * (1 - RESERVED_FRACTION);
  const answeredMs = nowMs + serviceMs;
  return answeredMs > lastMs && answeredMs - lagMs <= lastMs;
}
