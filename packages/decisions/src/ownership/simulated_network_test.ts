/** Messages of the model world: late, twice and crossed. */
import type { SeededRandom } from "./simulated_processes_test.ts";

const MAX_DELAY_MS = 20;
const DUPLICATE_PROBABILITY = 0.1;

/** Messages on their way, and the true time. */
export class SimulatedNetwork {
  readonly #random: SeededRandom;
  readonly #messages: { atMs: number; deliver: () => void }[] = [];
  #slowUntilMs = 0;
  #slowMs = 0;
  nowMs = 0;

  constructor(random: SeededRandom) {
    this.#random = random;
  }

  /** Delays messages sent until `untilMs` by up to `delayMs` more. */
  delayMessages(untilMs: number, delayMs: number): void {
    this.#slowUntilMs = untilMs;
    this.#slowMs = delayMs;
  }

  /** Sends a message; some arrive twice. */
  send(deliver: () => void): void {
    const extraMs = this.nowMs < this.#slowUntilMs ? this.#slowMs : 0;
    const copies = this.#random.next() < DUPLICATE_PROBABILITY ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      const delayMs = this.#random.next() * (MAX_DELAY_MS + extraMs);
      this.at(this.nowMs + delayMs, deliver);
    }
  }

  /** Delivers at a given time. */
  at(atMs: number, deliver: () => void): void {
    this.#messages.push({ atMs, deliver });
  }

  /** Moves time on and delivers what is due. */
  advance(stepMs: number): void {
    this.nowMs += stepMs;
    const due = this.#messages.filter(({ atMs }) => atMs <= this.nowMs)
      .sort((a, b) => a.atMs - b.atMs);
    for (const message of due) {
      this.#messages.splice(this.#messages.indexOf(message), 1);
      message.deliver();
    }
  }
}
