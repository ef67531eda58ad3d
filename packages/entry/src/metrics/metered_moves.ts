/**
 * Meters the steps of handovers on their way to the journal: churn by step, and
 * how long each slice was without an owner.
 */
import type * as contracts from "@guavatide/contracts";
import type { SliceChange } from "@guavatide/decisions/ownership/mod";
import type {
  AssignmentSteps,
  MoveRecorder,
} from "../ownership/service_context.ts";
import type { Metrics } from "./metrics.ts";

/** A record of handovers that counts their steps. */
export class MeteredMoves implements MoveRecorder {
  readonly #record: MoveRecorder;
  readonly #metrics: Metrics;
  readonly #handoverStartedMs = new Map<string, number>();

  constructor(record: MoveRecorder, metrics: Metrics) {
    this.#record = record;
    this.#metrics = metrics;
  }

  noteSteps(moved: AssignmentSteps): void {
    this.#record.noteSteps(moved);
    for (const step of moved.steps) this.#count(moved.service, step);
  }

  #count(service: contracts.ServiceId, step: SliceChange): void {
    this.#metrics.sliceMoves.add(1, { service, step: step.step });
    const name = `${service}/${step.slice}`;
    if (step.step === "vacate") {
      this.#handoverStartedMs.set(name, performance.now());
      return;
    }
    const sinceMs = this.#handoverStartedMs.get(name);
    if (sinceMs === undefined) return;
    this.#handoverStartedMs.delete(name);
    const unavailableMs = performance.now() - sinceMs;
    this.#metrics.sliceUnavailableMs.record(unavailableMs, { service });
  }
}
