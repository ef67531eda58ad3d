/** The HTTP listener for the platform's clients. */
import type * as contracts from "@guavatide/contracts";
import * as http from "node:http";
import type * as net from "node:net";
import * as timers from "node:timers/promises";
import { requestHeaders } from "../../links/header_list.ts";
import type { ServerAnswer } from "../../requests/caller_request.ts";
import * as httpServer from "../../utils/http_server.ts";
import { ThrottledWarning } from "../../utils/throttled_warning.ts";
import type { LifeCycle } from "../../utils/life_cycle.ts";
import { EventLoopLagMonitor } from "../../utils/event_loop_lag_monitor.ts";
import * as bodies from "../../utils/read_body.ts";
import type { Logger } from "../../utils/log.ts";
import {
  type FrontAnswer,
  type FrontRequest,
  type FrontRequestHead,
  notRunAnswer,
  overloadAnswer,
} from "./front_request.ts";
import type { HeaderNames } from "../platform_adapter.ts";

/** Options of {@link FrontListener}. */
export interface FrontListenerOptions extends httpServer.ListenAddress {
  readonly headers: HeaderNames;
  /** Limits in force; undefined before the first configuration. */
  readonly limits: () => contracts.CallerLimits | undefined;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  readonly lifeCycle: LifeCycle;
  readonly log: Logger;
  readonly connectionLimit: number;
  /** Time from the stop signal until the process is killed. */
  readonly graceMs: number;
  /** The refusal of a request whose body is not read yet; undefined to admit. */
  readonly admitBeforeBody?: (head: FrontRequestHead) =>
    | FrontAnswer
    | undefined;
  readonly forward: (request: FrontRequest) => Promise<FrontAnswer>;
}

/**
 * Connections that may wait to be accepted. The event loop accepts one per
 * iteration: with the longer default backlog, callers would have disconnected
 * before they are accepted.
 */
const BACKLOG = 96;
/**
 * A caller that closes within this time after its request was read had already
 * disconnected when it was read.
 */
const EARLY_CLOSE_MS = 40;
/**
 * For this long after an early close, each request waits for the event loop
 * iteration in which a close would be read.
 */
const EARLY_CLOSE_CHECK_MS = 2_000;
/** Maximum size of a request's headers, besides the configured limit. */
const HEADER_LIMIT_BYTES = 65_536;
/** Limits until the first configuration is in force. */
const DEFAULT_LIMITS: contracts.CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 1_048_576,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Idle connections stay open this much longer than callers reuse them. */
const KEEP_ALIVE_SLACK_MS = 1_000;
/**
 * Fraction of the grace time after which requests are refused: one that still
 * waits for a server could be cut off with its connection.
 */
const ACCEPT_GRACE_RATIO = 0.5;
/** A caller that this VM no longer serves can use another VM at once. */
const STOPPING_RETRY_AFTER_MS = 20;
/** Time for the last responses to be sent before connections are closed. */
const FLUSH_MS = 50;
/** Fraction of the grace time after which idle connections are closed. */
const CLOSE_IDLE_GRACE_RATIO = 0.72;
/** Fraction of the grace time within which running requests may finish. */
const DRAIN_GRACE_RATIO = 0.93;
const DRAIN_CHECK_MS = 20;
/**
 * Above this event loop lag requests are shed before they are read: a refusal
 * takes a fraction of the processor time of a forwarded request.
 */
const SHEDDING_LAG_MS = 400;

/** Listens for clients and sheds load when the event loop lags. */
export class FrontListener {
  readonly #options: FrontListenerOptions;
  readonly #server: http.Server;
  readonly #lag = new EventLoopLagMonitor();
  #inFlight = 0;
  #stoppedAtMs = Number.POSITIVE_INFINITY;
  #connections = 0;
  /** When a caller last closed its connection early. */
  #lastEarlyCloseMs = Number.NEGATIVE_INFINITY;
  readonly #shedLog: ThrottledWarning;
  readonly #stopLog: ThrottledWarning;

