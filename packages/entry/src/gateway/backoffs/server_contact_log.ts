/**
 * Tells from the log whether a VM hears its backend servers at all: how many
 * attempts ended without an answer, at how many servers, and when any server
 * was last heard.
 */
import type * as contracts from "@guavatide/contracts";
import type { AttemptResult } from "../../links/server_connection.ts";
import type { Logger } from "../../utils/log.ts";

const MIN_INTERVAL_MS = 1_000;

/** Attempts that ended without an answer, folded into one line a second. */
export class ServerContactLog {
  readonly #log: Logger;
  readonly #servers = new Set<contracts.ServerId>();
  #notSent = 0;
  #unanswered = 0;
  #lastReason = "";
  #heardAtMs: number | undefined;
  #writtenAtMs = Number.NEGATIVE_INFINITY;

  constructor(log: Logger) {
    this.#log = log;
  }

  /** Notes how an attempt at a server ended. */
  note(server: contracts.ServerId, result: AttemptResult, nowMs: number): void {
    if (result.kind === "answer" || result.kind === "refusal") {
      this.#heardAtMs = nowMs;
      return;
    }
    if (result.kind === "not-sent") this.#notSent++;
    else this.#unanswered++;
    this.#lastReason = result.message;
    this.#servers.add(server);
    if (nowMs - this.#writtenAtMs >= MIN_INTERVAL_MS) this.#write(nowMs);
  }

  #write(nowMs: number): void {
    this.#writtenAtMs = nowMs;
    this.#log.info("Servers gave no answer.", {
      servers: this.#servers.size,
      notSent: this.#notSent,
      unanswered: this.#unanswered,
      lastReason: this.#lastReason,
      heardAgoMs: this.#heardAtMs && Math.round(nowMs - this.#heardAtMs),
    });
    this.#servers.clear();
    this.#notSent = 0;
    this.#unanswered = 0;
  }
}
