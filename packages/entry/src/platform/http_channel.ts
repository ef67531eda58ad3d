/**
 * HTTP client for one server, with a deadline on every call. A connection whose
 * peer has become unreachable still looks open; a call that times out is the
 * only sign. So a timeout retires the whole connection pool, and the next call
 * opens a new connection. The connection of an abandoned call is closed with a
 * TCP reset, so that no bytes of the call are sent after that.
 */
import type { CallOptions } from "@guavatide/contracts";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import * as undici from "undici";
import { isUnexpectedBytes } from "../utils/answer_limits.ts";
import {
  READ_AFTER_PAUSE_MS,
  startPauseAwareTimer,
} from "../utils/pause_aware_timer.ts";
import { buildResettingConnector } from "../utils/reset_connection.ts";
import {
  Exchange,
  ExchangeConnection,
  type ExchangeConnectionOptions,
  type ExchangeFailure,
  type ExchangeResult,
  type HttpCallError,
  type HttpRequest,
  type HttpResponse,
} from "./http_exchange.ts";

export type { HttpCallError, HttpRequest, HttpResponse };

const CONNECT_TIMEOUT_MS = 1000;
const MAX_CONNECTIONS = 16;
/** An answer of which nothing arrives for this long has stalled. */
const STALLED_AFTER_MS = 200;
/** A call whose answer is arriving takes at most this many times its timeout. */
const MAX_EXTENSION = 3;
const MAX_RESPONSE_BYTES = 64 * 1_048_576;

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
  /**
   * Whether a response fails of which only the end of the connection tells that
   * it is whole; false by default.
   */
  readonly rejectsUnlengthed?: boolean;
  /** Largest body of a response; 64 MB by default. */
  readonly maxResponseBytes?: number;
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
    const opened = {
      pool: openPool(this.#origin, this.#options),
      activeCalls: 0,
    };
    this.#pools.add(opened);
    return opened;
  }

  async #send(
    call: HttpRequest,
    { timeoutMs, signal, onProgress }: CallOptions,
  ): Promise<Result<HttpResponse, HttpCallError>> {
    const pool = this.#pool;
    pool.activeCalls++;
    const exchange = new Exchange(timeoutMs, call.mayLeave, onProgress);
    const deadline = startDeadline(Math.max(0, timeoutMs), {
      // What is arriving would be sent again from its start.
      mayExtend: (elapsedMs) =>
        onProgress !== undefined &&
        exchange.sinceProgressMs < STALLED_AFTER_MS &&
        elapsedMs < timeoutMs * MAX_EXTENSION,
      onDeadline: () => exchange.abort("timeout"),
    });
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
    const result = this.#checkEnd(await exchange.result);
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

  #checkEnd(result: ExchangeResult): ExchangeResult {
    if (result.kind !== "answer" || !result.response.endsWithConnection) {
      return result;
    }
    return this.#options.rejectsUnlengthed === true
      ? { kind: "bad-answer", reason: "its length can't be checked" }
      : result;
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

/** How {@link startDeadline} ends. */
interface DeadlineOptions {
  /** Whether the deadline is put off; gets the time since the start. */
  readonly mayExtend: (elapsedMs: number) => boolean;
  readonly onDeadline: () => void;
}

/** Calls back at a deadline; after a pause, what has arrived is read first. */
function startDeadline(
  timeoutMs: number,
  { mayExtend, onDeadline }: DeadlineOptions,
): { clear(): void } {
  const startMs = performance.now();
  const end = () => {
    if (!mayExtend(performance.now() - startMs)) return onDeadline();
    timer = setTimeout(end, STALLED_AFTER_MS);
  };
  let timer = startPauseAwareTimer(timeoutMs, (wasPaused) => {
    if (!wasPaused) return end();
    timer = setTimeout(end, READ_AFTER_PAUSE_MS);
  });
  return { clear: () => clearTimeout(timer) };
}

/** A connection pool with the number of its calls in flight. */
interface RefCountedPool {
  readonly pool: undici.Pool;
  activeCalls: number;
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
): undici.Pool {
  const pool = new undici.Pool(origin, {
    connections,
    pipelining: 1,
    localAddress,
    connect: buildResettingConnector({ timeout: connectTimeoutMs }),
    // Each call has its own deadline; undici's would interrupt long polls.
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: maxResponseBytes,
    factory: (url, options) =>
      new ExchangeConnection(url, options as ExchangeConnectionOptions),
  });
  pool.on("disconnect", (_origin, _targets, error) => {
    if (isUnexpectedBytes(error)) onUnexpectedBytes?.(error.message);
  });
  return pool;
}
