/** Counters and histograms of an entry process on an outside platform. */
import type * as contracts from "@guavatide/contracts";
import * as http from "node:http";
import { LatencyTally } from "../metrics/latency_tally.ts";
import type { Metrics } from "../metrics/metrics.ts";
import * as httpServer from "../utils/http_server.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PartLog } from "../utils/log.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { RequestStory } from "./request_story.ts";

/** Requests of one route that ended alike, since the last look. */
interface RequestCount {
  readonly service: contracts.ServiceId;
  readonly route: string;
  readonly outcome: string;
  count: number;
}

/**
 * Metrics with the address at which they are read. Until somebody reads them
 * they are plain counts: the library for them takes a seventh of a start and
 * some megabytes, and most processes are never asked.
 */
export class GatewayMetrics {
  readonly #log: PartLog;
  readonly #requests = new Map<string, RequestCount>();
  readonly #latencies = new Map<contracts.ServiceId, LatencyTally>();
  readonly #retries = new Map<contracts.ServiceId, number>();
  #metrics: Promise<Metrics> | undefined;

  constructor(log: PartLog) {
    this.#log = log;
  }

  /** Counts a finished request. */
  note({ service, route, answer, tookMs, attempts }: RequestStory): void {
    const outcome = answer.kind === "own"
      ? `own ${answer.status}`
      : answer.answer.status < 500
      ? "answered"
      : "server failed";
    const name = `${service} ${route} ${outcome}`;
    const known = this.#requests.get(name);
    if (known !== undefined) known.count++;
    else this.#requests.set(name, { service, route, outcome, count: 1 });
    this.#latency(service).note(tookMs);
    const repeats = attempts.length - 1;
    if (repeats <= 0) return;
    this.#retries.set(service, (this.#retries.get(service) ?? 0) + repeats);
  }

  /** Starts to listen on the metrics address. */
  async listen(
    { host, metricsPort }: GatewaySettings,
    lifeCycle: LifeCycle,
  ): Promise<void> {
    const server = http.createServer((request, response) => {
      this.#answer(request, response).catch((error) => {
        this.#log.warn("Metrics can't be read.", { error: String(error) });
        response.destroy();
      });
    });
    lifeCycle.onStop({
      name: "metrics door",
      timeoutMs: 100,
      run: () => {
        server.close();
        server.closeAllConnections();
      },
    });
    await httpServer.listenOn(server, { host, port: metricsPort });
  }

  #latency(service: contracts.ServiceId): LatencyTally {
    const known = this.#latencies.get(service);
    if (known !== undefined) return known;
    const created = new LatencyTally();
    this.#latencies.set(service, created);
    return created;
  }

  async #answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.#metrics ??= import("../metrics/metrics.ts")
      .then((module) => new module.Metrics());
    const metrics = await this.#metrics;
    this.#fill(metrics);
    metrics.handle(request, response);
  }

  /** Hands what was counted since the last look to the library. */
  #fill({ requests, requestMs, retries }: Metrics): void {
    for (const { service, route, outcome, count } of this.#requests.values()) {
      requests.add(count, { service, route, outcome });
    }
    for (const [service, latency] of this.#latencies) {
      latency.drain((tookMs) => requestMs.record(tookMs, { service }));
    }
    for (const [service, count] of this.#retries) {
      retries.add(count, { service });
    }
    this.#requests.clear();
    this.#retries.clear();
  }
}
