/**
 * A bounded journal in the platform's store. Entry VMs are replaced at any
 * time, under new names, so a journal object for each VM would pile up without
 * end: a fixed number of slots is shared by all instead.
 */
import type * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import * as crypto from "node:crypto";
import * as z from "zod";
import * as storeWrite from "../configuration/store_write.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { Logger } from "../utils/log.ts";

/** What every line has. */
export interface JournalLine {
  /** Drawn anew for each line. */
  readonly id: string;
  /** Wall-clock time, ISO 8601. */
  readonly at: string;
}

/** Options of {@link StoreJournal}. */
export interface StoreJournalOptions<Line extends JournalLine> {
  readonly vm: contracts.VmId;
  readonly store: contracts.PlatformStore;
  readonly clock: contracts.Clock;
  readonly log: Logger;
  /** Start of the names of all slots, such as `audit/`. */
  readonly prefix: string;
  readonly schema: z.ZodType<Line>;
  /** Lines kept in each slot. */
  readonly linesPerSlot: number;
  /** Longest time a line waits before it is written. */
  readonly flushIntervalMs: number;
  /** Time for one call to the store. */
  readonly callTimeoutMs: number;
}

const SLOT_COUNT = 16;
const STOP_TIMEOUT_MS = 1500;
const MAX_WRITE_ATTEMPTS = 3;

/** Collects lines and writes them to the store in batches. */
export class StoreJournal<Line extends JournalLine> {
  readonly #options: StoreJournalOptions<Line>;
  readonly #slot: string;
  #waiting: Line[] = [];
  #isFlushing = false;

  constructor(options: StoreJournalOptions<Line>) {
    this.#options = options;
    const digest = crypto.createHash("sha256").update(options.vm).digest();
    this.#slot = `${options.prefix}${digest[0]! % SLOT_COUNT}`;
  }

  /** Writes waiting lines until the process stops, and then the rest. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.onStop({
      name: `journal ${this.#options.prefix}`,
      timeoutMs: STOP_TIMEOUT_MS,
      run: () => this.flush(),
    });
    lifeCycle.every(this.#options.flushIntervalMs, () => void this.flush());
  }

  /** Adds a line. While the store is away the oldest waiting lines give way. */
  append(line: Line): void {
    this.#waiting.push(line);
    this.#waiting = this.#waiting.slice(-this.#options.linesPerSlot);
  }

  /** Writes what waits; what could not be written waits on. */
  async flush(): Promise<void> {
    if (this.#isFlushing || this.#waiting.length === 0) return;
    this.#isFlushing = true;
    const batch = this.#waiting;
    this.#waiting = [];
    const isWritten = await this.#write(batch);
    if (!isWritten) {
      this.#waiting = [...batch, ...this.#waiting].slice(
        -this.#options.linesPerSlot,
      );
    }
    this.#isFlushing = false;
  }

  /** The newest lines of all slots, newest first. */
  async read(
    limit: number,
  ): Promise<neverthrow.Result<Line[], contracts.StoreError>> {
    const listed = await this.#options.store.list(this.#options.prefix, {
      timeoutMs: this.#options.callTimeoutMs,
    });
    return listed.map(({ objects }) => {
      const stored = objects.flatMap((each) => this.#parse(each.value));
      return [...stored, ...this.#waiting]
        .sort((a, b) => a.at < b.at ? 1 : -1)
        .slice(0, limit);
    });
  }

  async #write(batch: readonly Line[]): Promise<boolean> {
    for (let attempt = 1; attempt <= MAX_WRITE_ATTEMPTS; attempt++) {
      const before = await this.#readSlot();
      if (before === undefined) return false;
      const lines = [...before.lines, ...batch].slice(
        -this.#options.linesPerSlot,
      );
      const last = batch.at(-1)!.id;
      const written = await storeWrite.writeWithReadBack(
        this.#options.store,
        this.#slot,
        {
          value: JSON.stringify(lines),
          condition: before.condition,
          isOwnWrite: (value) =>
            this.#parse(value).some(({ id }) => id === last),
          clock: this.#options.clock,
          timeoutMs: 2 * this.#options.callTimeoutMs,
          callTimeoutMs: this.#options.callTimeoutMs,
        },
      );
      if (written.isOk()) return true;
      if (written.error.kind === "conflict") continue;
      this.#options.log.warn("journal not written, lines wait", {
        slot: this.#slot,
        lines: batch.length,
        reason: written.error.kind,
      });
      return false;
    }
    return false;
  }

  async #readSlot(): Promise<
    { condition: contracts.WriteCondition; lines: Line[] } | undefined
  > {
    const read = await this.#options.store.get(this.#slot, {
      timeoutMs: this.#options.callTimeoutMs,
    });
    if (read.isOk()) {
      const { version, value } = read.value;
      const condition = { kind: "version", version } as const;
      return { condition, lines: this.#parse(value) };
    }
    if (read.error.kind !== "not-found") return undefined;
    return { condition: { kind: "absent" }, lines: [] };
  }

  #parse(value: string): Line[] {
    try {
      const parsed = z.array(this.#options.schema).safeParse(JSON.parse(value));
      return parsed.data ?? [];
    } catch {
      return [];
    }
  }
}
