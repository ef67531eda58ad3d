import { expect } from "earl";
import { test } from "node:test";
import { IterationBudget } from "./iteration_budget.ts";

/** Event loop iterations that a test runs one by one. */
class TestLoop {
  readonly #callbacks: (() => void)[] = [];

  readonly setImmediate = (callback: () => void): void => {
    this.#callbacks.push(callback);
  };

  /** Runs what is due at the end of the iteration. */
  end(): void {
    for (const callback of this.#callbacks.splice(0)) callback();
  }
}

function createBudget(waiting: number) {
  const loop = new TestLoop();
  const state = { waiting, begun: 0 };
  const budget = new IterationBudget({
    setImmediate: loop.setImmediate,
    runNext: () => {
      state.waiting--;
      state.begun++;
      return state.waiting > 0;
    },
  });
  return { loop, state, budget };
}

/** An iteration without an end delays datagrams, timers and connections. */
test("should begin a limited number of requests in an iteration", () => {
  const { loop, state, budget } = createBudget(0);
  const atOnce = Array.from({ length: 10 }, () => {
    const mayBegin = budget.tryBegin();
    if (!mayBegin) {
      state.waiting++;
      budget.noteWaiting();
    }
    return mayBegin;
  }).filter(Boolean);
  expect(atOnce.length).toEqual(4);
  loop.end();
  expect(state.begun).toEqual(4);
  expect(budget.tryBegin()).toEqual(false);
  loop.end();
  expect(state.waiting).toEqual(0);
  expect(budget.tryBegin()).toEqual(true);
});

/** Node accepts one connection in an iteration, however many wait. */
test("should begin one request in an iteration that accepts a connection", () => {
  const { loop, state, budget } = createBudget(9);
  budget.noteWaiting();
  budget.noteAccept();
  loop.end();
  expect(state.begun).toEqual(1);
  loop.end();
  expect(state.begun).toEqual(5);
});
