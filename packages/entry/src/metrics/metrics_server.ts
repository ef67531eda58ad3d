/**
 * Monitoring endpoints: `/metrics`, the liveness probe `/healthz` (the event
 * loop runs) for a supervisor, and the readiness probe `/readyz` (a
 * configuration is in force and the process isn't stopping) for a load balancer.
 */
import type * as http from "node:http";
import * as httpServer from "../utils/http_server.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { Metrics } from "./metrics.ts";

const REQUEST_TIMEOUT_MS = 2_000;

/** Options of {@link MetricsServer}. */
export interface MetricsServerOptions {
  /** IP address to listen on. */
  readonly host: string;
  readonly port: number;
  readonly metrics: Metrics;
  readonly tls?: httpServer.ServerTls;
  /** Why the process is not ready; undefined when it is. */
  notReadyReason(): string | undefined;
}

/** HTTP server for scrapes and probes. */
export class MetricsServer {
  readonly #options: MetricsServerOptions;

  constructor(options: MetricsServerOptions) {
    this.#options = options;
  }

  /** Starts to listen and returns the port. Errors: the address is in use. */
  async listen(lifeCycle: LifeCycle): Promise<number> {
    const server = httpServer.createHttpServer({}, this.#options.tls);
    server.on(
      "request",
      (request, response) => this.#answer(request, response),
    );
    server.requestTimeout = REQUEST_TIMEOUT_MS;
    lifeCycle.onStop({
      name: "metrics server",
      timeoutMs: 500,
      run: () => {
        server.close();
        server.closeAllConnections();
      },
    });
    return await httpServer.listenOn(server, this.#options);
  }

  #answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    if (request.url === "/metrics") {
      return this.#options.metrics.handle(request, response);
    }
    if (request.url === "/healthz") return sendText(response, 200, "alive");
    if (request.url === "/readyz") return this.#answerReady(response);
    sendText(response, 404, "Ask /metrics, /healthz or /readyz");
  }

  #answerReady(response: http.ServerResponse): void {
    const reason = this.#options.notReadyReason();
    if (reason === undefined) return sendText(response, 200, "ready");
    sendText(response, 503, reason);
  }
}

function sendText(
  response: http.ServerResponse,
  status: number,
  text: string,
): void {
  response.writeHead(status, { "content-type": "text/plain" });
  response.end(`${text}\n`);
}
