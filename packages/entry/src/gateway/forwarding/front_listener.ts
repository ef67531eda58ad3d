/** The HTTP listener for the platform's clients. */
import type * as contracts from "@guavatide/contracts";
import type * as admission from "@guavatide/decisions/admission/mod";
import * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import { requestHeaders } from "../../links/header_list.ts";
import type { ServerAnswer } from "../../requests/caller_request.ts";
import * as httpServer from "../../utils/http_server.ts";
import type { RequestScheduler } from "../../utils/request_scheduler.ts";
import { ThrottledWarning } from "../../utils/throttled_warning.ts";
import type { LifeCycle } from "../../utils/life_cycle.ts";
import * as bodies from "../../utils/read_body.ts";
import type { Logger } from "../../utils/log.ts";
import { BodyAdmission } from "./body_admission.ts";
import {
  type ConnectionEvent,
  FrontConnection,
  type OpenRequest,
  STALLED,
} from "./front_connection.ts";
import {
  type FrontAnswer,
  type FrontRequest,
  type FrontRequestHead,
  notRunAnswer,
  overloadAnswer,
  STOPPING_RETRY_AFTER_MS,
} from "./front_request.ts";
import { UnlengthedPaths } from "./unlengthed_paths.ts";
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
  readonly scheduler: RequestScheduler;
  /** Bytes held by all connections, and the answers being received. */
  readonly heldBytes: admission.HeldBytes;
  readonly count?: (event: ConnectionEvent) => void;
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
/** Time for the last responses to be sent before connections are closed. */
const FLUSH_MS = 50;
/** Fraction of the grace time after which idle connections are closed. */
const CLOSE_IDLE_GRACE_RATIO = 0.72;
/** Fraction of the grace time within which running requests may finish. */
const DRAIN_GRACE_RATIO = 0.93;
const DRAIN_CHECK_MS = 20;
/**
 * Requests that have waited for longer are shed before their body is read: a
 * refusal takes a fraction of the processor time of a forwarded request.
 */
const SHEDDING_LAG_MS = 400;

/** Interval at which stalled connections are sought near the limit. */
const STALL_CHECK_MS = 500;
/**
 * Near the limit of held bytes, a client that neither reads nor sends for this
 * long is given up. At 7 Mbit/s, this time suffices for forty parts.
 */
const STALL_MS = 3_000;
/**
 * Answers are written in parts of this size, so that slow readers can be told
 * from stalled ones.
 */
const ANSWER_PART_BYTES = 65_536;
/**
 * Bytes of answers that a connection may leave unread before its further
 * requests have to wait: one download of the usual size.
 */
const UNWRITTEN_LIMIT_BYTES = 524_288;

const TOO_LARGE: FrontAnswer = {
  kind: "own",
  status: 413,
  message: "The body is larger than the limit",
};

/** The answer to a caller that has disconnected, which is never written. */
const CALLER_GONE: FrontAnswer = {
  kind: "own",
  status: 499,
  message: "The caller has gone",
};

/** Listens for clients and sheds load when the VM is behind. */
export class FrontListener {
  readonly #options: FrontListenerOptions;
  readonly #server: http.Server;
  #inFlight = 0;
  #stoppedAtMs = Number.POSITIVE_INFINITY;
  readonly #connections = new Map<net.Socket, FrontConnection>();
  readonly #unlengthed = new UnlengthedPaths();
  /** When a caller last closed its connection early. */
  #lastEarlyCloseMs = Number.NEGATIVE_INFINITY;
  readonly #shedLog: ThrottledWarning;
  readonly #stopLog: ThrottledWarning;
  readonly #connectionLogs: Record<ConnectionEvent, ThrottledWarning>;
  readonly #bodies: BodyAdmission;

