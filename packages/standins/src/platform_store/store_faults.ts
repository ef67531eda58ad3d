/** Fault injection of the store stand-in, set with `POST /faults`. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import * as z from "zod";

/** Schema of {@link StoreFaultSettings}. Absent fields keep their value. */
export const storeFaultSettingsSchema = z.strictObject({
  /** `refuse` closes the connection of each call; `hang` never responds. */
  outage: z.enum(["none", "refuse", "hang"]).optional(),
  /** Delay added to each call except watches. */
  delayMs: z.number().min(0).optional(),
  /** Number of next writes that take effect but whose connection is closed. */
  loseRepliesOfWrites: z.number().int().min(0).optional(),
  /** Probability that a write takes effect but its reply is lost. */
  loseReplyProbability: z.number().min(0).max(1).optional(),
  /** Seed of the random generator for `loseReplyProbability`. */
  seed: z.number().int().optional(),
  /** Number of next calls that get status 503 and have no effect. */
  failCalls: z.number().int().min(0).optional(),
  /** Number of next writes that take effect but get status 503. */
  failWritesAfterEffect: z.number().int().min(0).optional(),
  /** `silent`: watches get no response; `empty`: responses omit all events. */
  watch: z.enum(["normal", "silent", "empty"]).optional(),
  /** Number of next changes that no watch receives. */
  skipEvents: z.number().int().min(0).optional(),
  /** Discards the change log, so that every watch is reset. */
  forgetLog: z.boolean().optional(),
});
/** Injected faults. */
export type StoreFaultSettings = z.infer<typeof storeFaultSettingsSchema>;

/** Fault applied to the reply of a write. */
export type WriteReplyFault = "none" | "lose" | "fail";

/** The active faults, and the counters of those that affect the next calls. */
export class StoreFaults {
  #settings: StoreFaultSettings = {};
  #random = xoroshiro128plus(1);

  /** Merges new settings into the active ones. */
  set(settings: StoreFaultSettings): void {
    this.#settings = { ...this.#settings, ...settings };
    if (settings.seed !== undefined) {
      this.#random = xoroshiro128plus(settings.seed);
    }
  }

  get outage(): "none" | "refuse" | "hang" {
    return this.#settings.outage ?? "none";
  }

  get delayMs(): number {
    return this.#settings.delayMs ?? 0;
  }

  get watch(): "normal" | "silent" | "empty" {
    return this.#settings.watch ?? "normal";
  }

  /** Whether this call fails before it has an effect. Counts down the fault. */
  consumeFailure(): boolean {
    const remaining = this.#settings.failCalls ?? 0;
    if (remaining === 0) return false;
    this.#settings = { ...this.#settings, failCalls: remaining - 1 };
    return true;
  }

  /** Fault for the reply of a write that took effect. Counts down the fault. */
  consumeWriteReplyFault(): WriteReplyFault {
    const toLose = this.#settings.loseRepliesOfWrites ?? 0;
    if (toLose > 0) {
      this.#settings = { ...this.#settings, loseRepliesOfWrites: toLose - 1 };
      return "lose";
    }
    const toFail = this.#settings.failWritesAfterEffect ?? 0;
    if (toFail > 0) {
      this.#settings = { ...this.#settings, failWritesAfterEffect: toFail - 1 };
      return "fail";
    }
    const probability = this.#settings.loseReplyProbability ?? 0;
    if (probability === 0) return "none";
    return uniformFloat64(this.#random) < probability ? "lose" : "none";
  }
}
