/** Accepts a platform's clients over HTTP and answers them. */
import type * as contracts from "@guavatide/contracts";
import * as http from "node:http";
import type * as net from "node:net";
import * as timers from "node:timers/promises";
import { requestHeaders } from "../links/header_list.ts";
import type { ServerAnswer } from "../requests/caller_request.ts";
import * as httpServer from "../utils/http_server.ts";
import { FoldedLine } from "../utils/folded_line.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import { LoopLag } from "../utils/loop_lag.ts";
import * as bodies from "../utils/read_body.ts";
import type { PartLog } from "../utils/log.ts";
import {
  type FrontAnswer,
  type FrontRequest,
  notRunAnswer,
  overloadAnswer,
} from "./front_request.ts";
import type { HeaderNames } from "./platform_adapter.ts";

/** Options of {@link FrontListener}. */
export interface FrontListenerOptions extends httpServer.ListenAddress {
  readonly headers: HeaderNames;
  /** Limits in force; undefined before the first configuration. */
  readonly limits: () => contracts.CallerLimits | undefined;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  readonly lifeCycle: LifeCycle;
  readonly log: PartLog;
  readonly connectionLimit: number;
  /** Longest time from the stop signal until the process has to be gone. */
  readonly graceMs: number;
  readonly forward: (request: FrontRequest) => Promise<FrontAnswer>;
}

/**
 * Connections that may wait to be accepted. The event loop accepts one a turn:
 * with the system's default, callers have left by the time their turn comes.
 */
const BACKLOG = 96;
/**
 * A caller that closes so soon after its request was read had left before. For
 * a while, requests then wait for the turn in which a close is read.
 */
const EARLY_CLOSE_MS = 40;
const EARLY_CLOSE_CHECK_MS = 2_000;
/** Largest head of a request; the configuration's limit is checked besides. */
const HEADER_LIMIT_BYTES = 65_536;
/** Limits until the first configuration. */
const DEFAULT_LIMITS: contracts.CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 1_048_576,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Idle connections are kept a little longer than callers reuse them. */
const KEEP_ALIVE_SLACK_MS = 1_000;
/**
 * Part of the grace time after which requests are refused: one that waits for a
 * server could be cut off with its connection.
 */
const ACCEPT_GRACE_RATIO = 0.5;
/** A caller that this VM no longer serves finds another one at once. */
const STOPPING_RETRY_AFTER_MS = 20;
/** Time that the last answers take to leave before connections are closed. */
const FLUSH_MS = 50;
/** Part of the grace time after which idle connections are closed. */
const CLOSE_IDLE_GRACE_RATIO = 0.72;
/** Part of the grace time within which running requests may end. */
const DRAIN_GRACE_RATIO = 0.93;
const DRAIN_CHECK_MS = 20;
/**
 * A VM further behind refuses at once: a refusal takes a fraction of the
 * processor time of a forwarded request.
 */
const SHEDDING_LAG_MS = 400;

/** The listening socket for clients. */
export class FrontListener {
  readonly #options: FrontListenerOptions;
  readonly #server: http.Server;
  readonly #lag = new LoopLag();
  #inFlight = 0;
  #stoppedAtMs = Number.POSITIVE_INFINITY;
  #connections = 0;
  /** When a caller last closed early. */
  #lastEarlyCloseMs = Number.NEGATIVE_INFINITY;
  readonly #shedLine: FoldedLine;
  readonly #stopLine: FoldedLine;

  constructor(options: FrontListenerOptions) {
    this.#options = options;
    this.#lag.start(options.lifeCycle, () => this.#connections === 0);
    this.#shedLine = new FoldedLine(
      options.log,
      "Refuses: the event loop is behind.",
    );
    this.#stopLine = new FoldedLine(options.log, "Refuses: this VM stops.");
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

  /** Puts the configuration's limits in force. */
  applyLimits(): void {
    const limits = this.#limits();
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_SLACK_MS;
  }

