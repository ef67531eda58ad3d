/** A clock for tests whose wall clock can jump against the monotonic one. */
import { SystemClock } from "./clock.ts";

/** Creates the clock; by default its monotonic clock is that of the process. */
export function createJumpingClock(
  monotonicMs: () => number = () => performance.now(),
) {
  let wallOffsetMs = 0;
  return {
    clock: new SystemClock({
      monotonicMs,
      wallMs: () => monotonicMs() + wallOffsetMs,
    }),
    /** A step of the wall clock, or a suspension of the machine. */
    jumpWallClock: (jumpMs: number) => {
      wallOffsetMs += jumpMs;
    },
  };
}
