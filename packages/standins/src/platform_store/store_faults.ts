/** Faults of the store stand-in, set over `POST /faults`. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import * as z from "zod";

/** Schema of {@link StoreFaultSettings}. A field that is absent stays as is. */
export const storeFaultSettingsSchema = z.strictObject({
  /** `refuse` cuts each call's connection; `hang` never answers. */
  outage: z.enum(["none", "refuse", "hang"]).optional(),
  /** Time added to each call but the watch. */
  delayMs: z.number().min(0).optional(),
  /** The next writes take effect, then their connection is cut. */
  loseRepliesOfWrites: z.number().int().min(0).optional(),
  /** Share of writes whose reply is lost after they took effect. */
  loseReplyProbability: z.number().min(0).max(1).optional(),
  /** Seed of that draw. */
  seed: z.number().int().optional(),
  /** The next calls that are answered 503 without effect. */
  failCalls: z.number().int().min(0).optional(),
  /** The next writes that take effect and are answered 503. */
  failWritesAfterEffect: z.number().int().min(0).optional(),
  /** `silent` never answers a watch; `empty` answers without its events. */
  watch: z.enum(["normal", "silent", "empty"]).optional(),
  /** The next changes that no watch is told of. */
  skipEvents: z.number().int().min(0).optional(),
  /** Forgets the log of changes, so that every watch is reset. */
  forgetLog: z.boolean().optional(),
});
/** Settings of the faults. */
export type StoreFaultSettings = z.infer<typeof storeFaultSettingsSchema>;

/** What happens to the reply of a write. */
export type WriteReplyFault = "none" | "lose" | "fail";

/** The faults in force; each call asks what becomes of it. */
export class StoreFaults {
  #settings: StoreFaultSettings = {};
  #random = xoroshiro128plus(1);

  /** Merges new settings into those in force. */
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

  /** Whether this call fails before it has any effect. */
  consumeFailure(): boolean {
    const left = this.#settings.failCalls ?? 0;
    if (left === 0) return false;
    this.#settings = { ...this.#settings, failCalls: left - 1 };
    return true;
  }

  /** What becomes of the reply of a write that took effect. */
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
