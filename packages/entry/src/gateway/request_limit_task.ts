/** Limits that backend servers in need name, and what this VM sends to them. */
import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import type { LabelledCounts } from "../metrics/labelled_counts.ts";
import type { LifeCycle, PeriodicTask } from "../utils/life_cycle.ts";
import type { Logger } from "../utils/log.ts";
import { ThrottledWarning } from "../utils/throttled_warning.ts";
import type { ServerRegistry } from "./server_registry.ts";

/** Options of {@link RequestLimitTask}. */
export interface RequestLimitTaskOptions {
  readonly registry: Pick<ServerRegistry, "onChange" | "ids">;
  readonly clock: contracts.Clock;
  readonly log: Logger;
  /** Calls to limited servers by kind. */
  readonly counts: LabelledCounts;
}

/** Kinds of calls that reach a server. */
export type ServerCallKind = "request" | "grant" | "release";

type CallCounts = Record<ServerCallKind, number>;

/** Interval of the log lines on calls to limited servers. */
const REPORT_INTERVAL_MS = 1_000;

/** The limits that this VM knows. */
export class RequestLimitTask {
  readonly #options: RequestLimitTaskOptions;
  readonly #limits = new admission.RequestLimits();
  /** Calls to each limited server since the last line on it. */
  readonly #calls = new Map<contracts.ServerId, CallCounts>();
  readonly #malformedLog: ThrottledWarning;
  #reportTask: PeriodicTask | undefined;

  constructor(options: RequestLimitTaskOptions) {
    this.#options = options;
    this.#malformedLog = new ThrottledWarning(
      options.log,
      "Ignored a malformed request limit.",
    );
    options.registry.onChange(() => {
      if (!this.#limits.isEmpty) this.#limits.keepOnly(options.registry.ids());
    });
  }

  /** Starts the periodic work. */
  start(lifeCycle: LifeCycle): void {
    this.#reportTask = lifeCycle.every(
      Number.POSITIVE_INFINITY,
      () => this.#reportCalls(),
    );
  }

  /** The server's limit in force; undefined for none. */
  limitOf(server: contracts.ServerId): admission.RequestLimit | undefined {
    return this.#limits.limitOf(server);
  }

  /**
   * Records what an answer says of its server's limit. `sentAtMs` is when its
   * request was sent.
   */
  noteAnswer(
    server: contracts.ServerId,
    report: contracts.RequestLimitReport | undefined,
    sentAtMs: number,
  ): void {
    if (report === undefined && this.#limits.isEmpty) return;
    const nowMs = this.#options.clock.nowMs();
    if (report?.kind === "malformed") {
      return this.#malformedLog.warn(nowMs, { server, text: report.text });
    }
    const change = this.#limits.recordAnswer(
      server,
      report?.requestsPerSecond,
      { sentAtMs, nowMs },
    );
    this.#follow(server, change, nowMs);
  }

  /** Counts a call that this VM sends. */
  noteCall(server: contracts.ServerId, kind: ServerCallKind): void {
    if (this.#limits.limitOf(server) === undefined) return;
    this.#options.counts.add(1, { kind });
    const calls = this.#calls.get(server);
    if (calls !== undefined) calls[kind]++;
    else {
      this.#calls.set(server, {
        ...{ request: 0, grant: 0, release: 0 },
        [kind]: 1,
      });
    }
  }

  #follow(
    server: contracts.ServerId,
    change: admission.RequestLimitChange,
    nowMs: number,
  ): void {
    if (change === "none" || change === "confirmed") return;
    const { log } = this.#options;
    if (change === "lifted") {
      return log.info("Server no longer limits its requests.", { server });
    }
    this.#reportTask?.setIntervalMs(REPORT_INTERVAL_MS);
    log.info("Server limits its requests.", {
      server,
      ...this.#limitFields(server, nowMs),
    });
  }

  #limitFields(server: contracts.ServerId, nowMs: number) {
    const limit = this.#limits.limitOf(server);
    return {
      requestsPerSecond: limit?.requestsPerSecond,
      limitAgeMs: limit && Math.round(nowMs - limit.confirmedAtMs),
    };
  }

  #reportCalls(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [server, { request, grant, release }] of this.#calls) {
      this.#options.log.info("Calls to a limited server.", {
        server,
        ...this.#limitFields(server, nowMs),
        requests: request,
        grants: grant,
        releases: release,
      });
    }
    this.#calls.clear();
    const isIdle = this.#limits.limited().next().done === true;
    if (isIdle) this.#reportTask?.setIntervalMs(Number.POSITIVE_INFINITY);
  }
}
