/** Timers that tell a pause of the process from the time that has passed. */

/** A timer that runs this late shows that the process was paused. */
const PAUSE_MIN_MS = 50;

/**
 * Time to read what arrived during a pause: timers run before sockets are read.
 */
export const READ_AFTER_PAUSE_MS = 50;

/** Calls back after a delay, with whether the process was paused at its end. */
export function startPauseAwareTimer(
  delayMs: number,
  onElapsed: (wasPaused: boolean) => void,
): NodeJS.Timeout {
  const dueMs = performance.now() + delayMs;
  return setTimeout(
    () => onElapsed(performance.now() - dueMs > PAUSE_MIN_MS),
    delayMs,
  );
}
