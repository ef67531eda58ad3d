/**
 * Server for calls from other entry VMs: JSON-RPC 2.0 over HTTP, `POST /peer`.
 * Each method declares a schema of its parameters. Parameters that don't match
 * are refused before the handler is called.
 *
 * Uses Node's HTTP server instead of hono: heartbeats are most of the work of an
 * idle entry VM, and the conversion of each to a web request and back takes more
 * time than the call itself.
 */
import * as contracts from "@guavatide/contracts";
import * as jsonRpc from "json-rpc-2.0";
import * as crypto from "node:crypto";
import type * as http from "node:http";
import type * as z from "zod";
import * as httpServer from "../utils/http_server.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";

/** Maximum size of a request body. Assignments are far smaller. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Time that a peer has to send a complete request. */
const REQUEST_TIMEOUT_MS = 5_000;
const STOP_TIMEOUT_MS = 500;
const PEER_PATH = "/peer";

/** Options of {@link PeerServer}. */
export interface PeerServerOptions {
  /** IP address to listen on. */
  readonly host: string;
  /** Port to listen on; 0 picks a free port. */
  readonly port: number;
  /** Secret shared by all entry VMs of one deployment. */
  readonly secret: string;
  /** Certificate of this VM. If set, only TLS connections are accepted. */
  readonly tls?: httpServer.ServerTls;
}

/** HTTP server for calls from other entry VMs. */
export class PeerServer {
  readonly #rpc = new jsonRpc.JSONRPCServer();
  readonly #options: PeerServerOptions;
  readonly #secretDigest: Buffer;

  constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#secretDigest = sha256(`Bearer ${options.secret}`);
  }

  /** Registers a method. Parameters that don't match the schema are refused. */
  register<Schema extends z.ZodType>(
    method: string,
    schema: Schema,
    handler: (params: z.infer<Schema>) => unknown | Promise<unknown>,
  ): void {
    this.#rpc.addMethod(method, (params) => handler(schema.parse(params)));
  }

  /** Starts listening. Resolves with the port. */
  async listen(lifeCycle: LifeCycle): Promise<number> {
    const server = httpServer.createHttpServer({}, this.#options.tls);
    server.on("request", (request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    server.requestTimeout = REQUEST_TIMEOUT_MS;
    lifeCycle.onStop({
      name: "peer door",
      timeoutMs: STOP_TIMEOUT_MS,
      run: () => closeServer(server),
    });
    return await httpServer.listenOn(server, this.#options);
  }

  /** Checks the secret before it reads anything but the headers. */
  async #handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    if (request.method !== "POST" || request.url !== PEER_PATH) {
      return refuse(response, 404, `Call POST ${PEER_PATH}`);
    }
    if (!this.#isAuthentic(request.headers.authorization)) {
      return refuse(response, 401, "Send the peers' shared secret");
    }
    const text = await readText(request);
    if (text === undefined) {
      return refuse(response, 413, `Send at most ${MAX_BODY_BYTES} bytes`);
    }
    const call = contracts.parseJson(text);
    const answer = call.isOk()
      ? await this.#rpc.receive(call.value as jsonRpc.JSONRPCRequest)
      : jsonRpc.createJSONRPCErrorResponse(
        null,
        jsonRpc.JSONRPCErrorCode.ParseError,
        call.error.message,
      );
    if (answer === null) {
      response.writeHead(204).end();
      return;
    }
    sendJson(response, 200, answer);
  }

  /** Compares digests in constant time, so that timing reveals nothing. */
  #isAuthentic(header: string | undefined): boolean {
    return crypto.timingSafeEqual(sha256(header ?? ""), this.#secretDigest);
  }
}

function sha256(text: string): Buffer {
  return crypto.createHash("sha256").update(text).digest();
}

/** Reads the whole body. Undefined if it exceeds `MAX_BODY_BYTES`. */
async function readText(
  request: http.IncomingMessage,
): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of request) {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_BODY_BYTES) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

function sendJson(
  response: http.ServerResponse,
  status: number,
  body: object,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** Sends an error and closes the connection, since the body is unread. */
function refuse(
  response: http.ServerResponse,
  status: number,
  error: string,
): void {
  response.setHeader("connection", "close");
  sendJson(response, status, { error });
}

function closeServer(server: http.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
