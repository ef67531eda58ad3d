/** One connection to a backend server, for one request at a time. */
import type * as contracts from "@guavatide/contracts";
import * as names from "@guavatide/contracts";
import type * as net from "node:net";
import * as undici from "undici";
import type { ServerCondition } from "../poison/server_end_check.ts";
import {
  AnswerTooLargeError,
  isBadAnswer,
  isTooLarge,
  OverheadLimit,
} from "../utils/answer_limits.ts";
import {
  InvalidStatusError,
  isFinalStatus,
  isInterimStatus,
} from "../utils/answer_status.ts";
import { BrokenConnectionMonitor } from "../utils/broken_connection.ts";
import { buildResettingConnector } from "../utils/reset_connection.ts";
import { AnswerBody } from "./answer_body.ts";
import type {
  AnswerDecoder,
  AnswerReport,
  DecodedAnswer,
} from "./answer_decoder.ts";
import { readHeader } from "./header_list.ts";
import { runOfStamp } from "./server_clock.ts";

/**
 * TLS server name passed with each request. Without one, undici tests whether
 * the request's Host is an IP address, and the pattern for IPv6 takes a process
 * several milliseconds to compile. Connections to servers do not use TLS.
 */
const UNUSED_SERVER_NAME = "-";

/** One attempt of a request, as sent over a connection. */
export interface AttemptRequest {
  readonly id: contracts.RequestId;
  readonly method: string;
  readonly path: string;
  /** Names and values alternating. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  /** Called right before the request is sent; false withholds it. */
  maySend(): boolean;
  /** Receives the stamp of the server's clock from its response. */
  onServerStamp(text: string | undefined): void;
}

/** How an attempt ended. Only answer and refusal leave the connection usable. */
export type AttemptResult =
  | Exclude<DecodedAnswer, { readonly kind: "bad" }> & AnswerReport
  /** Not one byte was sent. */
  | {
    readonly kind: "not-sent";
    /** Whether this VM is the cause; if so, it says nothing about the server. */
    readonly isLocal: boolean;
    readonly message: string;
    /** Whether no entry VM that could be asked reaches the server. */
    readonly hasNoPath?: boolean;
    /** Whether the server has asked this VM to back off. */
    readonly isHeldBack?: boolean;
    /** Whether the server may get no more requests from this VM. */
    readonly isServerGone?: boolean;
  }
  /** Bytes were sent and no whole response came. */
  | {
    readonly kind: "unknown";
    readonly reason: contracts.UnknownReason;
    readonly message: string;
    /** Whether not one byte came from the server. */
    readonly isSilent?: boolean;
    /** Whether this VM, or the peer that relayed it, broke it off. */
    readonly isPathLost?: boolean;
    /** Whether the server has sent more than an answer may have. */
    readonly isTooLarge?: boolean;
    /** What the VM that sent it has found out about the server. */
    readonly condition?: ServerCondition;
    /** The run that the server has named on the connection; absent for none. */
    readonly serverRun?: string;
  };

/** Options of {@link ServerConnection}. */
export interface ServerConnectionOptions {
  readonly host: string;
  readonly port: number;
  /** Address that connections leave from; the system's choice by default. */
  readonly localAddress?: string | undefined;
  readonly connectTimeoutMs: number;
  /** Idle timeout of a connection whose server announces none. */
  readonly idleTimeoutMs: number;
  /**
   * Longest idle timeout of a connection whose server announces one; it is
   * closed 2 s before the server's own timeout. `idleTimeoutMs` by default.
   */
  readonly maxAnnouncedIdleTimeoutMs?: number | undefined;
  readonly answerLimitBytes: number;
  readonly decoder: AnswerDecoder;
  /**
   * Called with the bytes of each chunk of an answer, and with the negative sum
   * when the whole answer is passed on.
   */
  readonly onAnswerBytes?: ((bytes: number) => void) | undefined;
  /** Called with the sum of these bytes when an answer is given up. */
  readonly onAnswerGivenUp?: ((bytes: number) => void) | undefined;
  /**
   * Whether an answer of which so many bytes have come may be read on; without
   * it, up to `answerLimitBytes`.
   */
  readonly mayReadAnswer?: ((bytes: number) => boolean) | undefined;
}

/** A request in flight. */
interface PendingRequest {
  readonly request: AttemptRequest;
  readonly settle: (result: AttemptResult) => void;
  isSent: boolean;
  wasWithheld: boolean;
  abort: ((reason: Error) => void) | undefined;
  answer: AnswerReader | undefined;
}

