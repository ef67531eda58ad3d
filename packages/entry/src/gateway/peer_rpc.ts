/**
 * Calls between entry VMs for what does not fit into a datagram: JSON-RPC 2.0
 * over HTTP, on the port of the datagrams.
 */
import * as jsonRpc from "json-rpc-2.0";
import * as neverthrow from "neverthrow";
import * as http from "node:http";
import type * as z from "zod";
import { HttpChannel } from "../platform/http_channel.ts";
import * as httpServer from "../utils/http_server.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PartLog } from "../utils/log.ts";
import * as bodies from "../utils/read_body.ts";

/** Options of {@link PeerRpc}. */
export interface PeerRpcOptions {
  readonly host: string;
  readonly port: number;
  readonly log: PartLog;
}

/** Address of a peer's calls. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** A call and the form of its result. */
export interface PeerRpcRequest<Schema extends z.ZodType> {
  readonly method: string;
  readonly name: string;
  readonly resultSchema: Schema;
}

/** Why a peer gave no usable answer. */
export interface PeerRpcError {
  readonly kind: "unreachable" | "unreadable";
  readonly message: string;
}

/** Answers a question about a named thing; undefined when it is not known. */
export type PeerRpcHandler = (name: string) => object | undefined;

/** Longest time of one call. */
const CALL_TIMEOUT_MS = 600;
const LONGEST_QUESTION_BYTES = 4_096;
const UNKNOWN_CODE = -32_001;

/** Asks peers and answers them. */
export class PeerRpc {
  readonly #options: PeerRpcOptions;
  readonly #answers = new Map<string, PeerRpcHandler>();

  constructor(options: PeerRpcOptions) {
    this.#options = options;
  }

  /** Registers who answers a method. */
  on(method: string, answer: PeerRpcHandler): void {
    this.#answers.set(method, answer);
  }

  /** Starts to listen. Errors: the port is taken. */
  async listen(lifeCycle: LifeCycle): Promise<void> {
    const server = http.createServer((request, response) => {
      this.#take(request, response).catch((error) => {
        this.#options.log.warn("Peer's call failed.", { error: String(error) });
        response.destroy();
      });
    });
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

  /** Asks one peer. Errors: {@link PeerRpcError}. */
  async call<Schema extends z.ZodType>(
    { host, port }: PeerAddress,
    { method, name, resultSchema: result }: PeerRpcRequest<Schema>,
  ): Promise<neverthrow.Result<z.output<Schema>, PeerRpcError>> {
    const channel = new HttpChannel(`http://${host}:${port}`);
    const call = jsonRpc.createJSONRPCRequest(1, method, { name });
    const answer = await channel.call({
      method: "POST",
      path: "/",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(call),
    }, { timeoutMs: CALL_TIMEOUT_MS });
    channel.close().catch((error) =>
      this.#options.log.debug("Peer's channel not closed.", {
        host,
        error: String(error),
      })
    );
    if (answer.isErr()) {
      const { message } = answer.error;
      return neverthrow.err({ kind: "unreachable", message });
    }
    return readResult(answer.value.text, result);
  }

  async #take(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const read = await bodies.readBody(request, LONGEST_QUESTION_BYTES);
    if (read.kind !== "whole") {
      throw new Error(
        `The question is ${read.kind}; ask for one thing by name`,
      );
    }
    const call = readCall(Buffer.from(read.body ?? []).toString());
    const name = call?.params?.name;
    const answer = call === undefined || typeof name !== "string"
      ? undefined
      : this.#answers.get(call.method)?.(name);
    const id = call?.id ?? null;
    const reply = answer === undefined
      ? jsonRpc.createJSONRPCErrorResponse(id, UNKNOWN_CODE, "Not known here")
      : jsonRpc.createJSONRPCSuccessResponse(id, answer);
    const bytes = Buffer.from(JSON.stringify(reply));
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": bytes.length,
      connection: "close",
    });
    response.end(bytes);
  }
}

function readCall(text: string): jsonRpc.JSONRPCRequest | undefined {
  try {
    const call = JSON.parse(text);
    return jsonRpc.isJSONRPCRequest(call) ? call : undefined;
  } catch {
    // Not JSON; the caller gets an error as its answer.
    return undefined;
  }
}

function readResult<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
): neverthrow.Result<z.output<Schema>, PeerRpcError> {
  const unreadable = (message: string) =>
    neverthrow.err({ kind: "unreadable" as const, message });
  try {
    const reply = JSON.parse(text);
    const parsed = schema.safeParse(reply?.result);
    if (parsed.success) return neverthrow.ok(parsed.data);
    return unreadable(
      reply?.error?.message ?? "The answer has another form; ask another peer",
    );
  } catch (error) {
    return unreadable(`The answer is not JSON: ${String(error)}`);
  }
}
