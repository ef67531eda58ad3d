/** HTTP listener for callers: reads requests, has them routed and answers. */
import type * as contracts from "@guavatide/contracts";
import * as names from "@guavatide/contracts";
import type * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import * as httpServer from "../utils/http_server.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { RequestScheduler } from "../utils/request_scheduler.ts";
import {
  type CallerAnswer,
  type CallerRequest,
  notRun,
} from "./caller_request.ts";
import { readBody, readHead } from "./read_request.ts";
import type { RequestSettings } from "./request_settings.ts";
import { rawErrorResponse, writeAnswer } from "./write_answer.ts";

/** Options of {@link CallerListener}. */
export interface CallerListenerOptions {
  readonly settings: RequestSettings;
  readonly tls?: httpServer.ServerTls;
  readonly clock: contracts.Clock;
  readonly lifeCycle: LifeCycle;
  readonly scheduler: RequestScheduler;
  /** Routes one fully read request; see `RequestRouter.route`. */
  readonly route: (request: CallerRequest) => Promise<CallerAnswer>;
}

/** Interval at which Node checks the header and request timeouts. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Interval at which a graceful stop checks for open connections. */
const DRAIN_POLL_INTERVAL_MS = 20;

/** Listens for callers and limits connections, sizes and requests in flight. */
export class CallerListener {
  readonly #options: CallerListenerOptions;
  readonly #server: http.Server;
  /**
   * Number of requests being routed, by connection. Bytes that follow such a
   * request may fail to parse, for example because its declared length was too
   * short. The caller would read a "not run" answer to them as the answer to
   * the first request, which may have run.
   */
  readonly #routedCounts = new WeakMap<object, number>();
  /** Connections with a parse error; none of their requests is routed. */
  readonly #brokenConnections = new WeakSet<object>();
  /** Connections of which a request was read. */
  readonly #knownConnections = new WeakSet<object>();
  #inFlight = 0;
  /** Set when the linger time of a stop is over: new requests are refused. */
  #isClosing = false;
  #onIdle: (() => void) | undefined;

