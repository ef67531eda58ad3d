/** Accepts callers over HTTP and answers them. */
import type * as contracts from "@guavatide/contracts";
import * as names from "@guavatide/contracts";
import type * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import * as httpServer from "../utils/http_server.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
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
  /** Handles one whole request; see `RequestRouter`. */
  readonly route: (request: CallerRequest) => Promise<CallerAnswer>;
}

/** Interval at which Node looks for requests that arrive too slowly. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Interval at which a stop looks whether connections are left. */
const DRAIN_POLL_INTERVAL_MS = 20;

/** The listening socket for callers. */
export class CallerListener {
  readonly #options: CallerListenerOptions;
  readonly #server: http.Server;
  /**
   * Requests handed on, by connection. What comes after one may be broken, for
   * example by a length that was declared too short. An answer "not run" to
   * that would be read as the first request's, which may have run.
   */
  readonly #routed = new WeakMap<object, number>();
  /** Connections that were told "not run"; nothing of theirs is handed on. */
  readonly #broken = new WeakSet<object>();
  #inFlight = 0;
  /** The linger of a stop is over: what still comes is refused. */
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
    this.#server.on("request", (incoming, response) => {
      this.#handle(incoming, response).catch(() => response.destroy());
    });
    this.#server.on("clientError", (error, socket) => {
      this.#broken.add(socket);
      if ((this.#routed.get(socket) ?? 0) > 0) socket.destroy();
      else answerParseError(error, socket as net.Socket);
    });
  }

  /** Requests being read, routed or answered. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Starts to listen. Returns the port. Errors: the address is taken. */
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
    const gone = new AbortController();
    response.once("close", () => {
      this.#inFlight--;
      if (!response.writableFinished) gone.abort();
      if (this.#inFlight === 0) this.#onIdle?.();
    });
    const answer = await this.#answer(incoming, {
      arrivedMs,
      signal: gone.signal,
    });
    // A body that was refused is not read to its end, so the connection can't
    // carry another request.
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
    const head = readHead(incoming);
    if (head.isErr()) return head.error;
    const body = await readBody(incoming, settings.bodyLimitBytes);
    if (body.isErr()) return body.error;
    if (this.#broken.has(incoming.socket)) {
      return notRun("bad-request", { message: "The connection is broken" });
    }
    return this.#route(incoming.socket, {
      ...head.value,
      ...options,
      body: body.value,
    });
  }

  async #route(
    socket: net.Socket,
    request: CallerRequest,
  ): Promise<CallerAnswer> {
    this.#routed.set(socket, (this.#routed.get(socket) ?? 0) + 1);
    try {
      return await this.#options.route(request);
    } finally {
      this.#routed.set(socket, this.#routed.get(socket)! - 1);
    }
  }

  /**
   * Answers as usual for a while, ending each connection with its answer; then
   * stops listening, and closes idle connections last. A connection that is
   * closed while a request is on its way to it leaves the caller without an
   * answer, and not knowing whether the request ran.
   */
  async #drain(): Promise<void> {
    const { lingerMs } = this.#options.settings;
    await this.#lingerFor(lingerMs);
    // Right after the loop has taken all connections that were waiting: the
    // system resets those that wait when the port closes.
    await timers.setImmediate();
    const closed = this.#stopListening();
    await this.#lingerFor(lingerMs / 2);
    this.#isClosing = true;
    this.#server.closeIdleConnections();
    if (this.#inFlight > 0) {
      await new Promise<void>((resolve) => {
        this.#onIdle = resolve;
      });
    }
    this.#server.closeAllConnections();
    await closed;
    // Ends the server's own timers; the port is closed already.
    this.#server.close(() => {});
  }

  /** Closes the port alone: the HTTP server's close ends connections too. */
  #stopListening(): Promise<void> {
    return new Promise((resolve) => {
      net.Server.prototype.close.call(this.#server, () => resolve());
    });
  }

  /** Returns when no connection is left, or after the time. */
  async #lingerFor(timeMs: number): Promise<void> {
    const { clock } = this.#options;
    const endMs = clock.nowMs() + timeMs;
    while (clock.nowMs() < endMs && await this.#connections() > 0) {
      await timers.setTimeout(DRAIN_POLL_INTERVAL_MS);
    }
  }

  #connections(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.getConnections((error, count) =>
        resolve(error === null ? count : 0)
      );
    });
  }
}

/** Status of each error that Node's parser reports, besides 400. */
const PARSE_ERROR_STATUS: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_HEADER_OVERFLOW: 431,
};

function answerParseError(error: Error, socket: net.Socket): void {
  const { code } = error as NodeJS.ErrnoException;
  const hasNoReader = code === "ECONNRESET" || !socket.writable;
  if (hasNoReader) {
    socket.destroy();
    return;
  }
  const status = PARSE_ERROR_STATUS[code ?? ""] ?? 400;
  socket.end(rawErrorResponse(status, {
    [names.OUTCOME_HEADER]: "not-run",
    [names.REASON_HEADER]: "bad-request",
  }));
}
