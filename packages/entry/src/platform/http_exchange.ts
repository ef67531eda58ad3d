/** One call over HTTP, and the connection that carries it. */
import type * as http from "node:http";
import * as undici from "undici";
import * as framing from "../utils/answer_framing.ts";
import { isBadAnswer, OverheadLimit } from "../utils/answer_limits.ts";
import {
  InvalidStatusError,
  isFinalStatus,
  isInterimStatus,
} from "../utils/answer_status.ts";
import { BrokenConnectionMonitor } from "../utils/broken_connection.ts";

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
  /** Whether part of it would have been taken for the whole. */
  readonly endsWithConnection: boolean;
  readonly connection: ResponseConnection;
}

/** The connection that a response came over. */
export interface ResponseConnection {
  readonly localPort: number | undefined;
  /** Calls that were written to it before. */
  readonly callsBefore: number;
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

/** How a call ended without a complete response. */
export interface ExchangeFailure {
  readonly kind: HttpCallError["kind"];
  readonly reason: string;
}

/** How a call ended. */
export type ExchangeResult =
  | { readonly kind: "answer"; readonly response: HttpResponse }
  | ExchangeFailure;

/**
 * One request and its response. Its result settles once: undici handles an abort
 * only after the connection is established, so the result is settled first, and
 * a request that has already ended by then is never written.
 */
export class Exchange implements undici.Dispatcher.DispatchHandler {
  /** What it is sent on; undefined before that. */
  connection: ExchangeConnection | undefined;
  readonly result: Promise<ExchangeResult>;
  readonly #deadlineMs: number;
  readonly #mayLeave: HttpRequest["mayLeave"];
  #sentOver: ResponseConnection | undefined;
  #resolve: (result: ExchangeResult) => void = () => {};
  #isEnded = false;
  #receivedAtMs = Number.NEGATIVE_INFINITY;
  readonly #onProgress: (() => void) | undefined;
  #wasSent = false;
  #controller: undici.Dispatcher.DispatchController | undefined;
  #method = "";
  #status = 0;
  #headers: http.IncomingHttpHeaders = {};
  readonly #chunks: Buffer[] = [];

  constructor(
    timeoutMs: number,
    mayLeave: HttpRequest["mayLeave"],
    onProgress?: () => void,
  ) {
    this.#onProgress = onProgress;
    this.#deadlineMs = performance.now() + timeoutMs;
    this.#mayLeave = mayLeave;
    this.result = new Promise((resolve) => this.#resolve = resolve);
  }

  run(
    pool: undici.Pool,
    { method, path, headers, body, isLastOnConnection }: HttpRequest & {
      readonly isLastOnConnection: boolean;
    },
  ): void {
    this.#method = method;
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

  /** Time since a part of the answer's body arrived; infinite before the first. */
  get sinceProgressMs(): number {
    return performance.now() - this.#receivedAtMs;
  }

  /** Whether undici was permitted to write the request. */
  get wasSent(): boolean {
    return this.#wasSent;
  }

  /** Calls that the connection carried before; undefined when not sent. */
  get callsBefore(): number | undefined {
    return this.#sentOver?.callsBefore;
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
    if (this.#mayLeave?.() === false) return this.abort("kept");
    this.#wasSent = true;
    this.#sentOver = this.connection!.startCall();
  }

  onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    status: number,
    headers: http.IncomingHttpHeaders,
  ): void {
    if (!isInterimStatus(status) && !isFinalStatus(status)) {
      return controller.abort(new InvalidStatusError(status));
    }
    this.#status = status;
    this.#headers = headers;
  }

  onResponseData(
    _controller: undici.Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.connection!.addBody(chunk.length);
    this.#chunks.push(chunk);
    this.#receivedAtMs = performance.now();
    this.#onProgress?.();
  }

  onResponseEnd(): void {
    if (this.connection!.isBroken) {
      const reason = "The connection broke before the answer's end";
      return this.#end({ kind: "unreachable", reason });
    }
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
      endsWithConnection: !this.#hasKnownEnd(),
      connection: this.#sentOver!,
    };
    this.#end({ kind: "answer", response });
  }

  #hasKnownEnd(): boolean {
    const coding: string | string[] | undefined =
      this.#headers["transfer-encoding"];
    return framing.hasKnownEnd({
      method: this.#method,
      status: this.#status,
      transferEncoding: Array.isArray(coding) ? coding.at(-1) : coding,
      contentLength: this.#headers["content-length"],
    });
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

/** The pool wraps the handler, but passes options on to its connections. */
interface ExchangeDispatchOptions extends undici.Dispatcher.DispatchOptions {
  readonly exchange: Exchange;
}

/** Options of {@link ExchangeConnection}. */
export type ExchangeConnectionOptions = undici.Client.Options & {
  readonly connect: undici.buildConnector.connector;
};

/**
 * A connection of a pool for exchanges, which limits what it receives and counts
 * its calls. A new one follows when it has ended.
 */
export class ExchangeConnection extends undici.Client {
  readonly #state: ConnectionState;

  constructor(url: URL, options: ExchangeConnectionOptions) {
    const state: ConnectionState = {
      overhead: new OverheadLimit(),
      breaks: undefined,
      localPort: undefined,
      calls: 0,
    };
    super(url, {
      ...options,
      connect: (target, callback) =>
        options.connect(target, (...result) => {
          const [error, socket] = result;
          if (error === null) {
            state.overhead.watch(socket);
            state.breaks = new BrokenConnectionMonitor(socket);
            state.localPort = socket.localPort;
            state.calls = 0;
          }
          callback(...result);
        }),
    });
    this.#state = state;
  }

  override dispatch(
    options: undici.Dispatcher.DispatchOptions,
    handler: undici.Dispatcher.DispatchHandler,
  ): boolean {
    const { exchange } = options as ExchangeDispatchOptions;
    exchange.connection = this;
    return super.dispatch(options, handler);
  }

  /** Called when a call is written. */
  startCall(): ResponseConnection {
    this.#state.overhead.startAnswer();
    const { localPort } = this.#state;
    return { localPort, callsBefore: this.#state.calls++ };
  }

  /** Whether its connection was reset, or failed otherwise. */
  get isBroken(): boolean {
    return this.#state.breaks?.isBroken ?? false;
  }

  /** Bytes of the body of an answer were received. */
  addBody(bytes: number): void {
    this.#state.overhead.addBody(bytes);
  }
}

/** What an {@link ExchangeConnection} holds; set before its constructor ends. */
interface ConnectionState {
  readonly overhead: OverheadLimit;
  /** Of the connection that is open, or was the last one. */
  breaks: BrokenConnectionMonitor | undefined;
  localPort: number | undefined;
  calls: number;
}
