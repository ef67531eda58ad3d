/**
 * Closed-loop callers that send requests to entry VMs and record the outcomes.
 * Each worker waits for its answer before it sends the next request.
 */
import * as contracts from "@guavatide/contracts";
import * as undici from "undici";
import type { WorkResponseBody } from "../backend_server/backend_app.ts";
import { OPERATION_HEADER } from "../backend_server/backend_app.ts";
import {
  type CallerRecord,
  monotonicMs,
  type ReportedOutcome,
} from "./caller_record.ts";

const CLIENT_GRACE_MS = 3000;
const ANSWER_FILLER_BYTES = 2000;
const PAUSE_AFTER_FAILURE_MS = 10;

/** Options of {@link CallerLoad}. */
export interface CallerLoadOptions {
  readonly service: string;
  /** Entry VMs to choose from, evaluated for each request. */
  readonly entryUrls: () => readonly string[];
  readonly keys: readonly string[];
  readonly workers: number;
  readonly timeoutMs: number;
  /** Pause of a worker between two requests, in milliseconds. */
  readonly pauseMs: number;
  /** Prefix of operation ids; must be unique among loads. */
  readonly name: string;
}

/** A running load. */
export class CallerLoad {
  readonly #options: CallerLoadOptions;
  readonly #agent = new undici.Agent({ keepAliveTimeout: 2000 });
  readonly #records: CallerRecord[] = [];
  readonly #workers: Promise<void>[] = [];
  #isStopping = false;
  #nextNumber = 1;

  constructor(options: CallerLoadOptions) {
    this.#options = options;
    for (let index = 0; index < options.workers; index++) {
      this.#workers.push(this.#work());
    }
  }

  /** Records of all requests so far. */
  get records(): readonly CallerRecord[] {
    return this.#records;
  }

  /** Stops sending and waits for the outstanding answers. */
  async stop(): Promise<readonly CallerRecord[]> {
    this.#isStopping = true;
    await Promise.all(this.#workers);
    await this.#agent.destroy();
    return this.#records;
  }

  async #work(): Promise<void> {
    while (!this.#isStopping) {
      const record = await this.#send(this.#nextNumber++);
      this.#records.push(record);
      const pauseMs = record.outcome === "answered"
        ? this.#options.pauseMs
        : Math.max(this.#options.pauseMs, PAUSE_AFTER_FAILURE_MS);
      await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
  }

  async #send(number: number): Promise<CallerRecord> {
    const { service, keys, name, timeoutMs } = this.#options;
    const urls = this.#options.entryUrls();
    const entryUrl = urls[number % urls.length]!;
    const key = keys[Math.floor(number / urls.length) % keys.length]!;
    // Two idempotent reads, then three writes.
    const isIdempotent = number % 5 < 2;
    const operationId = `${name}-${number}`;
    const sentMs = monotonicMs();
    const result = await this.#request(
      `${entryUrl}/s/${service}/x?bytes=${ANSWER_FILLER_BYTES}`,
      {
        method: isIdempotent ? "GET" : "POST",
        headers: {
          [OPERATION_HEADER]: operationId,
          [contracts.KEY_HEADER]: key,
          [contracts.TIMEOUT_HEADER]: String(timeoutMs),
        },
        body: isIdempotent ? undefined : operationId,
      },
      operationId,
    );
    const endMs = monotonicMs();
    return {
      operationId,
      key,
      isIdempotent,
      entryUrl,
      sentMs,
      endMs,
      ...result,
    };
  }

  async #request(
    url: string,
    request: {
      method: "GET" | "POST";
      headers: Record<string, string>;
      body: string | undefined;
    },
    operationId: string,
  ): Promise<
    Pick<CallerRecord, "outcome" | "reason" | "server" | "isOwnAnswer">
  > {
    const signal = AbortSignal.timeout(
      this.#options.timeoutMs + CLIENT_GRACE_MS,
    );
    try {
      const response = await undici.request(url, {
        ...request,
        dispatcher: this.#agent,
        signal,
      });
      const text = await response.body.text();
      const outcome = response.headers[contracts.OUTCOME_HEADER];
      const reason = response.headers[contracts.REASON_HEADER]?.toString();
      if (outcome !== "answered") {
        return {
          outcome: outcome === "not-run" ? "not-run" : "unknown",
          reason,
          server: undefined,
          isOwnAnswer: false,
        };
      }
      return { outcome, reason, ...checkAnswer(text, operationId) };
    } catch (error) {
      return {
        outcome: outcomeOfError(error),
        reason: String(error),
        server: undefined,
        isOwnAnswer: false,
      };
    }
  }
}

function checkAnswer(
  text: string,
  operationId: string,
): { server: string | undefined; isOwnAnswer: boolean } {
  try {
    const answer = JSON.parse(text) as WorkResponseBody;
    const isOwnAnswer = answer.operationId === operationId &&
      answer.filler.length === ANSWER_FILLER_BYTES;
    return { server: answer.server, isOwnAnswer };
  } catch {
    return { server: undefined, isOwnAnswer: false };
  }
}

function outcomeOfError(error: unknown): ReportedOutcome {
  const code = (error as { code?: string }).code;
  return code === "ECONNREFUSED" ? "not-connected" : "unknown";
}
