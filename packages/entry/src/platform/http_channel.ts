/**
 * HTTP client for one server, with a deadline on every call. A connection whose
 * peer has become unreachable still looks open; a call that times out is the
 * only sign. So a timeout retires the whole connection pool, and the next call
 * opens a new connection. The connection of an abandoned call is closed with a
 * TCP reset, so that no bytes of the call are sent after that.
 */
import type { CallOptions } from "@guavatide/contracts";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type * as http from "node:http";
import * as undici from "undici";
import {
  isBadAnswer,
  isUnexpectedBytes,
  OverheadLimit,
} from "../utils/answer_limits.ts";
import {
  READ_AFTER_PAUSE_MS,
  startPauseAwareTimer,
} from "../utils/pause_aware_timer.ts";
import { buildResettingConnector } from "../utils/reset_connection.ts";

const CONNECT_TIMEOUT_MS = 1000;
const MAX_CONNECTIONS = 16;
const MAX_RESPONSE_BYTES = 64 * 1_048_576;

/** Request of a call over an {@link HttpChannel}. */
export interface HttpRequest {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
  /**
   * Called immediately before the request is written to the connection; when it
   * returns false, the request is not sent and the call fails with "kept".
   */
  readonly mayLeave?: (() => boolean) | undefined;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly etag: string | undefined;
  /** Headers by lower-case name. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly bytes: Uint8Array;
  readonly text: string;
  readonly connection: ResponseConnection;
}

/** The connection that a response came over. */
export interface ResponseConnection {
  /**
   * Its local port; undefined for a channel with several connections, of which
   * any may have carried the call.
   */
  readonly localPort: number | undefined;
  /** Calls that were written to it before; of all connections of the channel. */
  readonly callsBefore: number;
}

/** Options of {@link HttpChannel}. */
export interface HttpChannelOptions {
  /** Maximum number of open connections; 16 by default. */
  readonly connections?: number;
  /** Address that connections leave from; the system's choice by default. */
  readonly localAddress?: string | undefined;
  /** Limit on the time to establish a connection; 1 s by default. */
  readonly connectTimeoutMs?: number;
  /**
   * Whether each connection is closed after one call, so that no answer can be
   * that of an earlier call; false by default.
   */
  readonly isOneCallPerConnection?: boolean;
  /**
   * Called when a connection ends as it delivered bytes that are no answer, or
   * an answer when no call was waiting for one.
   */
  readonly onUnexpectedBytes?: (reason: string) => void;
  /** Largest body of a response; 64 MB by default. */
  readonly maxResponseBytes?: number;
}

/**
 * Why a call has no complete response. The call may have taken effect on the
 * server, unless the kind is "kept": then it was not sent.
 */
export interface HttpCallError {
  readonly kind:
    | "timeout"
    | "unreachable"
    /** What came is no response, or exceeds the limits of one. */
    | "bad-answer"
    | "cancelled"
    | "kept";
  readonly message: string;
  /** Whether the call may have reached the server. */
  readonly wasSent: boolean;
  /** Calls that its connection carried before; undefined when it wasn't sent. */
  readonly callsBefore: number | undefined;
}

/** Calls to one server; each has its own deadline. */
export class HttpChannel {
  readonly #origin: string;
  readonly #basePath: string;
  readonly #options: HttpChannelOptions;
  #pool: RefCountedPool;
  /** The current pool and the retired pools that still have calls in flight. */
  readonly #pools = new Set<RefCountedPool>();

  /**
   * Paths of calls are relative to `baseUrl`, for example
   * `http://127.0.0.1:7000/v1`. Throws when it is not a URL.
   */
  constructor(baseUrl: string, options: HttpChannelOptions = {}) {
    const url = new URL(baseUrl);
    this.#options = options;
    this.#origin = url.origin;
    this.#basePath = url.pathname.replace(/\/$/, "");
    this.#pool = this.#openPool();
  }

