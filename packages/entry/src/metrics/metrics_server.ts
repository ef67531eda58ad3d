/**
 * Where monitoring asks: `/metrics`, `/healthz` (the process runs its event
 * loop) and `/readyz` (it can serve requests: a configuration is in force and
 * it is not stopping). A balancer asks `/readyz`; a supervisor `/healthz`.
 */
import type * as http from "node:http";
import * as httpServer from "../utils/http_server.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { Metrics } from "./metrics.ts";

const REQUEST_TIMEOUT_MS = 2_000;

/** Options of {@link MetricsServer}. */
export interface MetricsServerOptions {
  /** IP number to listen on. */
  readonly host: string;
  readonly port: number;
  readonly metrics: Metrics;
  readonly tls?: httpServer.ServerTls;
  /** Why the process is not ready; undefined when it is. */
  notReadyReason(): string | undefined;
}

/** Listens for scrapes and probes. */
export class MetricsServer {
  readonly #options: MetricsServerOptions;

  constructor(options: MetricsServerOptions) {
    this.#options = options;
  }

  /** Starts listening and returns the port. */
  async listen(lifeCycle: LifeCycle): Promise<number> {
    const server = httpServer.createHttpServer({}, this.#options.tls);
    server.on(
      "request",
      (request, response) => this.#answer(request, response),
    );
    server.requestTimeout = REQUEST_TIMEOUT_MS;
    lifeCycle.onStop({
      name: "metrics door",
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
