/**
 * One HTTP peer of the platform with a deadline on every call. A connection
 * that may have gone silent for good looks open: the only sign is a call that
 * runs out of time. So after a timeout every connection of that moment is
 * retired, and the next call opens a new one. The connection of a call that was
 * given up ends with a reset, so that its bytes leave by then or never.
 */
import type { CallOptions } from "@guavatide/contracts";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { EventEmitter } from "node:events";
import * as undici from "undici";
import { buildResettingConnector } from "../utils/reset_connection.ts";

const CONNECT_TIMEOUT_MS = 1000;
const MAX_CONNECTIONS = 16;
const MAX_ANSWER_BYTES = 64 * 1_048_576;

/** A call over an {@link HttpChannel}. */
export interface HttpCall {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** A whole answer. */
export interface HttpAnswer {
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

/** Why there is no whole answer. The call may have taken effect. */
export interface HttpCallError {
  readonly kind: "timeout" | "unreachable" | "cancelled";
  readonly message: string;
}

/** Calls to one address; each has its deadline. */
export class HttpChannel {
  readonly #origin: string;
  readonly #basePath: string;
  readonly #options: HttpChannelOptions;
  #pool: CountedPool;
  /** Every pool that has not ended: the present one and retired ones. */
  readonly #pools = new Set<CountedPool>();

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
    call: HttpCall,
    options: CallOptions,
  ): ResultAsync<HttpAnswer, HttpCallError> {
    return new ResultAsync(this.#send(call, options));
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await Promise.all([...this.#pools].map(({ pool }) => pool.destroy()));
  }

  #open(): CountedPool {
    const opened = { pool: openPool(this.#origin, this.#options), calls: 0 };
    this.#pools.add(opened);
    return opened;
  }

  async #send(
    call: HttpCall,
    options: CallOptions,
  ): Promise<Result<HttpAnswer, HttpCallError>> {
    // An emitter costs a fraction of an AbortSignal, and calls are many.
    const abort = new EventEmitter();
    let isTimeout = false;
    let isCancelled = options.signal?.aborted === true;
    const timer = setTimeout(() => {
      isTimeout = true;
      abort.emit("abort");
    }, Math.max(0, options.timeoutMs));
    const onCancel = () => {
      isCancelled = true;
      abort.emit("abort");
    };
    options.signal?.addEventListener("abort", onCancel);
    const by = this.#pool;
    by.calls++;
    try {
      if (isCancelled) throw new Error("Cancelled before it began");
      const exchange = this.#exchange(call, { ...by, signal: abort });
      // The client library ends no call before its connection is up. One that
      // is given up until then is never written.
      return ok(await Promise.race([exchange, rejectOnAbort(abort)]));
    } catch (error) {
      if (isTimeout && by === this.#pool) this.#pool = this.#open();
      const cause = { error, isTimeout, isCancelled };
      return err(this.#describe(call, options, cause));
    } finally {
      clearTimeout(timer);
      options.signal?.removeEventListener("abort", onCancel);
      by.calls--;
      this.#endRetired(by);
    }
  }

  async #exchange(
    call: HttpCall,
    by: { readonly pool: undici.Pool; readonly signal: EventEmitter },
  ): Promise<HttpAnswer> {
    const path = this.#basePath + call.path;
    const response = await by.pool.request({
      ...call,
      path,
      signal: by.signal,
    });
    const text = await response.body.text();
    const etag = response.headers["etag"];
    return {
      status: response.statusCode,
      etag: typeof etag === "string" ? etag : undefined,
      headers: response.headers,
      text,
    };
  }

  /** Ends an old pool; its other calls are left to their own deadlines. */
  #endRetired(retired: CountedPool): void {
    if (retired === this.#pool || retired.calls > 0) return;
    this.#pools.delete(retired);
    retired.pool.destroy().catch(() => {});
  }

  #describe(
    call: HttpCall,
    options: CallOptions,
    cause: {
      readonly error: unknown;
      readonly isTimeout: boolean;
      readonly isCancelled: boolean;
    },
  ): HttpCallError {
    const what = `${call.method} ${this.#origin}${this.#basePath}${
      call.path.split("?")[0]
    }`;
    if (cause.isTimeout) {
      return {
        kind: "timeout",
        message:
          `No answer to "${what}" within ${options.timeoutMs} ms; check that the address answers, or allow more time`,
      };
    }
    if (cause.isCancelled) {
      return { kind: "cancelled", message: `Cancelled "${what}"` };
    }
    return {
      kind: "unreachable",
      message: `Failed "${what}": ${
        String(cause.error)
      }; check the address and that the other side runs`,
    };
  }
}

/** A pool with the number of its calls under way. */
interface CountedPool {
  readonly pool: undici.Pool;
  calls: number;
}

function rejectOnAbort(abort: EventEmitter): Promise<never> {
  return new Promise((_resolve, reject) => {
    abort.once("abort", () => reject(new Error("The call was given up")));
  });
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
    maxResponseSize: MAX_ANSWER_BYTES,
  });
}
