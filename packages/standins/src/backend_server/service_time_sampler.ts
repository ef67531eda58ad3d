/** Draws how long each request runs, from a seed. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { ServiceTime } from "./settings.ts";

/** Seeded draws of one distribution. */
export class ServiceTimeSampler {
  readonly #distribution: ServiceTime;
  readonly #random: ReturnType<typeof xoroshiro128plus>;

  constructor(distribution: ServiceTime, seed: number) {
    this.#distribution = distribution;
    this.#random = xoroshiro128plus(seed);
  }

  /** The next time, in milliseconds. */
  nextMs(): number {
    const distribution = this.#distribution;
    switch (distribution.kind) {
      case "fixed":
        return distribution.ms;
      case "exponential":
        return -distribution.meanMs * Math.log(1 - this.#uniform());
      case "lognormal":
        return distribution.medianMs *
          Math.exp(distribution.sigma * this.#normal());
    }
  }

  /** Box and Muller's transform. */
  #normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#uniform()));
    return radius * Math.cos(2 * Math.PI * this.#uniform());
  }

  #uniform(): number {
    return uniformFloat64(this.#random);
  }
}
