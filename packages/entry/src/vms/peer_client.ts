/**
 * Calls one other entry VM. undici closes a connection on which a call timed
 * out and doesn't reuse it, so a stalled connection costs one timeout.
 */
import * as contracts from "@guavatide/contracts";
import * as jsonRpc from "json-rpc-2.0";
import * as events from "node:events";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import type * as z from "zod";
import type { ServerTls } from "../utils/http_server.ts";
import { buildResettingConnector } from "../utils/reset_connection.ts";
import type { PeerError } from "./peer_error.ts";

/** Connections to one peer. A stalled call blocks only one of them. */
const MAX_CONNECTIONS = 4;
const CONNECT_TIMEOUT_MS = 400;

/** Options of {@link PeerClient}. */
export interface PeerClientOptions {
  /** Secret shared by all entry VMs of one deployment. */
  readonly secret: string;
  /** This VM's certificate and the CA that signs the peers' certificates. */
  readonly tls?: ServerTls;
}

/** Options of {@link PeerClient.call}. */
export interface PeerClientCallOptions<Schema extends z.ZodType> {
  readonly params: unknown;
  /** Schema of the reply. */
  readonly schema: Schema;
  readonly timeoutMs: number;
}

/** Client for the server of one peer. */
export class PeerClient {
  readonly address: contracts.NetworkAddress;
  readonly #headers: Readonly<Record<string, string>>;
  readonly #pool: undici.Pool;
  #nextId = 1;

  constructor(address: contracts.NetworkAddress, options: PeerClientOptions) {
    this.address = address;
    this.#headers = {
      "authorization": `Bearer ${options.secret}`,
      "content-type": "application/json",
    };
    const { tls } = options;
    const scheme = tls === undefined ? "http" : "https";
    this.#pool = new undici.Pool(
      contracts.originOf(address, scheme),
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

  /** Calls a method and validates its reply. */
  call<Schema extends z.ZodType>(
    method: string,
    options: PeerClientCallOptions<Schema>,
  ): neverthrow.ResultAsync<z.infer<Schema>, PeerError> {
    return new neverthrow.ResultAsync(this.#call(method, options));
  }

  /** Closes all connections immediately. Calls in flight fail. */
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
    return this.#parseReply(method, text, options.schema);
  }

  /**
   * The deadline is a timer with an event emitter, which undici accepts as a
   * signal: an `AbortSignal` for each call takes a tenth of a heartbeat's time.
   */
  async #post(body: string, timeoutMs: number): Promise<string> {
    const deadline = new events.EventEmitter();
    const timer = setTimeout(() => deadline.emit("abort"), timeoutMs);
    try {
      const response = await this.#pool.request({
        path: "/peer",
        method: "POST",
        headers: this.#headers,
        body,
        signal: deadline,
      });
      const text = await response.body.text();
      if (response.statusCode === 200) return text;
      throw new RefusedError(`status ${response.statusCode}`);
    } finally {
      clearTimeout(timer);
    }
  }

  #parseReply<Schema extends z.ZodType>(
    method: string,
    text: string,
    schema: Schema,
  ): neverthrow.Result<z.infer<Schema>, PeerError> {
    const reply = contracts.parseJson(text).unwrapOr(undefined) as
      | jsonRpc.JSONRPCResponse
      | undefined;
    if (reply?.error) {
      const message = `Peer ${this.#peerName()} refused "${method}": ` +
        `${reply.error.message}; run the same release on both VMs`;
      return neverthrow.err({ kind: "refused", message });
    }
    const parsed = schema.safeParse(reply?.result);
    if (parsed.success) return neverthrow.ok(parsed.data);
    const message =
      `Peer ${this.#peerName()} sent an invalid reply to "${method}"` +
      "; run the same release on both VMs";
    return neverthrow.err({ kind: "bad-answer", message });
  }

  #toPeerError(method: string, error: unknown): PeerError {
    if (error instanceof RefusedError) {
      const message = `Peer ${this.#peerName()} refused "${method}" with ` +
        `${error.message}; check that both VMs have the same peer secret`;
      return { kind: "refused", message };
    }
    const kind = isNotConnected(error) ? "unreachable" : "timeout";
    const message = `Peer ${this.#peerName()} did not answer "${method}" ` +
      `(${String(error)}); it is called again with the next heartbeat`;
    return { kind, message };
  }

  #peerName(): string {
    return `${this.address.host}:${this.address.port}`;
  }
}

class RefusedError extends Error {}

function isNotConnected(error: unknown): boolean {
  const code = (error as { code?: string }).code;
  return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" ||
    code === "EHOSTUNREACH" || code === "ENETUNREACH";
}
