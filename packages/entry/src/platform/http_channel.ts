/**
 * One HTTP peer of the platform with a deadline on every call. A connection
 * that may have gone silent for good looks open: the only sign is a call that
 * runs out of time. So after a timeout every connection of that moment is
 * retired, and the next call opens a new one. The connection of a call that was
 * given up ends with a reset, so that its bytes leave by then or never.
 */
import type { CallOptions } from "@guavatide/contracts";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type * as http from "node:http";
import * as undici from "undici";
import { buildResettingConnector } from "../utils/reset_connection.ts";

const CONNECT_TIMEOUT_MS = 1000;
const MAX_CONNECTIONS = 16;
const MAX_RESPONSE_BYTES = 64 * 1_048_576;

/** A call over an {@link HttpChannel}. */
export interface HttpRequest {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Called right before the bytes leave; false keeps them here. */
  readonly mayLeave?: (() => boolean) | undefined;
}

/** A whole answer. */
export interface HttpResponse {
  readonly status: number;
  readonly etag: string | undefined;
  /** Headers by their names in lower case. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** Options of {@link HttpChannel}. */
export interface HttpChannelOptions {
  /** Connections at once. */
  readonly connections?: number;
}

/** Why there is no whole answer. The call may have taken effect unless kept. */
export interface HttpCallError {
  readonly kind: "timeout" | "unreachable" | "cancelled" | "kept";
  readonly message: string;
}

/** Calls to one address; each has its deadline. */
export class HttpChannel {
  readonly #origin: string;
  readonly #basePath: string;
  readonly #options: HttpChannelOptions;
  #pool: RefCountedPool;
  /** Every pool that has not ended: the present one and retired ones. */
  readonly #pools = new Set<RefCountedPool>();

  /** Calls go below `baseUrl`, for example `http://127.0.0.1:7000/v1`. */
  constructor(baseUrl: string, options: HttpChannelOptions = {}) {
    const url = new URL(baseUrl);
    this.#options = options;
    this.#origin = url.origin;
    this.#basePath = url.pathname.replace(/\/$/, "");
    this.#pool = this.#open();
  }

  /** Sends one call. Errors: {@link HttpCallError}. */
  call(
    call: HttpRequest,
    options: CallOptions,
  ): ResultAsync<HttpResponse, HttpCallError> {
    return new ResultAsync(this.#send(call, options));
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await Promise.all([...this.#pools].map(({ pool }) => pool.destroy()));
  }

  #open(): RefCountedPool {
    const opened = { pool: openPool(this.#origin, this.#options), calls: 0 };
    this.#pools.add(opened);
    return opened;
  }

  async #send(
    call: HttpRequest,
    { timeoutMs, signal }: CallOptions,
  ): Promise<Result<HttpResponse, HttpCallError>> {
    const by = this.#pool;
    by.calls++;
    const exchange = new Exchange(timeoutMs, call.mayLeave);
    const timer = setTimeout(
      () => exchange.abort("timeout"),
      Math.max(0, timeoutMs),
    );
    const onCancel = () => exchange.abort("cancelled");
    signal?.addEventListener("abort", onCancel);
    if (signal?.aborted) onCancel();
    else exchange.run(by.pool, { ...call, path: this.#basePath + call.path });
    const end = await exchange.result;
    clearTimeout(timer);
    signal?.removeEventListener("abort", onCancel);
    const isTimeout = end.kind === "timeout";
    if (isTimeout && by === this.#pool) this.#pool = this.#open();
    by.calls--;
    this.#endRetired(by);
    if (end.kind === "answer") return ok(end.answer);
    return err({
      kind: end.kind,
      message: this.#describe(call, timeoutMs, end),
    });
  }

  /** Ends an old pool; its other calls are left to their own deadlines. */
  #endRetired(retired: RefCountedPool): void {
    if (retired === this.#pool || retired.calls > 0) return;
    this.#pools.delete(retired);
    retired.pool.destroy().catch(() => {});
  }

  #describe(
    call: HttpRequest,
    timeoutMs: number,
    end: ExchangeFailure,
  ): string {
    const what = `${call.method} ${this.#origin}${this.#basePath}${
      call.path.split("?")[0]
    }`;
    switch (end.kind) {
      case "timeout":
        return `No answer to "${what}" within ${timeoutMs} ms; check that the address answers, or allow more time`;
      case "cancelled":
        return `Cancelled "${what}"`;
      case "kept":
        return `Kept back "${what}": it was not to leave any more`;
      case "unreachable":
        return `Failed "${what}": ${end.reason}; check the address and that the other side runs`;
    }
  }
}

/** A pool with the number of its calls under way. */
interface RefCountedPool {
  readonly pool: undici.Pool;
  calls: number;
}

/** How a call ended without a whole answer. */
interface ExchangeFailure {
  readonly kind: HttpCallError["kind"];
  readonly reason: string;
}

type ExchangeResult =
  | { readonly kind: "answer"; readonly answer: HttpResponse }
  | ExchangeFailure;

/**
 * One call and its answer. It ends once: the client library heeds an abort only
 * once its connection is up, and never writes a call that has ended until then.
 */
class Exchange implements undici.Dispatcher.DispatchHandler {
  readonly result: Promise<ExchangeResult>;
  readonly #deadlineMs: number;
  readonly #mayLeave: () => boolean;
  #settle: (end: ExchangeResult) => void = () => {};
  #isOver = false;
  #controller: undici.Dispatcher.DispatchController | undefined;
  #status = 0;
  #headers: http.IncomingHttpHeaders = {};
  readonly #chunks: Buffer[] = [];

  constructor(timeoutMs: number, mayLeave: () => boolean = () => true) {
    this.#deadlineMs = performance.now() + timeoutMs;
    this.#mayLeave = mayLeave;
    this.result = new Promise((resolve) => this.#settle = resolve);
  }

  run(pool: undici.Pool, { method, path, headers, body }: HttpRequest): void {
    pool.dispatch({ method, path, headers, body }, this);
  }

  /** Ends the call without an answer. */
  abort(kind: ExchangeFailure["kind"], reason: string = kind): void {
    this.#end({ kind, reason });
    this.#controller?.abort(new Error(reason));
  }

  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    this.#controller = controller;
    // A late event loop writes before it runs the timer of the deadline.
    const isLate = performance.now() >= this.#deadlineMs;
    if (this.#isOver || isLate) return this.abort("timeout");
    if (!this.#mayLeave()) this.abort("kept");
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
    this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    const { etag } = this.#headers;
    const answer = {
      status: this.#status,
      etag,
      headers: this.#headers,
      text: Buffer.concat(this.#chunks).toString(),
    };
    this.#end({ kind: "answer", answer });
  }

  onResponseError(
    _controller: undici.Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#end({ kind: "unreachable", reason: String(error) });
  }

  #end(end: ExchangeResult): void {
    this.#isOver = true;
    this.#settle(end);
  }
}

function openPool(
  origin: string,
  { connections = MAX_CONNECTIONS }: HttpChannelOptions,
): undici.Pool {
  return new undici.Pool(origin, {
    connections,
    pipelining: 1,
    connect: buildResettingConnector({ timeout: CONNECT_TIMEOUT_MS }),
    // The deadline of each call rules; undici's own would cut long watches.
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: MAX_RESPONSE_BYTES,
  });
}