/** A connection that carries one request after another until one fails. */
export class ServerConnection {
  readonly #client: undici.Client;
  readonly #options: ServerConnectionOptions;
  readonly #overhead = new OverheadLimit();
  #socket: net.Socket | undefined;
  #pending: PendingRequest | undefined;
  #isUsable = true;
  #breaks: BrokenConnectionMonitor | undefined;
  #lastRequest: contracts.RequestId | undefined;
  /** A connection ends with the run of the server that accepted it. */
  #serverRun: string | undefined;

  constructor(options: ServerConnectionOptions) {
    this.#options = options;
    const connect = buildResettingConnector({
      timeout: options.connectTimeoutMs,
    });
    const origin = names.originOf(options);
    this.#client = new undici.Client(origin, {
      pipelining: 1,
      localAddress: options.localAddress,
      keepAliveTimeout: options.idleTimeoutMs,
      keepAliveMaxTimeout: options.maxAnnouncedIdleTimeoutMs ??
        options.idleTimeoutMs,
      // Each attempt has its own deadline; undici's timeouts would preempt it.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (connectOptions, callback) =>
        connect(connectOptions, (...result: unknown[]) => {
          const [error, socket] = result as [Error | null, net.Socket];
          if (error === null) this.#trackSocket(socket);
          (callback as (...values: unknown[]) => void)(...result);
        }),
    });
    // No reconnect: a request that undici resends over a new connection could
    // run twice.
    this.#client.on("disconnect", () => this.retire());
  }

  /** False after any failure; the connection then accepts no request. */
  get isUsable(): boolean {
    return this.#isUsable;
  }

  /** Whether the server has accepted the connection and not closed it. */
  get isOpen(): boolean {
    return this.#isUsable && this.#socket !== undefined;
  }

  /** Id of the last request on this connection; undefined for none. */
  get lastRequest(): contracts.RequestId | undefined {
    return this.#lastRequest;
  }

  /** Bytes received on this connection; shows whether the server responds. */
  get bytesReceived(): number {
    return this.#socket?.bytesRead ?? 0;
  }

  /** Sends a request and waits for its result. Only one may be in flight. */
  send(request: AttemptRequest): Promise<AttemptResult> {
    return new Promise((resolve) => {
      const pending: PendingRequest = {
        request,
        isSent: false,
        wasWithheld: false,
        abort: undefined,
        answer: undefined,
        settle: (result) => {
          if (this.#pending !== pending) return;
          this.#pending = undefined;
          const isWhole = result.kind === "answer" || result.kind === "refusal";
          pending.answer?.release(isWhole);
          if (!isWhole) this.retire();
          resolve(result);
        },
      };
      this.#pending = pending;
      this.#lastRequest = request.id;
      this.#dispatch(pending);
    });
  }

  /** Abandons the request in flight and retires the connection. */
  abandon(reason: contracts.UnknownReason, message: string): void {
    const pending = this.#pending;
    if (pending === undefined) return;
    pending.settle(this.#resultWithoutAnswer(pending, reason, message));
    pending.abort?.(new Error(message));
  }

  /** Closes the connection; it accepts no further request. */
  retire(): void {
    if (!this.#isUsable) return;
    this.#isUsable = false;
    this.#client.destroy().catch(() => {});
  }

  #trackSocket(socket: net.Socket): void {
    this.#socket = socket;
    this.#overhead.watch(socket);
    this.#breaks = new BrokenConnectionMonitor(socket);
  }

  #resultWithoutAnswer(
    pending: PendingRequest,
    reason: contracts.UnknownReason,
    message: string,
  ): AttemptResult {
    const isOurs = pending.wasWithheld;
    if (!pending.isSent) return { kind: "not-sent", isLocal: isOurs, message };
    return { kind: "unknown", reason, message, serverRun: this.#serverRun };
  }

  #resultOfError(pending: PendingRequest, error: Error): AttemptResult {
    const reason = isBadAnswer(error) ? "bad-answer" : "connection-lost";
    const result = this.#resultWithoutAnswer(pending, reason, error.message);
    return result.kind === "unknown" && isTooLarge(error)
      ? { ...result, isTooLarge: true }
      : result;
  }

  #dispatch(pending: PendingRequest): void {
    const { request } = pending;
    const options: RequestOptions = {
      method: request.method as undici.Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers as string[],
      body: request.body ?? null,
      servername: UNUSED_SERVER_NAME,
    };
    this.#client.dispatch(options, {
      onRequestStart: (controller) => {
        pending.abort = (reason) => controller.abort(reason);
        if (this.#pending !== pending || !request.maySend()) {
          pending.wasWithheld = true;
          controller.abort(new Error("The request may not leave any more"));
          return;
        }
        pending.isSent = true;
        this.#overhead.startAnswer();
      },
      onResponseStart: (controller, status) => {
        if (isInterimStatus(status)) return;
        if (!isFinalStatus(status)) {
          return controller.abort(new InvalidStatusError(status));
        }
        const raw = (controller as HeaderSource).rawHeaders ?? [];
        pending.answer = new AnswerReader(status, raw, {
          request,
          onServerRun: (run) => this.#serverRun = run ?? this.#serverRun,
          limitBytes: this.#options.answerLimitBytes,
          decoder: this.#options.decoder,
          onAnswerBytes: this.#options.onAnswerBytes,
          onAnswerGivenUp: this.#options.onAnswerGivenUp,
          mayReadAnswer: this.#options.mayReadAnswer,
        });
      },
      onResponseData: (controller, chunk) => {
        this.#overhead.addBody(chunk.length);
        if (!pending.answer!.add(chunk)) {
          const message = "The answer is larger than the limit";
          controller.abort(new AnswerTooLargeError(message));
        }
      },
      onResponseEnd: () =>
        pending.settle(
          this.#breaks?.isBroken
            ? badAnswer("The connection broke before the answer's end")
            : pending.answer!.finish(),
        ),
      onResponseError: (_controller, error) =>
        pending.settle(this.#resultOfError(pending, error)),
    });
  }
}

