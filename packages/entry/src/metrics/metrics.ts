/**
 * Metrics by OpenTelemetry, scraped over HTTP in Prometheus text form. Each
 * instrument's name carries its unit.
 */
import type * as api from "@opentelemetry/api";
import * as prometheus from "@opentelemetry/exporter-prometheus";
import * as sdk from "@opentelemetry/sdk-metrics";
import type * as http from "node:http";
import { LATENCY_BOUNDS_MS } from "./latency_buckets.ts";

/** All instruments of one process. */
export class Metrics {
  readonly #exporter = new prometheus.PrometheusExporter({
    preventServerStart: true,
  });
  readonly #meter: api.Meter;
  /** Requests of callers by service, outcome and reason. */
  readonly requests: api.Counter;
  /** Time from a caller's request to its answer. */
  readonly requestMs: api.Histogram;
  /** Attempts beyond the first. */
  readonly retries: api.Counter;
  /** Connections to backend servers that were closed, by reason. */
  readonly linksRetired: api.Counter;
  /** Calls to the platform's store by kind and result. */
  readonly storeCalls: api.Counter;
  /** Datagrams to other entry VMs by method and way. */
  readonly peerDatagrams: api.Counter;
  /** Their bytes. */
  readonly peerBytes: api.Counter;
  /** Slices that changed owner, by service and reason: churn. */
  readonly sliceMoves: api.Counter;
  /** Time from taking a slice from its owner to giving it to the next. */
  readonly sliceUnavailableMs: api.Histogram;

  constructor() {
    const provider = new sdk.MeterProvider({ readers: [this.#exporter] });
    this.#meter = provider.getMeter("guavatide");
    this.requests = this.#meter.createCounter("guavatide_requests");
    this.retries = this.#meter.createCounter("guavatide_retries");
    this.linksRetired = this.#meter.createCounter("guavatide_links_retired");
    this.storeCalls = this.#meter.createCounter("guavatide_store_calls");
    this.peerDatagrams = this.#meter.createCounter("guavatide_peer_datagrams");
    this.peerBytes = this.#meter.createCounter("guavatide_peer_bytes");
    this.sliceMoves = this.#meter.createCounter("guavatide_slice_moves");
    this.requestMs = this.#createLatency("guavatide_request_ms");
    this.sliceUnavailableMs = this.#createLatency(
      "guavatide_slice_unavailable_ms",
    );
  }

  /** Adds a value that is read at each scrape. */
  registerGauge(
    name: string,
    description: string,
    read: (result: api.ObservableResult) => void,
  ): void {
    this.#meter.createObservableGauge(name, { description }).addCallback(read);
  }

  /** Answers one scrape. */
  handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.#exporter.getMetricsRequestHandler(request, response);
  }

  #createLatency(name: string): api.Histogram {
    return this.#meter.createHistogram(name, {
      unit: "ms",
      advice: { explicitBucketBoundaries: [...LATENCY_BOUNDS_MS] },
    });
  }
}
