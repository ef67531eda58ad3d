/**
 * The administration API's door: listens, tells operators by their tokens and
 * passes on to the routes. Nothing of a request but its headers is read before
 * the token is known.
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
  /** IP number to listen on. */
  readonly host: string;
  /** 0 takes any free port. */
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

/** Requests handled at once; operators are few, and the store is shared. */
const MAX_REQUESTS_IN_FLIGHT = 64;
const STOP_TIMEOUT_MS = 5000;
const CONNECTION_CHECK_INTERVAL_MS = 500;

/** Listens for operators. */
export class AdminServer {
  readonly #options: AdminServerOptions;
  readonly #access: OperatorAuthenticator;
  #inFlight = 0;

  constructor(options: AdminServerOptions) {
    this.#options = options;
    this.#access = new OperatorAuthenticator(options.tokens);
  }

  /** Starts listening and returns the port. Errors: the address is taken. */
  async listen(lifeCycle: LifeCycle): Promise<number> {
    const server = this.#createServer();
    server.maxConnections = this.#options.limits.connections;
    server.on("clientError", answerParserError);
    lifeCycle.onStop({
      name: "administration door",
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

  /** The routes behind their checks, without a socket. */
  createApp(): hono.Hono<ApiEnv> {
    const { dependencies: parts, limits } = this.#options;
    const app = new hono.Hono<ApiEnv>();
    app.use((context, next) => this.#admit(context, next));
    app.use(bodyLimit.bodyLimit({
      maxSize: limits.bodyBytes,
      onError: (context) => {
        const message = `The body is over ${limits.bodyBytes} bytes: send less`;
        return errorResponse(context, { kind: "too-large", message });
      },
    }));
    app.use((context, next) => this.#checkRight(context, next));
    app.route("/v1/objects", createObjectRoutes(parts));
    app.route("/v1/drains", createDrainRoutes(parts));
    app.route("/v1", createPublishRoutes(parts));
    app.route("/v1", createStateRoutes(parts));
    app.notFound((context) => {
      const message = "No such path: see docs/operators/administration.md";
      return errorResponse(context, { kind: "not-found", message });
    });
    app.onError((error, context) => {
      parts.log.error("request failed", { reason: String(error) });
      const message = "The request failed inside: see this VM's log";
      return errorResponse(context, { kind: "internal", message });
    });
    return app;
  }

  /**
   * Lets a request in when its token is known. Every other request gets the
   * same answer, whatever its path, method or token, so that a wrong token
   * learns nothing, not even which paths there are.
   */
  async #admit(
    context: ApiContext,
    next: hono.Next,
  ): Promise<Response | void> {
    const operator = this.#access.authenticate(
      context.req.header("authorization"),
    );
    if (operator === undefined) {
      this.#options.dependencies.log.warn("unknown token refused");
      const message = "Send a known token as Authorization: Bearer";
      context.header("www-authenticate", "Bearer");
      return errorResponse(context, { kind: "unauthorized", message });
    }
    if (this.#inFlight >= MAX_REQUESTS_IN_FLIGHT) {
      const message = "Too many requests at once: come back later";
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

  /** Refuses what the operator's token has no right for. */
  async #checkRight(
    context: ApiContext,
    next: hono.Next,
  ): Promise<Response | void> {
    const { method, path } = context.req;
    const right = requiredRight(method, path);
    const operator = context.get("operator");
    if (operator.hasRight(right)) return await next();
    this.#options.dependencies.log.warn("right refused", {
      operator: operator.name,
      right,
      path,
    });
    const message = `Your token lacks the right "${right}": ask for it`;
    return errorResponse(context, { kind: "forbidden", message });
  }
}

/** The right that a request needs. */
function requiredRight(method: string, path: string): AdministrationRight {
  if (method === "GET" || method === "HEAD") return "read";
  if (path.startsWith("/v1/drains")) return "drain";
  return path === "/v1/publish" ? "publish" : "edit";
}

/** Status of each error that Node's parser reports, besides 400. */
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