  constructor(options: CallerListenerOptions) {
    this.#options = options;
    const { settings } = options;
    this.#server = httpServer.createHttpServer({
      maxHeaderSize: settings.headerLimitBytes,
      headersTimeout: settings.headersTimeoutMs,
      requestTimeout: settings.requestTimeoutMs,
      keepAliveTimeout: settings.keepAliveTimeoutMs,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    }, options.tls);
    this.#server.maxConnections = settings.connectionLimit;
    this.#server.on("connection", () => options.scheduler.noteAccept());
    this.#server.on("request", (incoming, response) => {
      this.#handle(incoming, response).catch(() => response.destroy());
    });
    this.#server.on("clientError", (error, socket) => {
      this.#brokenConnections.add(socket);
      if ((this.#routedCounts.get(socket) ?? 0) > 0) socket.destroy();
      else answerParseError(error, socket as net.Socket);
    });
  }

  /** Number of requests being read, routed or answered. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /**
   * Starts to listen and returns the port.
   * Errors: rejects when the address is in use.
   */
  listen(): Promise<number> {
    const { settings, lifeCycle } = this.#options;
    lifeCycle.onStop({
      name: "listener for callers",
      timeoutMs: settings.drainTimeoutMs,
      run: () => this.#drain(),
    });
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(settings.port, settings.host, () => {
        this.#server.off("error", reject);
        resolve((this.#server.address() as net.AddressInfo).port);
      });
    });
  }

  async #handle(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const arrivedMs = this.#options.clock.nowMs();
    this.#inFlight++;
    const callerGone = new AbortController();
    response.once("close", () => {
      this.#inFlight--;
      if (!response.writableFinished) callerGone.abort();
      if (this.#inFlight === 0) this.#onIdle?.();
    });
    const answer = await this.#answer(incoming, {
      arrivedMs,
      signal: callerGone.signal,
    });
    // The rest of a refused body is not read, so the connection can't carry
    // another request.
    const mustClose = !incoming.complete || this.#options.lifeCycle.isStopping;
    if (!response.destroyed) writeAnswer(response, answer, { mustClose });
  }

  async #answer(
    incoming: http.IncomingMessage,
    options: { readonly arrivedMs: number; readonly signal: AbortSignal },
  ): Promise<CallerAnswer> {
    const { settings } = this.#options;
    if (this.#isClosing) {
      return notRun("shutting-down", {
        message: "This entry VM is stopping; send the request again",
      });
    }
    if (this.#inFlight > settings.inFlightLimit) {
      return notRun("queue-full", {
        message: "Too many requests are in flight; come back later",
      });
    }
    if (!await this.#begins(incoming.socket, options.arrivedMs)) {
      return notRun("queue-full", {
        message: "This entry VM is behind; come back later",
      });
    }
    const head = readHead(incoming);
    if (head.isErr()) return head.error;
    const body = await readBody(incoming, settings.bodyLimitBytes);
    if (body.isErr()) return body.error;
    if (this.#brokenConnections.has(incoming.socket)) {
      return notRun("bad-request", { message: "The connection is broken" });
    }
    return this.#route(incoming.socket, {
      ...head.value,
      ...options,
      body: body.value,
    });
  }

  /** Resolves when a request may begin; to false if too many others wait. */
  #begins(socket: net.Socket, readMs: number): Promise<boolean> {
    const isFirst = !this.#knownConnections.has(socket);
    this.#knownConnections.add(socket);
    return new Promise((resolve) =>
      this.#options.scheduler.add({
        isFirst,
        readMs,
        begin: () => resolve(true),
        refuse: () => resolve(false),
      })
    );
  }

  async #route(
    socket: net.Socket,
    request: CallerRequest,
  ): Promise<CallerAnswer> {
    this.#routedCounts.set(socket, (this.#routedCounts.get(socket) ?? 0) + 1);
    try {
      return await this.#options.route(request);
    } finally {
      this.#routedCounts.set(socket, this.#routedCounts.get(socket)! - 1);
    }
  }

  /**
   * Keeps answering for the linger time and closes each connection with its
   * next answer; then stops listening, and closes idle connections last. If a
   * connection is closed while a request is in transit on it, the caller gets
   * no answer and can't know whether the request ran.
   */
  async #drain(): Promise<void> {
    const { lingerMs } = this.#options.settings;
    await this.#waitForConnections(lingerMs);
    // Lets the event loop accept all pending connections first: the operating
    // system resets those still in the backlog when the port closes.
    await timers.setImmediate();
    const closed = this.#stopListening();
    await this.#waitForConnections(lingerMs / 2);
    this.#isClosing = true;
    this.#server.closeIdleConnections();
    if (this.#inFlight > 0) {
      await new Promise<void>((resolve) => {
        this.#onIdle = resolve;
      });
    }
    this.#server.closeAllConnections();
    await closed;
    // Stops the server's internal timers; the port is already closed.
    this.#server.close(() => {});
  }

  /**
   * Closes only the listening port; `http.Server.close` would also end idle
   * connections.
   */
  #stopListening(): Promise<void> {
    return new Promise((resolve) => {
      net.Server.prototype.close.call(this.#server, () => resolve());
    });
  }

  /** Resolves when no connection is open, or after the given time. */
  async #waitForConnections(timeMs: number): Promise<void> {
    const { clock } = this.#options;
    const endMs = clock.nowMs() + timeMs;
    while (clock.nowMs() < endMs && await this.#countConnections() > 0) {
      await timers.setTimeout(DRAIN_POLL_INTERVAL_MS);
    }
  }

  #countConnections(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.getConnections((error, count) =>
        resolve(error === null ? count : 0)
      );
    });
  }
}

/** HTTP status by error code of Node's parser; 400 for all others. */
const PARSE_ERROR_STATUS: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_HEADER_OVERFLOW: 431,
};

function answerParseError(error: Error, socket: net.Socket): void {
  const { code } = error as NodeJS.ErrnoException;
  const isConnectionGone = code === "ECONNRESET" || !socket.writable;
  if (isConnectionGone) {
    socket.destroy();
    return;
  }
  const status = PARSE_ERROR_STATUS[code ?? ""] ?? 400;
  socket.end(rawErrorResponse(status, {
    [names.OUTCOME_HEADER]: "not-run",
    [names.REASON_HEADER]: "bad-request",
  }));
}