/** Options of a request; undici's types omit the server name. */
type RequestOptions = undici.Dispatcher.DispatchOptions & {
  readonly servername: string;
};

/** A property of undici's controller that its types omit. */
interface HeaderSource {
  readonly rawHeaders?: readonly Uint8Array[] | null;
}

function decodeHeader(bytes: Uint8Array): string {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)
    .toString("latin1");
}

/** Options of {@link AnswerReader}. */
interface AnswerReaderOptions {
  readonly request: AttemptRequest;
  readonly onServerRun: (run: string | undefined) => void;
  readonly limitBytes: number;
  readonly decoder: AnswerDecoder;
  readonly onAnswerBytes: ServerConnectionOptions["onAnswerBytes"];
  readonly onAnswerGivenUp: ServerConnectionOptions["onAnswerGivenUp"];
  readonly mayReadAnswer: ServerConnectionOptions["mayReadAnswer"];
}

/** Collects one response and decodes it at its end. */
class AnswerReader {
  readonly #status: number;
  readonly #headers: readonly string[];
  readonly #options: AnswerReaderOptions;
  readonly #body = new AnswerBody();
  #sizeBytes = 0;
  #isReleased = false;

  constructor(
    status: number,
    rawHeaders: readonly Uint8Array[],
    options: AnswerReaderOptions,
  ) {
    this.#status = status;
    this.#headers = rawHeaders.map(decodeHeader);
    this.#options = options;
  }

  /** Adds a chunk of the body; false when the body exceeds a limit. */
  add(chunk: Uint8Array): boolean {
    if (this.#isReleased) return false;
    this.#sizeBytes += chunk.length;
    this.#options.onAnswerBytes?.(chunk.length);
    this.#body.add(chunk);
    const { limitBytes, mayReadAnswer } = this.#options;
    return this.#sizeBytes <= limitBytes &&
      (mayReadAnswer?.(this.#sizeBytes) ?? true);
  }

  /** Ends the count of its bytes. */
  release(isWhole: boolean): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    const { onAnswerBytes, onAnswerGivenUp } = this.#options;
    if (isWhole) onAnswerBytes?.(-this.#sizeBytes);
    else onAnswerGivenUp?.(this.#sizeBytes);
  }

  finish(): AttemptResult {
    const { request, decoder, onServerRun } = this.#options;
    const decoded = decoder.decode(request.id, {
      method: request.method,
      status: this.#status,
      headers: this.#headers,
      body: this.#body.bytes(),
    });
    if (decoded.kind === "bad") return badAnswer(decoded.message);
    const stamp = readHeader(this.#headers, names.STAMP_HEADER);
    onServerRun(runOfStamp(stamp));
    request.onServerStamp(stamp);
    return decoded;
  }
}

function badAnswer(message: string): AttemptResult {
  return { kind: "unknown", reason: "bad-answer", message };
}
