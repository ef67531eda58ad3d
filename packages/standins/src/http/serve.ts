/**
 * Common parts of the stand-in processes: one JSON argument validated by a
 * schema, an HTTP server, a ready line on standard output that names its port,
 * and shutdown on signals.
 */
import { type HttpBindings, serve } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Context, Hono } from "hono";
import type * as http from "node:http";
import type { AddressInfo } from "node:net";
import type * as z from "zod";

/** Hono environment of the routes: Node's request and response. */
export interface StandInEnv {
  Bindings: HttpBindings;
}

/** Options of {@link listen}. */
export interface ListenOptions {
  /** 0 picks a free port. */
  readonly port: number;
  /** 127.0.0.1 by default. */
  readonly host?: string;
}

/** A listening HTTP server. */
export interface HttpListener {
  readonly port: number;
  readonly server: http.Server;
  /** Closes the port and all connections. */
  close(): Promise<void>;
}

/** Serves an application; resolves when the port is open. Errors: rejects. */
export function listen(
  app: Hono<StandInEnv>,
  options: ListenOptions,
): Promise<HttpListener> {
  return new Promise((resolve, reject) => {
    const server = serve({
      fetch: app.fetch,
      port: options.port,
      hostname: options.host ?? "127.0.0.1",
      // A call that hangs must stay open, so that tests see the client's
      // deadline end it and not a timeout of this server.
      serverOptions: { requestTimeout: 0, keepAliveTimeout: 60_000 },
    }, (info: AddressInfo) => {
      resolve({ port: info.port, server, close: () => closeServer(server) });
    }) as http.Server;
    server.once("error", reject);
  });
}

function closeServer(server: http.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/** Parses the JSON argument of a stand-in. Errors: throws if it is invalid. */
export function readArgument<T>(schema: z.ZodType<T>): T {
  const text = process.argv[2] ?? "{}";
  const parsed = schema.safeParse(JSON.parse(text));
  if (!parsed.success) {
    throw new Error(
      `The JSON argument is invalid: ${parsed.error.message}; correct these fields`,
    );
  }
  return parsed.data;
}

/** Prints the ready line, for which the parent process waits. */
export function printReady(fields: { readonly port: number }): void {
  process.stdout.write(JSON.stringify(fields) + "\n");
}

/** On SIGTERM or SIGINT: calls `stop`, then exits; code 1 if it rejects. */
export function stopOnSignal(stop: () => Promise<void>): void {
  let isStopping = false;
  function onSignal(): void {
    if (isStopping) return;
    isStopping = true;
    stop().then(() => process.exit(0), () => process.exit(1));
  }
  process.on("SIGTERM", onSignal);
  process.on("SIGINT", onSignal);
}

/** Closes the connection of a call without a response. */
export function cutConnection(context: Context<StandInEnv>): Response {
  context.env.incoming.socket.destroy();
  return RESPONSE_ALREADY_SENT;
}

/** Sends no response to a call; its connection stays open. */
export function leaveUnanswered(): Response {
  return RESPONSE_ALREADY_SENT;
}

/** Resolves after a delay; immediately when it is 0 or negative. */
export function delay(delayMs: number): Promise<void> {
  if (delayMs <= 0) return Promise.resolve();
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
