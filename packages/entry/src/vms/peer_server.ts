/**
 * Where other entry VMs call this one: JSON-RPC 2.0 over HTTP, `POST /peer`.
 * Each method declares the shape of its parameters; anything else is refused
 * before the handler sees it.
 *
 * Node's own server instead of hono: beats are most of what an entry VM does
 * at rest, and turning each into a web request and back took more time than
 * the call itself.
 */
import * as jsonRpc from "json-rpc-2.0";
import * as crypto from "node:crypto";
import type * as http from "node:http";
import type * as z from "zod";
import * as httpServer from "../utils/http_server.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";

/** Largest call of a peer, in bytes: an assignment with room to spare. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Time a peer may take to send a whole call. */
const REQUEST_TIMEOUT_MS = 5_000;
const STOP_TIMEOUT_MS = 500;
const PEER_PATH = "/peer";

/** Options of {@link PeerServer}. */
export interface PeerServerOptions {
  /** IP number to listen on. */
  readonly host: string;
  /** 0 takes any free port. */
  readonly port: number;
  /** Shared by all entry VMs of one deployment. */
  readonly secret: string;
  /** Certificate of this VM; peers are called over TLS when it is there. */
  readonly tls?: httpServer.ServerTls;
}

/** Listens for calls of other entry VMs. */
export class PeerServer {
  readonly #rpc = new jsonRpc.JSONRPCServer();
  readonly #options: PeerServerOptions;
  readonly #secretDigest: Buffer;

  constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#secretDigest = digest(`Bearer ${options.secret}`);
  }

  /** Adds a method. Parameters that do not fit the schema are refused. */
  register<Schema extends z.ZodType>(
    method: string,
    schema: Schema,
    handler: (params: z.infer<Schema>) => unknown | Promise<unknown>,
  ): void {
    this.#rpc.addMethod(method, (params) => handler(schema.parse(params)));
  }

  /** Starts listening and returns the port. */
  async listen(lifeCycle: LifeCycle): Promise<number> {
    const server = httpServer.createHttpServer({}, this.#options.tls);
    server.on("request", (request, response) => {
      this.#answer(request, response).catch(() => response.destroy());
    });
    server.requestTimeout = REQUEST_TIMEOUT_MS;
    lifeCycle.onStop({
      name: "peer door",
      timeoutMs: STOP_TIMEOUT_MS,
      run: () => closeServer(server),
    });
    return await httpServer.listenOn(server, this.#options);
  }

  /** Nothing of a call but its headers is read before the secret is known. */
  async #answer(
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
    const answer = await this.#rpc.receiveJSON(text);
    if (answer === null) {
      response.writeHead(204).end();
      return;
    }
    sendJson(response, 200, answer);
  }

  /** Digests are compared, so that the time taken tells nothing. */
  #isAuthentic(header: string | undefined): boolean {
    return crypto.timingSafeEqual(digest(header ?? ""), this.#secretDigest);
  }
}

function digest(text: string): Buffer {
  return crypto.createHash("sha256").update(text).digest();
}

/** The whole body; undefined when it is larger than the limit. */
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

/** A refused caller's connection is closed: its body stays unread. */
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
