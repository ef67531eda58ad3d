/**
 * Where other entry VMs call this one: JSON-RPC 2.0 over HTTP, `POST /peer`.
 * Each method declares the shape of its parameters; anything else is refused
 * before the handler sees it.
 */
import * as nodeServer from "@hono/node-server";
import * as hono from "hono";
import * as bodyLimit from "hono/body-limit";
import * as jsonRpc from "json-rpc-2.0";
import * as crypto from "node:crypto";
import type * as http from "node:http";
import type * as net from "node:net";
import type * as z from "zod";
import * as httpServer from "../utils/http_server.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";

/** Largest call of a peer, in bytes: an assignment with room to spare. */
const BODY_LIMIT_BYTES = 4 * 1024 * 1024;
/** Time a peer may take to send a whole call. */
const REQUEST_TIMEOUT_MS = 5_000;
const STOP_TIMEOUT_MS = 500;

/** Options of {@link PeerDoor}. */
export interface PeerDoorOptions {
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
export class PeerDoor {
  readonly #rpc = new jsonRpc.JSONRPCServer();
  readonly #options: PeerDoorOptions;
  readonly #secretDigest: Buffer;

  constructor(options: PeerDoorOptions) {
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
    const server = nodeServer.createAdaptorServer({
      fetch: this.#createApp().fetch,
      createServer: ((options: object, onRequest: http.RequestListener) =>
        httpServer.createHttpServer(options, this.#options.tls)
          .on("request", onRequest)) as typeof http.createServer,
    }) as http.Server;
    server.requestTimeout = REQUEST_TIMEOUT_MS;
    lifeCycle.onStop({
      name: "peer door",
      timeoutMs: STOP_TIMEOUT_MS,
      run: () => closeServer(server),
    });
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(this.#options.port, this.#options.host, resolve);
    });
    return (server.address() as net.AddressInfo).port;
  }

  #createApp(): hono.Hono {
    const app = new hono.Hono();
    app.use(bodyLimit.bodyLimit({ maxSize: BODY_LIMIT_BYTES }));
    app.post("/peer", async (context) => {
      if (!this.#isAuthentic(context.req.header("authorization"))) {
        return context.json({ error: "Send the peers' shared secret" }, 401);
      }
      const call = await context.req.json() as jsonRpc.JSONRPCRequest;
      const answer = await this.#rpc.receive(call);
      return answer === null ? context.body(null, 204) : context.json(answer);
    });
    return app;
  }

  /** Digests are compared, so that the time taken tells nothing. */
  #isAuthentic(header: string | undefined): boolean {
    return crypto.timingSafeEqual(digest(header ?? ""), this.#secretDigest);
  }
}

function digest(text: string): Buffer {
  return crypto.createHash("sha256").update(text).digest();
}

function closeServer(server: http.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