  /** Starts to listen. Errors: the address is taken. */
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
    // What is read late has been waiting in the socket, for up to the lag.
    const readMs = this.#options.clock.nowMs();
    const arrivedMs = readMs - lagMs;
    this.#inFlight++;
    const gone = new AbortController();
    const onGone = () => {
      if (response.writableFinished || gone.signal.aborted) return;
      const nowMs = this.#options.clock.nowMs();
      if (nowMs - readMs < EARLY_CLOSE_MS) this.#lastEarlyCloseMs = nowMs;
      gone.abort();
    };
    incoming.socket.once("end", onGone);
    response.once("close", () => {
      incoming.socket.off("end", onGone);
      this.#inFlight--;
      onGone();
    });
    if (
      lagMs > 0 || readMs - this.#lastEarlyCloseMs < EARLY_CLOSE_CHECK_MS
    ) {
      // A close that followed the request is read in the next turn.
      await timers.setImmediate();
      await timers.setImmediate();
      if (gone.signal.aborted) return void response.destroy();
    }
    const answer = this.#refuseAtOnce(readMs, lagMs) ??
      await this.#answer(incoming, {
        arrivedMs,
        lagMs: this.#lag.isLasting ? lagMs : 0,
      }, gone.signal);
    if (response.destroyed) return;
    const mustClose = !incoming.complete || this.#options.lifeCycle.isStopping;
    writeFrontAnswer(response, answer, mustClose);
  }

  /** The answer to a request that is not even read; undefined to any other. */
  #refuseAtOnce(readMs: number, lagMs: number): FrontAnswer | undefined {
    const inFlight = this.#inFlight;
    if (this.#isClosing(readMs)) {
      this.#stopLine.note(readMs, { inFlight });
      return notRunAnswer("Not run: this VM stops", STOPPING_RETRY_AFTER_MS);
    }
    if (lagMs <= SHEDDING_LAG_MS) return undefined;
    this.#shedLine.note(readMs - lagMs, { lagMs: Math.round(lagMs), inFlight });
    return overloadAnswer(this.#options.random);
  }

  async #answer(
    incoming: http.IncomingMessage,
    arrival: Pick<FrontRequest, "arrivedMs" | "lagMs">,
    signal: AbortSignal,
  ): Promise<FrontAnswer> {
    const read = await bodies.readBody(incoming, this.#limits().bodyBytes);
    if (read.kind === "too-large") {
      const message = "The body is larger than the limit";
      return { kind: "own", status: 413, message };
    }
    if (read.kind === "broken") {
      return { kind: "own", status: 400, message: "The body broke off" };
    }
    const { headers: names, forward } = this.#options;
    const { headers } = incoming;
    return forward({
      id: firstValue(headers[names.requestId]) ?? "",
      method: incoming.method ?? "GET",
      target: incoming.url ?? "/",
      host: headers.host ?? "",
      headers: forwardedHeaders(incoming.rawHeaders, names),
      body: read.body,
      key: parseWholeNumber(headers[names.key]),
      deadlineMs: this.#deadlineMs(parseWholeNumber(headers[names.deadlineMs])),
      ...arrival,
      signal,
    });
  }

  /** Whether this VM stops so soon that it takes no more requests. */
  #isClosing(nowMs: number): boolean {
    const { graceMs } = this.#options;
    return nowMs - this.#stoppedAtMs > graceMs * ACCEPT_GRACE_RATIO;
  }

  /** What the caller says, or less when this VM stops before. */
  #deadlineMs(saidMs: number | undefined): number | undefined {
    const { clock, graceMs } = this.#options;
    if (this.#stoppedAtMs === Number.POSITIVE_INFINITY) return saidMs;
    const endMs = this.#stoppedAtMs + graceMs * DRAIN_GRACE_RATIO - FLUSH_MS;
    const leftMs = Math.max(1, Math.floor(endMs - clock.nowMs()));
    return Math.min(saidMs ?? leftMs, leftMs);
  }

  /**
   * Answers on open connections while the balancer takes this VM out, closing
   * each; then closes the idle ones and waits for running requests.
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

/** Writes an answer; one of this VM's own says so by its plain text. */
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
 * Passes on an answer without length as it came: a length would let a caller
 * take the part that a crashed server sent for the whole.
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

/** Headers of a request without those that this system sets itself. */
function forwardedHeaders(
  raw: readonly string[],
  names: HeaderNames,
): string[] {
  const own = new Set([
    names.requestId,
    names.deadlineMs,
    names.expectedServer,
  ]);
  const headers = requestHeaders(raw);
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (own.has(headers[index]!.toLowerCase())) continue;
    kept.push(headers[index]!, headers[index + 1]!);
  }
  return kept;
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
