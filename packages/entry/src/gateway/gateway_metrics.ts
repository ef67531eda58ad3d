/** Counters and histograms of an entry process on an outside platform. */
import * as http from "node:http";
import { Metrics } from "../metrics/metrics.ts";
import * as httpServer from "../utils/http_server.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { RequestStory } from "./request_story.ts";

/** Metrics with the address at which they are read. */
export class GatewayMetrics {
  readonly #metrics = new Metrics();

  /** Counts a finished request. */
  note({ service, route, answer, tookMs, attempts }: RequestStory): void {
    const outcome = answer.kind === "own"
      ? `own ${answer.status}`
      : answer.answer.status < 500
      ? "answered"
      : "server failed";
    this.#metrics.requests.add(1, { service, route, outcome });
    this.#metrics.requestMs.record(tookMs, { service });
    const repeats = attempts.length - 1;
    if (repeats > 0) this.#metrics.retries.add(repeats, { service });
  }

  /** Starts to listen on the metrics address. */
  async listen(
    { host, metricsPort }: GatewaySettings,
    lifeCycle: LifeCycle,
  ): Promise<void> {
    const server = http.createServer((request, response) =>
      this.#metrics.handle(request, response)
    );
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
}
