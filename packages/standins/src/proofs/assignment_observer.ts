/** Watches an assignment in the store and records when each revision appears. */
import * as contracts from "@guavatide/contracts";
import * as platform from "guavatide/platform/mod";
import { monotonicMs } from "./caller_record.ts";

const WAIT_MS = 1000;
const TIMEOUT_MS = 3000;

/** One revision and the CLOCK_MONOTONIC time at which it was seen. */
export interface SeenRevision {
  readonly atMs: number;
  readonly assignment: contracts.Assignment;
}

/** Records the assignment revisions of one service until it is stopped. */
export class AssignmentObserver {
  readonly #store: platform.HttpPlatformStore;
  readonly #service: string;
  readonly #seen: SeenRevision[] = [];
  readonly #running: Promise<void>;
  #isStopping = false;

  constructor(storeUrl: string, service: string) {
    this.#store = new platform.HttpPlatformStore(storeUrl);
    this.#service = service;
    this.#running = this.#watch();
  }

  /** Revisions in the order seen. */
  get seen(): readonly SeenRevision[] {
    return this.#seen;
  }

  /** Ends the watch. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    await this.#running;
    await this.#store.close();
  }

  async #watch(): Promise<void> {
    let cursor = "0";
    while (!this.#isStopping) {
      const batch = await this.#store.watch("", {
        cursor,
        waitMs: WAIT_MS,
        timeoutMs: TIMEOUT_MS,
      });
      if (batch.isErr()) continue;
      cursor = batch.value.cursor;
      for (const event of batch.value.events) this.#record(event.object);
    }
  }

  #record(object: contracts.StoredObject | undefined): void {
    if (object === undefined) return;
    const parsed = contracts.assignmentSchema.safeParse(
      JSON.parse(object.value),
    );
    if (!parsed.success || parsed.data.service !== this.#service) return;
    this.#seen.push({ atMs: monotonicMs(), assignment: parsed.data });
  }
}