  /** Sends one request. Errors: {@link HttpCallError}. */
  call(
    request: HttpRequest,
    options: CallOptions,
  ): ResultAsync<HttpResponse, HttpCallError> {
    return new ResultAsync(this.#send(request, options));
  }

  /**
   * Uses none of the open connections for another call; each is reset when its
   * calls have ended.
   */
  dropConnections(): void {
    const dropped = this.#pool;
    this.#pool = this.#openPool();
    this.#closeIfUnused(dropped);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.#pools].map(({ pool }) => pool.destroy()));
  }

  #openPool(): RefCountedPool {
    const connection = new ConnectionRecord(this.#options);
    const opened = {
      pool: openPool(this.#origin, this.#options, connection),
      connection,
      activeCalls: 0,
    };
    this.#pools.add(opened);
    return opened;
  }

  async #send(
    call: HttpRequest,
    { timeoutMs, signal }: CallOptions,
  ): Promise<Result<HttpResponse, HttpCallError>> {
    const pool = this.#pool;
    pool.activeCalls++;
    const exchange = new Exchange(timeoutMs, {
      mayLeave: call.mayLeave,
      connection: pool.connection,
    });
    const deadline = startDeadline(
      Math.max(0, timeoutMs),
      () => exchange.abort("timeout"),
    );
    const onCancel = () => exchange.abort("cancelled");
    signal?.addEventListener("abort", onCancel);
    if (signal?.aborted) onCancel();
    else {
      exchange.run(pool.pool, {
        ...call,
        path: this.#basePath + call.path,
        isLastOnConnection: this.#options.isOneCallPerConnection === true,
      });
    }
    const result = await exchange.result;
    deadline.clear();
    signal?.removeEventListener("abort", onCancel);
    const isTimeout = result.kind === "timeout";
    if (isTimeout && pool === this.#pool) this.#pool = this.#openPool();
    pool.activeCalls--;
    this.#closeIfUnused(pool);
    if (result.kind === "answer") return ok(result.response);
    return err({
      kind: result.kind,
      wasSent: exchange.wasSent,
      callsBefore: exchange.callsBefore,
      message: this.#describe(call, timeoutMs, result),
    });
  }

  /** Closes a retired pool once its last call has ended by its own deadline. */
  #closeIfUnused(retired: RefCountedPool): void {
    if (retired === this.#pool || retired.activeCalls > 0) return;
    this.#pools.delete(retired);
    retired.pool.destroy().catch(() => {});
  }

  #describe(
    request: HttpRequest,
    timeoutMs: number,
    failure: ExchangeFailure,
  ): string {
    const what = `${request.method} ${this.#origin}${this.#basePath}${
      request.path.split("?")[0]
    }`;
    switch (failure.kind) {
      case "timeout":
        return `No response to "${what}" within ${timeoutMs} ms; check that the server responds, or increase the timeout`;
      case "cancelled":
        return `Cancelled the request "${what}"`;
      case "kept":
        return `Did not send "${what}": its sender no longer permits it`;
      case "bad-answer":
        return `Bad response to "${what}": ${failure.reason}; check that the address belongs to the server`;
      case "unreachable":
        return `Request "${what}" failed: ${failure.reason}; check the address and that the server is running`;
    }
  }
}

/** Calls back at a deadline; after a pause, what has arrived is read first. */
function startDeadline(
  timeoutMs: number,
  onDeadline: () => void,
): { clear(): void } {
  let timer = startPauseAwareTimer(timeoutMs, (wasPaused) => {
    if (!wasPaused) return onDeadline();
    timer = setTimeout(onDeadline, READ_AFTER_PAUSE_MS);
  });
  return { clear: () => clearTimeout(timer) };
}

/** A connection pool with the number of its calls in flight. */
interface RefCountedPool {
  readonly pool: undici.Pool;
  readonly connection: ConnectionRecord;
  activeCalls: number;
}

/** Counts the calls on the connection that is open. */
class ConnectionRecord {
  readonly #isOnly: boolean;
  readonly #isOneCall: boolean;
  #localPort: number | undefined;
  #calls = 0;

  constructor({ connections, isOneCallPerConnection }: HttpChannelOptions) {
    this.#isOnly = connections === 1;
    this.#isOneCall = isOneCallPerConnection === true;
  }

