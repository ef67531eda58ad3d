/**
 * OpenTelemetry metrics, scraped over HTTP in the Prometheus text format. The
 * name of each instrument ends with its unit, if it has one.
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
  /** Callers' requests by service, outcome and reason. */
  readonly requests: api.Counter;
  /** Milliseconds from a caller's request to its response. */
  readonly requestMs: api.Histogram;
  /** Attempts beyond the first, by service. */
  readonly retries: api.Counter;
  /** Connections to backend servers that were closed, by reason. */
  readonly linksRetired: api.Counter;
  /** Calls to the platform's store by kind and result. */
  readonly storeCalls: api.Counter;
  /**
   * Crashes of servers under requests, by service and event: `crash`, a request
   * `quarantined`, a request `refused`.
   */
  readonly poisonRequests: api.Counter;
  /**
   * Calls to backend servers that limit their requests, by kind: `request`,
   * `grant`, `release`.
   */
  readonly limitedServerCalls: api.Counter;
  /** Calls to servers that have asked this VM to back off, by kind. */
  readonly backoffCalls: api.Counter;
  /**
   * Answers to grants and releases, by kind of call and outcome: `answered`,
   * `discarded` as it is not the call's.
   */
  readonly grantAnswers: api.Counter;
  /**
   * Decisions on hot keys, by service and decision: a key `limited` at its
   * owner, a key `moved` to another one.
   */
  readonly hotKeys: api.Counter;
  /** Decisions on requests to services short of capacity. */
  readonly admissionDecisions: api.Counter;
  /**
   * Requests refused at stalled servers and slots that were not released, by
   * kind: `stall-refusal`, `lost-slot`, `overdue-slot`.
   */
  readonly slotEvents: api.Counter;
  /**
   * Requests that a VM sent for another that didn't reach the server, by role
   * (`asked`, `sent`) and outcome.
   */
  readonly relayedRequests: api.Counter;
  /** Datagrams to other entry VMs by method and by zone crossing. */
  readonly peerDatagrams: api.Counter;
  /** Bytes in datagrams to other entry VMs, by the same labels. */
  readonly peerBytes: api.Counter;
  /** Decisions of the listener for clients, by decision. */
  readonly frontDecisions: api.Counter;
  /** Steps of handovers of slices, by service and step: churn. */
  readonly sliceMoves: api.Counter;
  /** Milliseconds from the start of a slice's handover until its next step. */
  readonly sliceUnavailableMs: api.Histogram;

  constructor() {
    const provider = new sdk.MeterProvider({ readers: [this.#exporter] });
    this.#meter = provider.getMeter("guavatide");
    this.requests = this.#meter.createCounter("guavatide_requests");
    this.retries = this.#meter.createCounter("guavatide_retries");
    this.linksRetired = this.#meter.createCounter("guavatide_links_retired");
    this.storeCalls = this.#meter.createCounter("guavatide_store_calls");
    this.poisonRequests = this.#meter.createCounter(
      "guavatide_poison_requests",
    );
    this.limitedServerCalls = this.#meter.createCounter(
      "guavatide_limited_server_calls",
    );
    this.backoffCalls = this.#meter.createCounter("guavatide_backoff_calls");
    this.grantAnswers = this.#meter.createCounter("guavatide_grant_answers");
    this.hotKeys = this.#meter.createCounter("guavatide_hot_keys");
    this.admissionDecisions = this.#meter.createCounter(
      "guavatide_admission_decisions",
    );
    this.slotEvents = this.#meter.createCounter("guavatide_slot_events");
    this.relayedRequests = this.#meter.createCounter(
      "guavatide_relayed_requests",
    );
    this.peerDatagrams = this.#meter.createCounter("guavatide_peer_datagrams");
    this.peerBytes = this.#meter.createCounter("guavatide_peer_bytes");
    this.frontDecisions = this.#meter.createCounter(
      "guavatide_front_decisions",
    );
    this.sliceMoves = this.#meter.createCounter("guavatide_slice_moves");
    this.requestMs = this.#createLatency("guavatide_request_ms");
    this.sliceUnavailableMs = this.#createLatency(
      "guavatide_slice_unavailable_ms",
    );
  }

  /** Registers a gauge that is read at each scrape. */
  registerGauge(
    name: string,
    description: string,
    read: (result: api.ObservableResult) => void,
  ): void {
    this.#meter.createObservableGauge(name, { description }).addCallback(read);
  }

  /** Serves one scrape. */
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
