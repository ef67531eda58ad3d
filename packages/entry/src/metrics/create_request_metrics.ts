/** Binds what the request path reports to the process's instruments. */
import type { RequestMetrics } from "../requests/request_metrics.ts";
import type { Metrics } from "./metrics.ts";

/** Request metrics that count into OpenTelemetry. */
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
