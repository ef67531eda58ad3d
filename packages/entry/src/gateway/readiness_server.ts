/** Readiness probe: whether this VM accepts new connections. */
import * as http from "node:http";
import * as httpServer from "../utils/http_server.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { Logger } from "../utils/log.ts";

/** Options of {@link ReadinessServer}. */
export interface ReadinessServerOptions extends httpServer.ListenAddress {
  readonly path: string;
  readonly log: Logger;
  /** Why the VM is not ready; undefined when it is. */
  notReadyReason(): string | undefined;
}

/** Serves readiness probes of the platform's load balancer. */
export class ReadinessServer {
  readonly #options: ReadinessServerOptions;
  #lastReason: string | undefined = "not asked yet";

  constructor(options: ReadinessServerOptions) {
    this.#options = options;
  }

  /**
   * Starts to listen; the last stop steps close it. Errors: the address is in
   * use.
   */
  async listen(lifeCycle: LifeCycle): Promise<void> {
    const server = http.createServer((request, response) =>
      this.#handleProbe(request, response)
    );
    lifeCycle.onStop({
      name: "readiness server",
      timeoutMs: 100,
      run: () => {
        server.close();
        server.closeAllConnections();
      },
    });
    await httpServer.listenOn(server, this.#options);
  }

  #handleProbe(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const reason = this.#options.notReadyReason();
    if (reason !== this.#lastReason) {
      this.#lastReason = reason;
      this.#options.log.info(
        reason === undefined ? "Ready." : "Not ready.",
        { reason },
      );
    }
    const isKnownPath = request.url === this.#options.path;
    const status = !isKnownPath ? 404 : reason === undefined ? 200 : 503;
    response.writeHead(status, { "content-length": "0" });
    response.end();
  }
}