  constructor(options: FrontListenerOptions) {
    this.#options = options;
    this.#lag.start(options.lifeCycle, () => this.#connections === 0);
    this.#shedLog = new ThrottledWarning(
      options.log,
      "Refuses: the event loop is behind.",
    );
    this.#stopLog = new ThrottledWarning(
      options.log,
      "Refuses requests: this VM is stopping.",
    );
    this.#server = http.createServer({
      maxHeaderSize: HEADER_LIMIT_BYTES,
      requestTimeout: 0,
      connectionsCheckingInterval: 500,
      noDelay: true,
    });
    this.applyLimits();
    this.#server.maxConnections = options.connectionLimit;
    this.#server.on("request", (incoming, response) => {
      this.#handle(incoming, response).catch((error) => {
        options.log.error("Request failed.", { error: String(error) });
        response.destroy();
      });
    });
    this.#server.on("connection", (socket: net.Socket) => {
      this.#connections++;
      this.#lag.resume();
      socket.once("close", () => this.#connections--);
    });
    this.#server.on("clientError", (error, socket) => {
      options.log.info("Closes a broken connection.", { error: String(error) });
      socket.destroy();
    });
  }

  /** Applies the configured limits to the HTTP server. */
  applyLimits(): void {
    const limits = this.#limits();
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_SLACK_MS;
  }

  /** Starts to listen. Errors: the address is in use. */
  async listen(): Promise<void> {
    const { lifeCycle, graceMs } = this.#options;
    lifeCycle.onStop({
      name: "listener for clients",
      timeoutMs: graceMs,
      run: () => this.#drain(),
    });
    const { host, port } = this.#options;
    await httpServer.listenOn(this.#server, { host, port, backlog: BACKLOG });
  }

  #limits(): contracts.CallerLimits {
    return this.#options.limits() ?? DEFAULT_LIMITS;
  }

  async #handle(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { lagMs } = this.#lag;
    // What is read late may have waited in the socket for as long as the lag.
    const readMs = this.#options.clock.nowMs();
    const arrivedMs = readMs - lagMs;
    this.#inFlight++;
    const callerAbort = new AbortController();
    const onCallerDisconnect = () => {
      if (response.writableFinished || callerAbort.signal.aborted) return;
      const nowMs = this.#options.clock.nowMs();
      if (nowMs - readMs < EARLY_CLOSE_MS) this.#lastEarlyCloseMs = nowMs;
      callerAbort.abort();
    };
    incoming.socket.once("end", onCallerDisconnect);
    response.once("close", () => {
      incoming.socket.off("end", onCallerDisconnect);
      this.#inFlight--;
      onCallerDisconnect();
    });
    if (
      lagMs > 0 || readMs - this.#lastEarlyCloseMs < EARLY_CLOSE_CHECK_MS
    ) {
      // A close that followed the request is read in the next iteration.
      await timers.setImmediate();
      await timers.setImmediate();
      if (callerAbort.signal.aborted) return void response.destroy();
    }
    const answer = this.#refuseEarly(readMs, lagMs) ??
      await this.#readAndForward(incoming, {
        arrivedMs,
        lagMs: this.#lag.isSustained ? lagMs : 0,
      }, callerAbort.signal);
    if (response.destroyed) return;
    const mustClose = !incoming.complete || this.#options.lifeCycle.isStopping;
    writeFrontAnswer(response, answer, mustClose);
  }

  /** The refusal of a request whose body isn't read; undefined to accept it. */
  #refuseEarly(readMs: number, lagMs: number): FrontAnswer | undefined {
    const inFlight = this.#inFlight;
    if (this.#isClosing(readMs)) {
      this.#stopLog.warn(readMs, { inFlight });
      return notRunAnswer("Not run: this VM stops", STOPPING_RETRY_AFTER_MS);
    }
    if (lagMs <= SHEDDING_LAG_MS) return undefined;
    this.#shedLog.warn(readMs - lagMs, { lagMs: Math.round(lagMs), inFlight });
    return overloadAnswer(this.#options.random);
  }

  async #readAndForward(
    incoming: http.IncomingMessage,
    arrival: Pick<FrontRequest, "arrivedMs" | "lagMs">,
    signal: AbortSignal,
  ): Promise<FrontAnswer> {
    const { admitBeforeBody, forward } = this.#options;
    const head = this.#head(incoming, arrival, signal);
    const refusal = admitBeforeBody?.(head);
    if (refusal !== undefined) return refusal;
    const read = await bodies.readBody(incoming, this.#limits().bodyBytes);
    if (read.kind === "too-large") {
      const message = "The body is larger than the limit";
      return { kind: "own", status: 413, message };
    }
    if (read.kind === "broken") {
      return { kind: "own", status: 400, message: "The body broke off" };
    }
    // This VM may have begun to stop while it read the body.
    const deadlineMs = this.#deadlineMs(head.deadlineMs);
    return forward({ ...head, deadlineMs, body: read.body });
  }

  #head(
    incoming: http.IncomingMessage,
    arrival: Pick<FrontRequest, "arrivedMs" | "lagMs">,
    signal: AbortSignal,
  ): FrontRequestHead {
    const { headers: names } = this.#options;
    const { headers } = incoming;
    return {
      id: firstValue(headers[names.requestId]) ?? "",
      method: incoming.method ?? "GET",
      target: incoming.url ?? "/",
      host: headers.host ?? "",
      headers: forwardedHeaders(incoming.rawHeaders, names),
      bodyBytes: bodies.declaredBodyBytes(incoming),
      key: parseWholeNumber(headers[names.key]),
      caller: incoming.socket.remoteAddress ?? "",
      deadlineMs: this.#deadlineMs(parseWholeNumber(headers[names.deadlineMs])),
      ...arrival,
      signal,
    };
  }

  /** Whether the stop is so far advanced that requests are refused. */
  #isClosing(nowMs: number): boolean {
    const { graceMs } = this.#options;
    return nowMs - this.#stoppedAtMs > graceMs * ACCEPT_GRACE_RATIO;
  }

  /** The caller's deadline, shortened to the end of this VM's drain. */
  #deadlineMs(requestedMs: number | undefined): number | undefined {
    const { clock, graceMs } = this.#options;
    if (this.#stoppedAtMs === Number.POSITIVE_INFINITY) return requestedMs;
    const endMs = this.#stoppedAtMs + graceMs * DRAIN_GRACE_RATIO - FLUSH_MS;
    const leftMs = Math.max(1, Math.floor(endMs - clock.nowMs()));
    return Math.min(requestedMs ?? leftMs, leftMs);
  }

  /**
   * While the balancer takes this VM out, serves requests on open connections
   * and closes each connection after its response. Then closes idle connections
   * and waits for running requests.
   */
  async #drain(): Promise<void> {
    const { graceMs, clock, log } = this.#options;
    const startMs = clock.nowMs();
    this.#stoppedAtMs = startMs;
    const closeIdleMs = startMs + graceMs * CLOSE_IDLE_GRACE_RATIO;
    const endMs = startMs + graceMs * DRAIN_GRACE_RATIO;
    while (clock.nowMs() < closeIdleMs) await timers.setTimeout(DRAIN_CHECK_MS);
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#server.closeIdleConnections();
    while (this.#inFlight > 0 && clock.nowMs() < endMs) {
      await timers.setTimeout(DRAIN_CHECK_MS);
    }
    log.info("Listener stops.", { inFlight: this.#inFlight });
    this.#server.closeAllConnections();
    await closed;
  }
}

