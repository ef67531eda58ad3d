/** Answers the platform's balancer whether this VM takes new connections. */
import * as http from "node:http";
import * as httpServer from "../utils/http_server.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PartLog } from "../utils/log.ts";

/** Options of {@link ReadinessServer}. */
export interface ReadinessServerOptions extends httpServer.ListenAddress {
  readonly path: string;
  readonly log: PartLog;
  /** Why the VM is not ready; undefined when it is. */
  notReadyReason(): string | undefined;
}

/** Listens for the balancer. */
export class ReadinessServer {
  readonly #options: ReadinessServerOptions;
  #lastReason: string | undefined = "not asked yet";

  constructor(options: ReadinessServerOptions) {
    this.#options = options;
  }

  /** Starts to listen; stays open until the process ends. */
  async listen(lifeCycle: LifeCycle): Promise<void> {
    const server = http.createServer((request, response) =>
      this.#answer(request, response)
    );
    lifeCycle.onStop({
      name: "readiness door",
      timeoutMs: 100,
      run: () => {
        server.close();
        server.closeAllConnections();
      },
    });
    await httpServer.listenOn(server, this.#options);
  }

  #answer(request: http.IncomingMessage, response: http.ServerResponse): void {
    const reason = this.#options.notReadyReason();
    if (reason !== this.#lastReason) {
      this.#lastReason = reason;
      this.#options.log.info(
        reason === undefined ? "Ready." : "Not ready.",
        { reason },
      );
    }
    const isAsked = request.url === this.#options.path;
    const status = !isAsked ? 404 : reason === undefined ? 200 : 503;
    response.writeHead(status, { "content-length": "0" });
    response.end();
  }
}