  noteOpened(localPort: number | undefined): void {
    if (!this.#isOnly) return;
    this.#localPort = localPort;
    this.#calls = 0;
  }

  noteCall(): ResponseConnection {
    const callsBefore = this.#isOneCall ? 0 : this.#calls++;
    return { localPort: this.#localPort, callsBefore };
  }
}

/** How a call ended without a complete response. */
interface ExchangeFailure {
  readonly kind: HttpCallError["kind"];
  readonly reason: string;
}

type ExchangeResult =
  | { readonly kind: "answer"; readonly response: HttpResponse }
  | ExchangeFailure;

/** Options of {@link Exchange}. */
interface ExchangeOptions {
  readonly mayLeave: HttpRequest["mayLeave"];
  readonly connection: ConnectionRecord;
}

/**
 * One request and its response. Its result settles once: undici handles an abort
 * only after the connection is established, so the result is settled first, and
 * a request that has already ended by then is never written.
 */
class Exchange implements undici.Dispatcher.DispatchHandler {
  /** Of the connection that it is sent on. */
  overhead: OverheadLimit | undefined;
  readonly result: Promise<ExchangeResult>;
  readonly #deadlineMs: number;
  readonly #options: ExchangeOptions;
  #connection: ResponseConnection | undefined;
  #resolve: (result: ExchangeResult) => void = () => {};
  #isEnded = false;
  #wasSent = false;
  #controller: undici.Dispatcher.DispatchController | undefined;
  #status = 0;
  #headers: http.IncomingHttpHeaders = {};
  readonly #chunks: Buffer[] = [];

  constructor(timeoutMs: number, options: ExchangeOptions) {
    this.#deadlineMs = performance.now() + timeoutMs;
    this.#options = options;
    this.result = new Promise((resolve) => this.#resolve = resolve);
  }

  run(
    pool: undici.Pool,
    { method, path, headers, body, isLastOnConnection }: HttpRequest & {
      readonly isLastOnConnection: boolean;
    },
  ): void {
    const options: ExchangeDispatchOptions = {
      method,
      path,
      headers,
      body,
      reset: isLastOnConnection,
      exchange: this,
    };
    pool.dispatch(options, this);
  }

  /** Whether undici was permitted to write the request. */
  get wasSent(): boolean {
    return this.#wasSent;
  }

  /** Calls that the connection carried before; undefined when not sent. */
  get callsBefore(): number | undefined {
    return this.#connection?.callsBefore;
  }

  /** Ends the exchange without a response. */
  abort(kind: ExchangeFailure["kind"], reason: string = kind): void {
    this.#end({ kind, reason });
    this.#controller?.abort(new Error(reason));
  }

  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    this.#controller = controller;
    // With event loop lag, undici may write before the deadline's timer runs.
    const isPastDeadline = performance.now() >= this.#deadlineMs;
    if (this.#isEnded || isPastDeadline) return this.abort("timeout");
    const { mayLeave, connection } = this.#options;
    if (mayLeave?.() === false) return this.abort("kept");
    this.#wasSent = true;
    this.#connection = connection.noteCall();
    this.overhead?.startAnswer();
  }

  onResponseStart(
    _controller: undici.Dispatcher.DispatchController,
    status: number,
    headers: http.IncomingHttpHeaders,
  ): void {
    this.#status = status;
    this.#headers = headers;
  }

  onResponseData(
    _controller: undici.Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.overhead?.addBody(chunk.length);
    this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    const { etag } = this.#headers;
    const bytes = Buffer.concat(this.#chunks);
    const response: HttpResponse = {
      status: this.#status,
      etag,
      headers: this.#headers,
      bytes,
      get text() {
        return bytes.toString();
      },
      connection: this.#connection!,
    };
    this.#end({ kind: "answer", response });
  }

  onResponseError(
    _controller: undici.Dispatcher.DispatchController,
    error: Error,
  ): void {
    const kind = isBadAnswer(error) ? "bad-answer" : "unreachable";
    this.#end({ kind, reason: String(error) });
  }

  #end(result: ExchangeResult): void {
    this.#isEnded = true;
    this.#resolve(result);
  }
}

function openPool(
  origin: string,
  {
    connections = MAX_CONNECTIONS,
    localAddress,
    connectTimeoutMs = CONNECT_TIMEOUT_MS,
    onUnexpectedBytes,
    maxResponseBytes = MAX_RESPONSE_BYTES,
  }: HttpChannelOptions,
  connection: ConnectionRecord,
): undici.Pool {
  const connect = buildResettingConnector({ timeout: connectTimeoutMs });
  const pool = new undici.Pool(origin, {
    connections,
    pipelining: 1,
    localAddress,
    connect: (target, callback) =>
      connect(target, (...result) => {
        connection.noteOpened(result[1]?.localPort);
        callback(...result);
      }),
    // Each call has its own deadline; undici's would interrupt long polls.
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: maxResponseBytes,
    factory: (url, options) =>
      new LimitedClient(url, options as LimitedClientOptions),
  });
  pool.on("disconnect", (_origin, _targets, error) => {
    if (isUnexpectedBytes(error)) onUnexpectedBytes?.(error.message);
  });
  return pool;
}

/** The pool wraps the handler, but passes options on to its connections. */
interface ExchangeDispatchOptions extends undici.Dispatcher.DispatchOptions {
  readonly exchange: Exchange;
}

type LimitedClientOptions = undici.Client.Options & {
  readonly connect: undici.buildConnector.connector;
};

/** A connection of a pool for exchanges, with limits on what it receives. */
class LimitedClient extends undici.Client {
  readonly #overhead: OverheadLimit;

  constructor(url: URL, options: LimitedClientOptions) {
    const overhead = new OverheadLimit();
    super(url, {
      ...options,
      connect: (target, callback) =>
        options.connect(target, (...result) => {
          const [error, socket] = result;
          if (error === null) overhead.watch(socket);
          callback(...result);
        }),
    });
    this.#overhead = overhead;
  }

  override dispatch(
    options: undici.Dispatcher.DispatchOptions,
    handler: undici.Dispatcher.DispatchHandler,
  ): boolean {
    const { exchange } = options as ExchangeDispatchOptions;
    exchange.overhead = this.#overhead;
    return super.dispatch(options, handler);
  }
}