/** Writes a response; one of this VM's own is plain text. */
function writeFrontAnswer(
  response: http.ServerResponse,
  answer: FrontAnswer,
  mustClose: boolean,
): void {
  response.sendDate = false;
  if (mustClose) response.shouldKeepAlive = false;
  if (answer.kind === "passed-on" && answer.answer.endsWithConnection) {
    return writeWithoutLength(response, answer.answer);
  }
  if (answer.kind === "passed-on") {
    const { status, headers, body } = answer.answer;
    response.writeHead(status, [
      ...headers,
      "Content-Length",
      String(body.length),
    ]);
    response.end(body);
    return;
  }
  const body = Buffer.from(`${answer.message}\n`);
  const head = ["Content-Type", "text/plain"];
  head.push("Content-Length", String(body.length));
  if (answer.retryAfterMs !== undefined) {
    head.push("Retry-After", (answer.retryAfterMs / 1000).toFixed(3));
  }
  response.writeHead(answer.status, head);
  response.end(body);
}

/**
 * Forwards a close-delimited response without a length: with a length, a caller
 * would take the part that a crashed server sent for the whole response.
 */
function writeWithoutLength(
  response: http.ServerResponse,
  { status, headers, body }: ServerAnswer,
): void {
  response.shouldKeepAlive = false;
  response.useChunkedEncodingByDefault = false;
  response.writeHead(status, [...headers]);
  response.write(body);
  response.end();
}

/** Headers of a request without those that the entry VM sets itself. */
function forwardedHeaders(
  raw: readonly string[],
  names: HeaderNames,
): string[] {
  const internal = new Set([
    names.requestId,
    names.deadlineMs,
    names.expectedServer,
  ]);
  const headers = requestHeaders(raw);
  const forwarded: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (internal.has(headers[index]!.toLowerCase())) continue;
    forwarded.push(headers[index]!, headers[index + 1]!);
  }
  return forwarded;
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function parseWholeNumber(
  value: string | string[] | undefined,
): number | undefined {
  const raw = firstValue(value);
  if (raw === undefined || raw.trim() === "") return undefined;
  const number = Number(raw);
  return Number.isFinite(number) ? Math.floor(number) : undefined;
}
