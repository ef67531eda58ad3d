/**
 * A journal of limited size in the platform's store. Entry VMs are replaced at
 * any time, under new names, so one object per VM would grow without limit.
 * Instead all VMs share a fixed number of objects (slots); each VM hashes its
 * name to one of them.
 */
import * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import * as crypto from "node:crypto";
import * as z from "zod";
import * as storeWrite from "../configuration/store_write.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { Logger } from "../utils/log.ts";

/** Fields that every line has. */
export interface JournalLine {
  /** Unique id of the line. */
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
  /** Prefix of the slots' object names, such as `audit/`. */
  readonly prefix: string;
  readonly schema: z.ZodType<Line>;
  /** Lines kept in each slot; the oldest are dropped. */
  readonly linesPerSlot: number;
  /** Interval between writes of pending lines. */
  readonly flushIntervalMs: number;
  /** Timeout of one store call. */
  readonly callTimeoutMs: number;
}

const SLOT_COUNT = 16;
const STOP_TIMEOUT_MS = 1500;
const MAX_WRITE_ATTEMPTS = 3;

/** Buffers lines and writes them to one slot of the store in batches. */
export class StoreJournal<Line extends JournalLine> {
  readonly #options: StoreJournalOptions<Line>;
  readonly #slot: string;
  #pending: Line[] = [];
  #isFlushing = false;

  constructor(options: StoreJournalOptions<Line>) {
    this.#options = options;
    const digest = crypto.createHash("sha256").update(options.vm).digest();
    this.#slot = `${options.prefix}${digest[0]! % SLOT_COUNT}`;
  }

  /** Flushes at an interval, and once more when the process stops. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.onStop({
      name: `journal ${this.#options.prefix}`,
      timeoutMs: STOP_TIMEOUT_MS,
      run: () => this.flush(),
    });
    lifeCycle.every(
      this.#options.flushIntervalMs,
      () => this.flush(),
      "journal",
    );
  }

  /**
   * Adds a line to the next batch. When more than `linesPerSlot` are pending,
   * as while the store is unavailable, drops the oldest.
   */
  append(line: Line): void {
    this.#pending.push(line);
    this.#pending = this.#pending.slice(-this.#options.linesPerSlot);
  }

  /** Writes the pending lines; keeps them for the next flush when that fails. */
  async flush(): Promise<void> {
    if (this.#isFlushing || this.#pending.length === 0) return;
    this.#isFlushing = true;
    const batch = this.#pending;
    this.#pending = [];
    const isWritten = await this.#write(batch);
    if (!isWritten) {
      this.#pending = [...batch, ...this.#pending].slice(
        -this.#options.linesPerSlot,
      );
    }
    this.#isFlushing = false;
  }

  /**
   * Returns the newest `limit` lines of all slots and of the pending batch,
   * newest first. Fails when the store can't be listed.
   */
  async read(
    limit: number,
  ): Promise<neverthrow.Result<Line[], contracts.StoreError>> {
    const listed = await this.#options.store.list(this.#options.prefix, {
      timeoutMs: this.#options.callTimeoutMs,
    });
    return listed.map(({ objects }) => {
      const stored = objects.flatMap((each) => this.#parse(each.value));
      return [...stored, ...this.#pending]
        .sort((a, b) => a.at < b.at ? 1 : -1)
        .slice(0, limit);
    });
  }

  async #write(batch: readonly Line[]): Promise<boolean> {
    for (let attempt = 1; attempt <= MAX_WRITE_ATTEMPTS; attempt++) {
      const stored = await this.#readSlot();
      if (stored === undefined) return false;
      const lines = [...stored.lines, ...batch].slice(
        -this.#options.linesPerSlot,
      );
      const lastId = batch.at(-1)!.id;
      const written = await storeWrite.writeWithReadBack(
        this.#options.store,
        this.#slot,
        {
          value: JSON.stringify(lines),
          condition: stored.condition,
          isOwnWrite: (value) =>
            this.#parse(value).some(({ id }) => id === lastId),
          clock: this.#options.clock,
          timeoutMs: 2 * this.#options.callTimeoutMs,
          callTimeoutMs: this.#options.callTimeoutMs,
        },
      );
      if (written.isOk()) return true;
      if (written.error.kind === "conflict") continue;
      this.#options.log.warn("failed to write the journal, will retry", {
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
    const schema = z.array(this.#options.schema);
    return contracts.decodeJson(value, schema).unwrapOr([]);
  }
}
