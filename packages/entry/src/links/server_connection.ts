/** One connection to a backend server, with one request at a time. */
import type * as contracts from "@guavatide/contracts";
import * as names from "@guavatide/contracts";
import type * as net from "node:net";
import * as undici from "undici";
import { buildResettingConnector } from "../utils/reset_connection.ts";
import type {
  AnswerDecoder,
  AnswerReport,
  DecodedAnswer,
} from "./answer_decoder.ts";
import { readHeader } from "./header_list.ts";

/** One attempt of a request, as it goes over a link. */
export interface AttemptRequest {
  readonly id: contracts.RequestId;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  /** Called right before the bytes leave; false keeps them here. */
  maySend(): boolean;
  /** The server's clock, sent with its answer. */
  onServerStamp(text: string | undefined): void;
}

/** How an attempt ended. Only the first two leave the link usable. */
export type AttemptResult =
  | Exclude<DecodedAnswer, { readonly kind: "bad" }> & AnswerReport
  /** No byte left. */
  | {
    readonly kind: "not-sent";
    /** True when it was kept here; says nothing about the server then. */
    readonly isLocal: boolean;
    readonly message: string;
  }
  /** Bytes left and no whole answer came. */
  | {
    readonly kind: "unknown";
    readonly reason: contracts.UnknownReason;
    readonly message: string;
  };

/** Options of {@link ServerConnection}. */
export interface ServerConnectionOptions {
  readonly host: string;
  readonly port: number;
  readonly connectTimeoutMs: number;
  /** An idle connection is closed after this time. */
  readonly idleTimeoutMs: number;
  readonly answerLimitBytes: number;
  readonly decoder: AnswerDecoder;
}

/** A request whose end is awaited. */
interface PendingRequest {
  readonly request: AttemptRequest;
  readonly settle: (result: AttemptResult) => void;
  isSent: boolean;
  wasWithheld: boolean;
  abort: ((reason: Error) => void) | undefined;
}

/** A connection that serves one request after another until one goes wrong. */
export class ServerConnection {
  readonly #client: undici.Client;
  readonly #options: ServerConnectionOptions;
  #socket: net.Socket | undefined;
  #pending: PendingRequest | undefined;
  #isUsable = true;
  #wasBroken = false;