  constructor(options: FrontListenerOptions) {
    this.#options = options;
    options.scheduler.start(
      options.lifeCycle,
      () => this.#connections.size === 0,
    );
    this.#shedLog = new ThrottledWarning(
      options.log,
      "Refuses: the event loop is behind.",
    );
    this.#stopLog = new ThrottledWarning(
      options.log,
      "Refuses requests: this VM is stopping.",
    );
    this.#connectionLogs = {
      "request-not-read": new ThrottledWarning(
        options.log,
        "Leaves pipelined requests unread: their connection closes.",
      ),
      "unlengthed-answer": new ThrottledWarning(
        options.log,
        "Replaces an answer without a length: others follow it.",
      ),
      "body-waited": new ThrottledWarning(
        options.log,
        "Delays request bodies: this VM holds many bytes.",
      ),
      "body-refused": new ThrottledWarning(
        options.log,
        "Refuses request bodies: this VM holds as many bytes as it can.",
      ),
      "slow-reader": new ThrottledWarning(
        options.log,
        "Closes a connection whose client does not read its answers.",
      ),
      "slow-sender": new ThrottledWarning(
        options.log,
        "Refuses a request whose client does not send its body.",
      ),
    };
    this.#bodies = new BodyAdmission({
      held: options.heldBytes,
      largestBodyBytes: () => this.#limits().bodyBytes,
      count: (event) => this.#count(event),
    });
    this.#server = http.createServer({
      maxHeaderSize: HEADER_LIMIT_BYTES,
      requestTimeout: 0,
      connectionsCheckingInterval: 500,
      noDelay: true,
    });
    this.applyLimits();
    this.#server.maxConnections = options.connectionLimit;
    this.#server.on("request", (incoming, response) => {
      this.#connections.get(incoming.socket)?.add(incoming, response);
    });
    // Without this, clients would be told to send bodies that are then refused.
    this.#server.on("checkContinue", (incoming, response) => {
      this.#connections.get(incoming.socket)?.add(incoming, response);
    });
    this.#server.on("connection", (socket: net.Socket) => {
      this.#connections.set(socket, this.#createConnection(socket));
      options.scheduler.noteAccept();
      socket.once("close", () => this.#connections.delete(socket));
    });
    this.#server.on("clientError", (error, socket) => {
      options.log.info("Closes a broken connection.", { error: String(error) });
      const connection = this.#connections.get(socket as net.Socket);
      if (connection === undefined) socket.destroy();
      else connection.breakOff();
    });
  }

  #createConnection(socket: net.Socket): FrontConnection {
    const { clock, lifeCycle, log, heldBytes } = this.#options;
    return new FrontConnection(socket, {
      nowMs: () => clock.nowMs(),
      isStopping: () => lifeCycle.isStopping,
      isUnlengthed: (incoming) => this.#unlengthed.has(incoming, clock.nowMs()),
      noteUnlengthed: (incoming) =>
        this.#unlengthed.note(incoming, clock.nowMs()),
      run: (request) => this.#run(request),
      write: (request, answer, mustClose) =>
        writeFrontAnswer(request, answer, mustClose, heldBytes.isLimited),
      addAnswerBytes: (bytes) => heldBytes.addAnswerBytes(bytes),
      unwrittenLimitBytes: heldBytes.isLimited
        ? UNWRITTEN_LIMIT_BYTES
        : Number.POSITIVE_INFINITY,
      onOpen: () => this.#inFlight++,
      onEnd: () => this.#inFlight--,
      onDisconnect: ({ readMs }) => {
        const nowMs = clock.nowMs();
        if (nowMs - readMs < EARLY_CLOSE_MS) this.#lastEarlyCloseMs = nowMs;
      },
      onError: (error) =>
        log.error("Request failed.", { error: String(error) }),
      count: (event) => this.#count(event),
    });
  }

  #count(event: ConnectionEvent): void {
    const { clock, count, heldBytes } = this.#options;
    count?.(event);
    this.#connectionLogs[event].warn(clock.nowMs(), {
      inFlight: this.#inFlight,
      heldBytes: heldBytes.heldBytes,
    });
  }

  /** Requests that are read and not answered yet. */
  get inFlight(): number {
    return this.#inFlight;
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
    if (this.#options.heldBytes.isLimited) {
      lifeCycle.every(
        STALL_CHECK_MS,
        () => this.#endStalled(),
        "stalled clients",
      );
    }
    const { host, port } = this.#options;
    await httpServer.listenOn(this.#server, { host, port, backlog: BACKLOG });
  }

  #limits(): contracts.CallerLimits {
    return this.#options.limits() ?? DEFAULT_LIMITS;
  }

  /** Near the limit, frees what is held for clients that have stalled. */
  #endStalled(): void {
    const { clock, heldBytes } = this.#options;
    if (!heldBytes.isNearLimit) return;
    const sinceMs = clock.nowMs() - STALL_MS;
    for (const connection of this.#connections.values()) {
      connection.endStalled(sinceMs);
    }
  }

  async #run(request: OpenRequest): Promise<FrontAnswer> {
    const { scheduler, random } = this.#options;
    const { readMs, isFirst, abort } = request;
    const lagMs = scheduler.readLagMs;
    if (
      scheduler.mayHaveWaited ||
      readMs - this.#lastEarlyCloseMs < EARLY_CLOSE_CHECK_MS
    ) {
      // A close that followed the request is read in the next iteration.
      await timers.setImmediate();
      await timers.setImmediate();
      if (abort.signal.aborted) return CALLER_GONE;
    }
    return new Promise((resolve) =>
      scheduler.add({
        isFirst,
        readMs,
        // What is read late may have waited in the socket for as long as the lag.
        begin: () => resolve(this.#begin(request, readMs - lagMs)),
        refuse: () =>
          resolve(abort.signal.aborted ? CALLER_GONE : overloadAnswer(random)),
      })
    );
  }

  async #begin(
    request: OpenRequest,
    arrivedMs: number,
  ): Promise<FrontAnswer> {
    if (request.abort.signal.aborted) return CALLER_GONE;
    const { clock, scheduler } = this.#options;
    const nowMs = clock.nowMs();
    const lagMs = nowMs - arrivedMs;
    return this.#refuseEarly(nowMs, lagMs) ??
      await this.#readAndForward(request, {
        arrivedMs,
        lagMs: scheduler.isSustained ? lagMs : 0,
      });
  }

  /** The refusal of a request whose body isn't read; undefined to accept it. */
  #refuseEarly(nowMs: number, lagMs: number): FrontAnswer | undefined {
    const inFlight = this.#inFlight;
    if (this.#isClosing(nowMs)) {
      this.#stopLog.warn(nowMs, { inFlight });
      return notRunAnswer("Not run: this VM stops", STOPPING_RETRY_AFTER_MS);
    }
    if (lagMs <= SHEDDING_LAG_MS) return undefined;
    this.#shedLog.warn(nowMs, { lagMs: Math.round(lagMs), inFlight });
    return overloadAnswer(this.#options.random);
  }

  async #readAndForward(
    request: OpenRequest,
    arrival: Pick<FrontRequest, "arrivedMs" | "lagMs">,
  ): Promise<FrontAnswer> {
    const { admitBeforeBody, forward } = this.#options;
    const { incoming, abort } = request;
    const head = this.#head(incoming, arrival, abort.signal);
    const refusal = admitBeforeBody?.(head);
    if (refusal !== undefined) return refusal;
    if ((head.bodyBytes ?? 0) > this.#limits().bodyBytes) return TOO_LARGE;
    if (head.bodyBytes === 0) {
      incoming.resume();
      return forward({ ...head, body: undefined });
    }
    const admitted = await this.#bodies.admit(head);
    if (admitted.kind === "refused") return admitted.answer;
    try {
      return await this.#readBody(request, head, admitted.body);
    } finally {
      admitted.body.release();
    }
  }

  async #readBody(
    { incoming, response, bodyAbort: { signal }, noteProgress }: OpenRequest,
    head: FrontRequestHead,
    held: admission.HeldBody,
  ): Promise<FrontAnswer> {
    if (incoming.headers.expect !== undefined) response.writeContinue();
    noteProgress();
    const read = await bodies.readBody(
      incoming,
      this.#limits().bodyBytes,
      { signal, onProgress: noteProgress },
    );
    if (read.kind === "too-large") return TOO_LARGE;
    if (read.kind === "broken") {
      return signal.reason === STALLED
        ? { kind: "own", status: 408, message: "Not run: the body stalled" }
        : { kind: "own", status: 400, message: "The body broke off" };
    }
    held.resize(read.body?.length ?? 0);
    // This VM may have begun to stop while it read the body.
    const deadlineMs = this.#deadlineMs(head.deadlineMs);
    return await this.#options.forward({
      ...head,
      deadlineMs,
      body: read.body,
    });
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

  /** By when all requests have to be answered; infinite before a stop. */
  get endsAtMs(): number {
    return this.#stoppedAtMs + this.#options.graceMs * DRAIN_GRACE_RATIO -
      FLUSH_MS;
  }

  /** The caller's deadline, shortened to the end of this VM's drain. */
  #deadlineMs(requestedMs: number | undefined): number | undefined {
    const leftMs = this.endsAtMs - this.#options.clock.nowMs();
    if (leftMs === Number.POSITIVE_INFINITY) return requestedMs;
    const wholeMs = Math.max(1, Math.floor(leftMs));
    return Math.min(requestedMs ?? wholeMs, wholeMs);
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
    // The HTTP server's own close() destroys connections whose answers are not
    // completely sent yet.
    const closed = new Promise((resolve) =>
      net.Server.prototype.close.call(this.#server, resolve)
    );
    for (const connection of this.#connections.values()) {
      connection.closeIfIdle();
    }
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
  { response, noteProgress }: OpenRequest,
  answer: FrontAnswer,
  mustClose: boolean,
  isInParts: boolean,
): void {
  if (response.destroyed) return;
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
    if (isInParts) writeInParts(response, body, noteProgress);
    else response.end(body);
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

/** Writes a body, each part once the last one has been sent. */
function writeInParts(
  response: http.ServerResponse,
  body: Uint8Array,
  onPartSent: () => void,
): void {
  if (body.length <= ANSWER_PART_BYTES) return void response.end(body);
  response.write(body.subarray(0, ANSWER_PART_BYTES), (error) => {
    if (error) return;
    onPartSent();
    writeInParts(response, body.subarray(ANSWER_PART_BYTES), onPartSent);
  });
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
