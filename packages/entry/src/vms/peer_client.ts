/**
 * Calls one other entry VM. A connection on which a call ran out of time is
 * closed by undici and never used again, so a connection that went silent
 * costs one deadline.
 */
import * as jsonRpc from "json-rpc-2.0";
import * as events from "node:events";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import type * as z from "zod";
import type { ServerTls } from "../utils/http_server.ts";
import { buildResettingConnector } from "../utils/reset_connection.ts";
import type { PeerError } from "./peer_error.ts";

/** Connections to one peer; a call that waits longest blocks one of them. */
const MAX_CONNECTIONS = 4;
const CONNECT_TIMEOUT_MS = 400;

/** Where a peer listens. */
export interface PeerAddress {
  /** IP number. */
  readonly host: string;
  readonly port: number;
}

/** Options of {@link PeerClient}. */
export interface PeerClientOptions {
  /** Shared by all entry VMs of one deployment. */
  readonly secret: string;
  /** This VM's certificate and the authority that signs those of peers. */
  readonly tls?: ServerTls;
}

/** Options of {@link PeerClient.call}. */
export interface PeerClientCallOptions<Schema extends z.ZodType> {
  readonly params: unknown;
  /** Shape of the answer. */
  readonly schema: Schema;
  readonly timeoutMs: number;
}

/** The client side of one peer. */
export class PeerClient {
  readonly address: PeerAddress;
  readonly #headers: Readonly<Record<string, string>>;
  readonly #pool: undici.Pool;
  #nextId = 1;

  constructor(address: PeerAddress, options: PeerClientOptions) {
    this.address = address;
    this.#headers = {
      "authorization": `Bearer ${options.secret}`,
      "content-type": "application/json",
    };
    const { tls } = options;
    const scheme = tls === undefined ? "http" : "https";
    this.#pool = new undici.Pool(
      `${scheme}://${address.host}:${address.port}`,
      {
        connections: MAX_CONNECTIONS,
        connect: buildResettingConnector({
          timeout: CONNECT_TIMEOUT_MS,
          ...tls,
        }),
        keepAliveTimeout: 30_000,
      },
    );
  }

  /** Calls a method and checks the shape of its answer. */
  call<Schema extends z.ZodType>(
    method: string,
    options: PeerClientCallOptions<Schema>,
  ): neverthrow.ResultAsync<z.infer<Schema>, PeerError> {
    return new neverthrow.ResultAsync(this.#call(method, options));
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #call<Schema extends z.ZodType>(
    method: string,
    options: PeerClientCallOptions<Schema>,
  ): Promise<neverthrow.Result<z.infer<Schema>, PeerError>> {
    const request = jsonRpc.createJSONRPCRequest(
      this.#nextId++,
      method,
      options.params,
    );
    let text: string;
    try {
      text = await this.#post(JSON.stringify(request), options.timeoutMs);
    } catch (error) {
      return neverthrow.err(this.#toPeerError(method, error));
    }
    return this.#readAnswer(method, text, options.schema);
  }

  /**
   * The deadline is a timer and an emitter, which undici takes as a signal:
   * an abort signal for each call cost a tenth of a beat.
   */
  async #post(body: string, timeoutMs: number): Promise<string> {
    const deadline = new events.EventEmitter();
    const timer = setTimeout(() => deadline.emit("abort"), timeoutMs);
    try {
      const answer = await this.#pool.request({
        path: "/peer",
        method: "POST",
        headers: this.#headers,
        body,
        signal: deadline,
      });
      const text = await answer.body.text();
      if (answer.statusCode === 200) return text;
      throw new RefusedError(`status ${answer.statusCode}`);
    } finally {
      clearTimeout(timer);
    }
  }

  #readAnswer<Schema extends z.ZodType>(
    method: string,
    text: string,
    schema: Schema,
  ): neverthrow.Result<z.infer<Schema>, PeerError> {
    const answer = parseJson(text) as jsonRpc.JSONRPCResponse | undefined;
    if (answer?.error) {
      const message = `Peer ${this.#name()} refused "${method}": ` +
        `${answer.error.message}; run the same release on both VMs`;
      return neverthrow.err({ kind: "refused", message });
    }
    const parsed = schema.safeParse(answer?.result);
    if (parsed.success) return neverthrow.ok(parsed.data);
    const message = `Peer ${this.#name()} answered "${method}" in another ` +
      "shape; run the same release on both VMs";
    return neverthrow.err({ kind: "bad-answer", message });
  }

  #toPeerError(method: string, error: unknown): PeerError {
    if (error instanceof RefusedError) {
      const message = `Peer ${this.#name()} refused "${method}" with ` +
        `${error.message}; check that both VMs have the same peer secret`;
      return { kind: "refused", message };
    }
    const kind = isNotConnected(error) ? "unreachable" : "timeout";
    const message = `Peer ${this.#name()} did not answer "${method}" ` +
      `(${String(error)}); it is asked again at the next beat`;
    return { kind, message };
  }

  #name(): string {
    return `${this.address.host}:${this.address.port}`;
  }
}

class RefusedError extends Error {}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function isNotConnected(error: unknown): boolean {
  const code = (error as { code?: string }).code;
  return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" ||
    code === "EHOSTUNREACH" || code === "ENETUNREACH";
}