  constructor(options: ServerConnectionOptions) {
    this.#options = options;
    const connect = buildResettingConnector({
      timeout: options.connectTimeoutMs,
    });
    const origin = `http://${options.host}:${options.port}`;
    this.#client = new undici.Client(origin, {
      pipelining: 1,
      keepAliveTimeout: options.idleTimeoutMs,
      keepAliveMaxTimeout: options.idleTimeoutMs,
      // Deadlines are the request's own; the client's would hide them.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (connectOptions, callback) =>
        connect(connectOptions, (...result: unknown[]) => {
          const [error, socket] = result as [Error | null, net.Socket];
          if (error === null) this.#watch(socket);
          (callback as (...values: unknown[]) => void)(...result);
        }),
    });
    // A lost connection ends the link: a request moved silently to a new
    // connection could run twice.
    this.#client.on("disconnect", () => this.retire());
  }

  /** False once anything went wrong; the link then takes no request. */
  get isUsable(): boolean {
    return this.#isUsable;
  }

  /** Bytes that the server has sent on this connection: its progress. */
  get bytesReceived(): number {
    return this.#socket?.bytesRead ?? 0;
  }

  /** Sends a request and waits for its end. One at a time. */
  send(request: AttemptRequest): Promise<AttemptResult> {
    return new Promise((resolve) => {
      const pending: PendingRequest = {
        request,
        isSent: false,
        wasWithheld: false,
        abort: undefined,
        settle: (result) => {
          if (this.#pending !== pending) return;
          this.#pending = undefined;
          const isWhole = result.kind === "answer" || result.kind === "refusal";
          if (!isWhole) this.retire();
          resolve(result);
        },
      };
      this.#pending = pending;
      this.#dispatch(pending);
    });
  }

  /** Gives up the request in flight; the link is of no more use. */
  abandon(reason: contracts.UnknownReason, message: string): void {
    const pending = this.#pending;
    if (pending === undefined) return;
    pending.settle(resultWithoutAnswer(pending, reason, message));
    pending.abort?.(new Error(message));
  }

  /** Closes the connection and takes no further request. */
  retire(): void {
    if (!this.#isUsable) return;
    this.#isUsable = false;
    this.#client.destroy().catch(() => {});
  }

  /**
   * Remembers an error of the connection: the client library takes a reset
   * answer without a length for a whole one.
   */
  #watch(socket: net.Socket): void {
    this.#socket = socket;
    socket.once("error", () => {
      this.#wasBroken = true;
    });
  }

  #dispatch(pending: PendingRequest): void {
    const { request } = pending;
    let answer: AnswerReader | undefined;
    this.#client.dispatch({
      method: request.method as undici.Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers as string[],
      body: request.body ?? null,
    }, {
      onRequestStart: (controller) => {
        pending.abort = (reason) => controller.abort(reason);
        if (this.#pending !== pending || !request.maySend()) {
          pending.wasWithheld = true;
          controller.abort(new Error("The request may not leave any more"));
          return;
        }
        pending.isSent = true;
      },
      onResponseStart: (controller, status) => {
        const raw = (controller as HeaderSource).rawHeaders ?? [];
        answer = new AnswerReader(status, raw, {
          request,
          limitBytes: this.#options.answerLimitBytes,
          decoder: this.#options.decoder,
        });
      },
      onResponseData: (controller, chunk) => {
        if (!answer!.add(chunk)) {
          controller.abort(new Error("The answer is larger than the limit"));
        }
      },
      onResponseEnd: () =>
        pending.settle(
          this.#wasBroken
            ? badAnswer("The connection broke before the answer's end")
            : answer!.finish(),
        ),
      onResponseError: (_controller, error) => {
        pending.settle(
          resultWithoutAnswer(pending, "connection-lost", error.message),
        );
      },
    });
  }
}

/** The part of undici's controller that its types leave out. */
interface HeaderSource {
  readonly rawHeaders?: readonly Uint8Array[] | null;
}

function decodeHeader(bytes: Uint8Array): string {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)
    .toString("latin1");
}

function resultWithoutAnswer(
  pending: PendingRequest,
  reason: contracts.UnknownReason,
  message: string,
): AttemptResult {
  const isOurs = pending.wasWithheld;
  if (!pending.isSent) return { kind: "not-sent", isLocal: isOurs, message };
  return { kind: "unknown", reason, message };
}

/** Options of {@link AnswerReader}. */
interface AnswerReaderOptions {
  readonly request: AttemptRequest;
  readonly limitBytes: number;
  readonly decoder: AnswerDecoder;
}

/** Gathers one answer and has it checked: the request's own, and whole. */
class AnswerReader {
  readonly #status: number;
  readonly #headers: readonly string[];
  readonly #options: AnswerReaderOptions;
  readonly #chunks: Uint8Array[] = [];
  #sizeBytes = 0;

  constructor(
    status: number,
    rawHeaders: readonly Uint8Array[],
    options: AnswerReaderOptions,
  ) {
    this.#status = status;
    this.#headers = rawHeaders.map(decodeHeader);
    this.#options = options;
  }

  /** Adds a piece of the body; false when it grows beyond the limit. */
  add(chunk: Uint8Array): boolean {
    this.#sizeBytes += chunk.length;
    this.#chunks.push(chunk);
    return this.#sizeBytes <= this.#options.limitBytes;
  }

  finish(): AttemptResult {
    const { request, decoder } = this.#options;
    const decoded = decoder.decode(request.id, {
      method: request.method,
      status: this.#status,
      headers: this.#headers,
      body: this.#chunks.length === 1
        ? this.#chunks[0]!
        : Buffer.concat(this.#chunks),
    });
    if (decoded.kind === "bad") return badAnswer(decoded.message);
    request.onServerStamp(readHeader(this.#headers, names.STAMP_HEADER));
    return decoded;
  }
}

function badAnswer(message: string): AttemptResult {
  return { kind: "unknown", reason: "bad-answer", message };
}
