/** Backend servers that ask this VM to send them nothing for a time. */
import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import type { LabelledCounts } from "../metrics/labelled_counts.ts";
import type { LifeCycle, PeriodicTask } from "../utils/life_cycle.ts";
import type { Logger } from "../utils/log.ts";
import { ThrottledWarning } from "../utils/throttled_warning.ts";
import type { ServerCallKind } from "./request_limit_task.ts";
import type { ServerRegistry } from "./server_registry.ts";

/** Options of {@link ServerBackoffTask}. */
export interface ServerBackoffTaskOptions {
  readonly registry: Pick<ServerRegistry, "onChange" | "bornMsOf">;
  /** Counts suspensions, which end the time that a server has asked for. */
  readonly clock: contracts.Clock;
  readonly log: Logger;
  /** Calls to servers that have asked for none, by kind. */
  readonly counts: LabelledCounts;
}

type CallCounts = Record<ServerCallKind, number>;

/** Interval of the log lines on calls to servers that have asked for none. */
const REPORT_INTERVAL_MS = 1_000;

/** The servers that this VM leaves alone. */
export class ServerBackoffTask {
  readonly #options: ServerBackoffTaskOptions;
  readonly #backoffs = new admission.ServerBackoffs();
  /** Start of the incarnation that has asked. */
  readonly #bornMs = new Map<contracts.ServerId, number>();
  /** Calls to each such server since the last line on it. */
  readonly #calls = new Map<contracts.ServerId, CallCounts>();
  readonly #malformedLog: ThrottledWarning;
  #reportTask: PeriodicTask | undefined;

  constructor(options: ServerBackoffTaskOptions) {
    this.#options = options;
    this.#malformedLog = new ThrottledWarning(
      options.log,
      "Ignores a Retry-After that is neither seconds nor a date.",
    );
    options.registry.onChange(() => this.#forgetEndedServers());
  }

  /** Starts the periodic work. */
  start(lifeCycle: LifeCycle): void {
    this.#reportTask = lifeCycle.every(
      Number.POSITIVE_INFINITY,
      () => this.#reportCalls(),
    );
  }

  /** Time until a server may be sent to again; 0 when it may be. */
  leftMs(server: contracts.ServerId): number {
    return this.#backoffs.leftMs(server, this.#options.clock.nowMs());
  }

  /** Records an answer. `via` is the peer that relayed its request, if any. */
  noteAnswer(
    { server }: Pick<contracts.RegisteredServer, "server">,
    { retryAfter }: contracts.ServerNotices,
    via?: contracts.VmId,
  ): void {
    const { registry, clock, log } = this.#options;
    const bornMs = registry.bornMsOf(server);
    if (retryAfter === undefined || bornMs === undefined) return;
    const nowMs = clock.nowMs();
    if (retryAfter.kind === "malformed") {
      return this.#malformedLog.warn(nowMs, { server, text: retryAfter.text });
    }
    this.#bornMs.set(server, bornMs);
    const { delayMs } = retryAfter;
    if (!this.#backoffs.recordRequest(server, delayMs, nowMs)) return;
    this.#reportTask?.setIntervalMs(REPORT_INTERVAL_MS);
    log.info("Server asks this VM to back off.", { server, delayMs, via });
  }

  /** Counts a call that this VM sends. */
  noteCall(server: contracts.ServerId, kind: ServerCallKind): void {
    if (this.leftMs(server) === 0) return;
    this.#options.counts.add(1, { kind });
    const calls = this.#calls.get(server) ??
      { request: 0, grant: 0, release: 0 };
    this.#calls.set(server, calls);
    calls[kind]++;
  }

  /** A server that starts again under its id has asked for nothing yet. */
  #forgetEndedServers(): void {
    for (const [server, bornMs] of this.#bornMs) {
      if (this.#options.registry.bornMsOf(server) === bornMs) continue;
      this.#bornMs.delete(server);
      this.#backoffs.forget(server);
    }
  }

  #reportCalls(): void {
    for (const [server, { request, grant, release }] of this.#calls) {
      this.#options.log.info("Calls to a server that asked for none.", {
        server,
        leftMs: Math.round(this.leftMs(server)),
        requests: request,
        grants: grant,
        releases: release,
      });
    }
    this.#calls.clear();
    const isActive = [...this.#backoffs.servers]
      .some((server) => this.leftMs(server) > 0);
    if (!isActive) this.#reportTask?.setIntervalMs(Number.POSITIVE_INFINITY);
  }
}
