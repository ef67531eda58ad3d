/** Connects the events of the request path to the process's metrics. */
import type { RequestMetrics } from "../requests/request_metrics.ts";
import type { Metrics } from "./metrics.ts";

/** Creates request metrics that record to OpenTelemetry instruments. */
export function createRequestMetrics(
  metrics: Metrics,
): Omit<RequestMetrics, "keyedWork"> {
  return {
    finished(request) {
      metrics.requests.add(1, {
        service: request.service,
        outcome: request.outcome,
        reason: request.reason ?? "",
      });
      metrics.requestMs.record(request.durationMs, {
        service: request.service,
        outcome: request.outcome,
      });
    },
    retried: (service) => metrics.retries.add(1, { service }),
    ejected: (service, server) => {
      metrics.linksRetired.add(1, { service, server, reason: "ejected" });
    },
  };
}
