/**
 * HTTP server of the administration API: authenticates and authorizes operators
 * and dispatches to the routes. Reads only a request's headers until its token
 * has been accepted.
 */
import * as nodeServer from "@hono/node-server";
import * as hono from "hono";
import * as bodyLimit from "hono/body-limit";
import type * as http from "node:http";
import type * as net from "node:net";
import type {
  AdministrationRight,
  AdministrationToken,
  Settings,
} from "../settings/mod.ts";
import * as httpServer from "../utils/http_server.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import { OperatorAuthenticator } from "./operator_authenticator.ts";
import type { ApiContext, ApiDependencies, ApiEnv } from "./api_context.ts";
import { errorResponse } from "./api_error.ts";
import { createDrainRoutes } from "./drain_routes.ts";
import { createObjectRoutes } from "./object_routes.ts";
import { createPublishRoutes } from "./publish_routes.ts";
import { createStateRoutes } from "./state_routes.ts";

/** Options of {@link AdminServer}. */
export interface AdminServerOptions {
  readonly dependencies: ApiDependencies;
  readonly tokens: readonly AdministrationToken[];
  /** IP address to listen on. */
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  readonly limits: Pick<
    Settings["limits"],
    | "bodyBytes"
    | "headerBytes"
    | "connections"
    | "headerTimeoutMs"
    | "requestTimeoutMs"
    | "keepAliveMs"
  >;
  /** TLS when given, plain HTTP otherwise. */
  readonly certificate?: httpServer.ServerTls;
}

/**
 * Limit of concurrent requests: there are few operators, and the store is
 * shared.
 */
const MAX_REQUESTS_IN_FLIGHT = 64;
const STOP_TIMEOUT_MS = 5000;
const CONNECTION_CHECK_INTERVAL_MS = 500;

/** HTTP server of the administration API. */
export class AdminServer {
  readonly #options: AdminServerOptions;
  readonly #authenticator: OperatorAuthenticator;
  #inFlight = 0;

  constructor(options: AdminServerOptions) {
    this.#options = options;
    this.#authenticator = new OperatorAuthenticator(options.tokens);
  }

  /** Starts listening and returns the port. Rejects when the address is in use. */
  async listen(lifeCycle: LifeCycle): Promise<number> {
    const server = this.#createServer();
    server.maxConnections = this.#options.limits.connections;
    server.on("clientError", answerParserError);
    lifeCycle.onStop({
      name: "administration server",
      timeoutMs: STOP_TIMEOUT_MS,
      run: () => closeServer(server),
    });
    return await httpServer.listenOn(server, this.#options);
  }

  #createServer(): http.Server {
    const { limits, certificate } = this.#options;
    const options = {
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headerTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      keepAliveTimeout: limits.keepAliveMs,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    };
    const { fetch } = this.createApp();
    return httpServer.createHttpServer(options, certificate)
      .on("request", nodeServer.getRequestListener(fetch));
  }

  /** Creates the routes with all middleware, without a socket. */
  createApp(): hono.Hono<ApiEnv> {
    const { dependencies: deps, limits } = this.#options;
    const app = new hono.Hono<ApiEnv>();
    app.use((context, next) => this.#admit(context, next));
    app.use(bodyLimit.bodyLimit({
      maxSize: limits.bodyBytes,
      onError: (context) => {
        const message =
          `The body is larger than ${limits.bodyBytes} bytes: send less`;
        return errorResponse(context, { kind: "too-large", message });
      },
    }));
    app.use((context, next) => this.#authorize(context, next));
    app.route("/v1/objects", createObjectRoutes(deps));
    app.route("/v1/drains", createDrainRoutes(deps));
    app.route("/v1", createPublishRoutes(deps));
    app.route("/v1", createStateRoutes(deps));
    app.notFound((context) => {
      const message = "No such path: see docs/operators/administration.md";
      return errorResponse(context, { kind: "not-found", message });
    });
    app.onError((error, context) => {
      deps.log.error("request failed", { reason: String(error) });
      const message = "Internal error: see this VM's log";
      return errorResponse(context, { kind: "internal", message });
    });
    return app;
  }

  /**
   * Admits a request with a known token while fewer than
   * {@link MAX_REQUESTS_IN_FLIGHT} are in flight. Without a known token the
   * response is the same for every path, method and token, so it reveals
   * nothing, not even which paths exist.
   */
  async #admit(
    context: ApiContext,
    next: hono.Next,
  ): Promise<Response | void> {
    const operator = this.#authenticator.authenticate(
      context.req.header("authorization"),
    );
    if (operator === undefined) {
      this.#options.dependencies.log.warn("request refused: unknown token");
      const message = "Send a known token as Authorization: Bearer";
      context.header("www-authenticate", "Bearer");
      return errorResponse(context, { kind: "unauthorized", message });
    }
    if (this.#inFlight >= MAX_REQUESTS_IN_FLIGHT) {
      const message = "Too many concurrent requests: retry later";
      return errorResponse(context, { kind: "overloaded", message });
    }
    context.set("operator", operator);
    this.#inFlight++;
    try {
      await next();
    } finally {
      this.#inFlight--;
    }
  }

  /** Refuses a request for which the operator's token lacks the right. */
  async #authorize(
    context: ApiContext,
    next: hono.Next,
  ): Promise<Response | void> {
    const { method, path } = context.req;
    const right = requiredRight(method, path);
    const operator = context.get("operator");
    if (operator.hasRight(right)) return await next();
    this.#options.dependencies.log.warn("request refused: missing right", {
      operator: operator.name,
      right,
      path,
    });
    const message = `Your token lacks the right "${right}": ask for it`;
    return errorResponse(context, { kind: "forbidden", message });
  }
}

/** Returns the right that a request requires. */
function requiredRight(method: string, path: string): AdministrationRight {
  if (method === "GET" || method === "HEAD") return "read";
  if (path.startsWith("/v1/drains")) return "drain";
  return path === "/v1/publish" ? "publish" : "edit";
}

/** Status by error code of Node's HTTP parser; all other codes get 400. */
const PARSER_ERROR_STATUS: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
};

function answerParserError(error: Error, socket: net.Socket): void {
  const { code } = error as NodeJS.ErrnoException;
  if (code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  const status = PARSER_ERROR_STATUS[code ?? ""] ?? "400 Bad Request";
  socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\n\r\n`);
}

function closeServer(server: http.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
