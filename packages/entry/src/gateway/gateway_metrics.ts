/** Counters and histograms of an entry process on an external platform. */
import type * as contracts from "@guavatide/contracts";
import * as http from "node:http";
import { LabelledCounts } from "../metrics/labelled_counts.ts";
import { LatencyBuckets } from "../metrics/latency_buckets.ts";
import type { Metrics } from "../metrics/metrics.ts";
import * as httpServer from "../utils/http_server.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { Logger } from "../utils/log.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { RequestRecord } from "./forwarding/request_log.ts";

/**
 * Metrics and their endpoint. The metrics library is slow to load, so values
 * are plain counts until the first scrape.
 */
export class GatewayMetrics {
  readonly #log: Logger;
  readonly #requests = new LabelledCounts();
  readonly #latencies = new Map<contracts.ServiceId, LatencyBuckets>();
  readonly #retries = new LabelledCounts();
  /** Calls to the platform's store. */
  readonly storeCalls = new LabelledCounts();
  /** Crashes under requests, and what followed from them. */
  readonly poisonRequests = new LabelledCounts();
  /** Calls to servers that limit their requests, by kind. */
  readonly limitedServerCalls = new LabelledCounts();
  /** Calls to servers that have asked this VM to back off, by kind. */
  readonly backoffCalls = new LabelledCounts();
  /** Answers to grants and releases, by kind of call and outcome. */
  readonly grantAnswers = new LabelledCounts();
  /** Decisions on hot keys, by service and decision. */
  readonly hotKeys = new LabelledCounts();
  /** Requests refused at stalled servers, and slots that were not released. */
  readonly slotEvents = new LabelledCounts();
  /** Requests sent over peers or for them, by role and outcome. */
  readonly relayedRequests = new LabelledCounts();
  /** Decisions on requests to services short of capacity. */
  readonly admissionDecisions = new LabelledCounts();
  /** Datagrams to peers. */
  readonly peerDatagrams = new LabelledCounts();
  /** Bytes in datagrams to peers. */
  readonly peerBytes = new LabelledCounts();
  /** Decisions of the listener for clients. */
  readonly frontDecisions = new LabelledCounts();
  #metrics: Promise<Metrics> | undefined;

  constructor(log: Logger) {
    this.#log = log;
  }

  /** Counts a finished request. */
  recordRequest(
    { service, route, answer, tookMs, attempts }: RequestRecord,
  ): void {
    const outcome = answer.kind === "own"
      ? `own ${answer.status}`
      : answer.answer.status < 500
      ? "answered"
      : "server failed";
    this.#requests.add(1, { service, route, outcome });
    this.#latency(service).record(tookMs);
    const retryCount = attempts.length - 1;
    if (retryCount > 0) this.#retries.add(retryCount, { service });
  }

  /** Starts to listen on the metrics address. Errors: the address is in use. */
  async listen(
    { host, metricsPort }: GatewaySettings,
    lifeCycle: LifeCycle,
  ): Promise<void> {
    const server = http.createServer((request, response) => {
      this.#handleScrape(request, response).catch((error) => {
        this.#log.warn("Metrics scrape failed.", { error: String(error) });
        response.destroy();
      });
    });
    lifeCycle.onStop({
      name: "metrics server",
      timeoutMs: 100,
      run: () => {
        server.close();
        server.closeAllConnections();
      },
    });
    await httpServer.listenOn(server, { host, port: metricsPort });
  }

  #latency(service: contracts.ServiceId): LatencyBuckets {
    const known = this.#latencies.get(service);
    if (known !== undefined) return known;
    const created = new LatencyBuckets();
    this.#latencies.set(service, created);
    return created;
  }

  async #handleScrape(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.#metrics ??= import("../metrics/metrics.ts")
      .then((module) => new module.Metrics());
    const metrics = await this.#metrics;
    this.#drainInto(metrics);
    metrics.handle(request, response);
  }

  /** Adds what was counted since the last scrape to the library's metrics. */
  #drainInto(metrics: Metrics): void {
    const tables = [
      [this.#requests, metrics.requests],
      [this.#retries, metrics.retries],
      [this.storeCalls, metrics.storeCalls],
      [this.poisonRequests, metrics.poisonRequests],
      [this.limitedServerCalls, metrics.limitedServerCalls],
      [this.backoffCalls, metrics.backoffCalls],
      [this.grantAnswers, metrics.grantAnswers],
      [this.hotKeys, metrics.hotKeys],
      [this.admissionDecisions, metrics.admissionDecisions],
      [this.slotEvents, metrics.slotEvents],
      [this.relayedRequests, metrics.relayedRequests],
      [this.peerDatagrams, metrics.peerDatagrams],
      [this.peerBytes, metrics.peerBytes],
      [this.frontDecisions, metrics.frontDecisions],
    ] as const;
    for (const [counts, counter] of tables) {
      counts.drain((count, labels) => counter.add(count, labels));
    }
    for (const [service, latency] of this.#latencies) {
      latency.drain((tookMs) => metrics.requestMs.record(tookMs, { service }));
    }
  }
}
