/**
 * Whether a request is refused because this entry VM reads it too late. Answers
 * the load that a VM's processor can't carry: after a restart under the load of
 * a whole zone, in a burst, or when a VM turns slow.
 *
 * Without it a VM that is behind forwards each request in turn. All of them are
 * then late by the same time, none is answered within its target, and each
 * takes the processor from the next. A refusal takes a fifth of the processor
 * time, so the others are on time again, and the refused caller comes back to
 * another VM.
 */

/** What is known of a request when it has been read. */
export interface LateRequest {
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
 * Part of the target latency that is left for the VM's own work. A VM that is
 * behind takes requests up to the limit of this rule, so with nothing left half
 * of the answers would be late by a little.
 */
const SPARE_PART = 0.2;

/** Whether the lag alone makes the answer late. */
export function isLateByLag(request: LateRequest): boolean {
  const { lagMs, nowMs, arrivedMs, targetLatencyMs, serviceMs } = request;
  if (lagMs <= 0) return false;
  const lastMs = arrivedMs + targetLatencyMs * (1 - SPARE_PART);
  const answeredMs = nowMs + serviceMs;
  return answeredMs > lastMs && answeredMs - lagMs <= lastMs;
}
