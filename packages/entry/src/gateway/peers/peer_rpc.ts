/**
 * Remote procedure calls between entry VMs, for data too large for a datagram:
 * JSON-RPC 2.0 over HTTP, on the port number of the datagrams.
 */
import * as contracts from "@guavatide/contracts";
import * as jsonRpc from "json-rpc-2.0";
import * as neverthrow from "neverthrow";
import * as http from "node:http";
import * as z from "zod";
import { HttpChannel, type HttpResponse } from "../../platform/http_channel.ts";
import * as httpServer from "../../utils/http_server.ts";
import type { LifeCycle } from "../../utils/life_cycle.ts";
import type { Logger } from "../../utils/log.ts";
import * as bodies from "../../utils/read_body.ts";
import { compress, decompress } from "./peer_codec.ts";

/** Options of {@link PeerRpc}. */
export interface PeerRpcOptions {
  readonly host: string;
  readonly port: number;
  readonly log: Logger;
  /** Called for each connection of a peer. */
  readonly onAccept?: () => void;
}

/** A call of a method about a named thing, with the schema of its result. */
export interface PeerRpcRequest<Schema extends z.ZodType> {
  readonly method: string;
  readonly name: string;
  readonly resultSchema: Schema;
}

/** Why a call returned no valid result. */
export interface PeerRpcError {
  readonly kind: "unreachable" | "unreadable";
  readonly message: string;
}

/** Answers a request to a path of its own. */
export type PeerPathHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<void>;

/** Returns the result for a named thing; undefined when it is unknown. */
export type PeerRpcHandler = (name: string) => object | undefined;

/** Timeout of one call. */
const CALL_TIMEOUT_MS = 600;
const MAX_REQUEST_BYTES = 4_096;
const COMPRESSION = "deflate";
const MAX_RESULT_BYTES = 64 * 1_048_576;
const NOT_FOUND_CODE = -32_001;

const replySchema = z.object({
  result: z.unknown(),
  error: z.object({ message: z.string() }).optional(),
});

/** Client and server of the calls between peers. */
export class PeerRpc {
  readonly #options: PeerRpcOptions;
  readonly #handlers = new Map<string, PeerRpcHandler>();
  readonly #compressedReplies = new WeakMap<object, Uint8Array>();
  readonly #pathHandlers = new Map<string, PeerPathHandler>();

  constructor(options: PeerRpcOptions) {
    this.#options = options;
  }

  /** Registers the handler of a method. */
  on(method: string, handler: PeerRpcHandler): void {
    this.#handlers.set(method, handler);
  }

  /** Registers the handler of requests to a path that are no procedure calls. */
  onPath(path: string, handler: PeerPathHandler): void {
    this.#pathHandlers.set(path, handler);
  }

  /** Starts to listen. Rejects when the port is taken. */
  async listen(lifeCycle: LifeCycle): Promise<void> {
    const server = http.createServer((request, response) => {
      const handle = this.#pathHandlers.get(request.url ?? "") ??
        this.#handle.bind(this);
      handle(request, response).catch((error) => {
        this.#options.log.warn("Answering a peer's call failed.", {
          error: String(error),
        });
        response.destroy();
      });
    });
    server.on("connection", () => this.#options.onAccept?.());
    lifeCycle.onStop({
      name: "calls of peers",
      timeoutMs: 100,
      run: () => {
        server.close();
        server.closeAllConnections();
      },
    });
    await httpServer.listenOn(server, this.#options);
  }

  /** Calls one peer. Errors: {@link PeerRpcError}. */
  async call<Schema extends z.ZodType>(
    address: contracts.NetworkAddress,
    { method, name, resultSchema }: PeerRpcRequest<Schema>,
  ): Promise<neverthrow.Result<z.output<Schema>, PeerRpcError>> {
    const channel = new HttpChannel(contracts.originOf(address));
    const request = jsonRpc.createJSONRPCRequest(1, method, { name });
    const response = await channel.call({
      method: "POST",
      path: "/",
      headers: {
        "content-type": "application/json",
        "accept-encoding": COMPRESSION,
      },
      body: JSON.stringify(request),
    }, { timeoutMs: CALL_TIMEOUT_MS, onProgress: () => {} });
    channel.close().catch((error) =>
      this.#options.log.debug("Closing the connection to a peer failed.", {
        host: address.host,
        error: String(error),
      })
    );
    if (response.isErr()) {
      const { message } = response.error;
      return neverthrow.err({ kind: "unreachable", message });
    }
    return parseResult(response.value, resultSchema);
  }

  /**
   * Compresses a reply once for each result: many VMs fetch the same large one at
   * about the same time.
   */
  #compress(result: object | undefined, reply: object): Uint8Array {
    const known = result && this.#compressedReplies.get(result);
    if (known !== undefined) return known;
    const bytes = compress(JSON.stringify(reply));
    if (result !== undefined) this.#compressedReplies.set(result, bytes);
    return bytes;
  }

  async #handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const read = await bodies.readBody(request, MAX_REQUEST_BYTES);
    if (read.kind !== "whole") {
      throw new Error(
        `The request body is ${read.kind}; send one JSON-RPC request`,
      );
    }
    const call = parseRequest(Buffer.from(read.body ?? []).toString());
    const name = call?.params?.name;
    const result = call === undefined || typeof name !== "string"
      ? undefined
      : this.#handlers.get(call.method)?.(name);
    const id = call?.id ?? null;
    const reply = result === undefined
      ? jsonRpc.createJSONRPCErrorResponse(id, NOT_FOUND_CODE, "Not known here")
      : jsonRpc.createJSONRPCSuccessResponse(id, result);
    const isCompressed = request.headers["accept-encoding"] === COMPRESSION;
    const bytes = isCompressed
      ? this.#compress(result, reply)
      : Buffer.from(JSON.stringify(reply));
    response.writeHead(200, {
      "content-type": "application/json",
      ...(isCompressed ? { "content-encoding": COMPRESSION } : {}),
      "content-length": bytes.length,
      connection: "close",
    });
    response.end(bytes);
  }
}

function parseRequest(text: string): jsonRpc.JSONRPCRequest | undefined {
  const call = contracts.parseJson(text).unwrapOr(undefined);
  return jsonRpc.isJSONRPCRequest(call) ? call : undefined;
}

function parseResult<Schema extends z.ZodType>(
  response: HttpResponse,
  schema: Schema,
): neverthrow.Result<z.output<Schema>, PeerRpcError> {
  const unreadableResult = (message: string) =>
    neverthrow.err({ kind: "unreadable" as const, message });
  try {
    const isCompressed = response.headers["content-encoding"] === COMPRESSION;
    const text = isCompressed
      ? decompress(response.bytes, MAX_RESULT_BYTES).toString()
      : response.text;
    const reply = contracts.decodeJson(text, replySchema);
    if (reply.isErr()) return unreadableResult(reply.error.message);
    const { result, error } = reply.value;
    const parsed = schema.safeParse(result);
    if (parsed.success) return neverthrow.ok(parsed.data);
    return unreadableResult(
      error?.message ?? "The result doesn't match its schema; ask another peer",
    );
  } catch (error) {
    return unreadableResult(`The answer can't be read: ${String(error)}`);
  }
}
