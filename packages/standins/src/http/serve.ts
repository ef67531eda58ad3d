/**
 * What every stand-in process shares: one JSON argument checked by schema, an
 * HTTP server on a port of its own, and a first line that names that port.
 */
import { type HttpBindings, serve } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Context, Hono } from "hono";
import type * as http from "node:http";
import type { AddressInfo } from "node:net";
import type * as z from "zod";

/** Environment of a stand-in's routes: Node's request and response. */
export interface StandInEnv {
  Bindings: HttpBindings;
}

/** Options of {@link listen}. */
export interface ListenOptions {
  /** 0 takes a free port. */
  readonly port: number;
  readonly host?: string;
}

/** A listening server. */
export interface HttpListener {
  readonly port: number;
  readonly server: http.Server;
  /** Closes the port and every connection. */
  close(): Promise<void>;
}

/** Serves an application and waits until the port is open. */
export function listen(
  app: Hono<StandInEnv>,
  options: ListenOptions,
): Promise<HttpListener> {
  return new Promise((resolve, reject) => {
    const server = serve({
      fetch: app.fetch,
      port: options.port,
      hostname: options.host ?? "127.0.0.1",
      // A hung call must stay open: the other side's deadline is on trial.
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

/** Reads the JSON argument of a stand-in. Errors: throws with the remedy. */
export function readArgument<T>(schema: z.ZodType<T>): T {
  const text = process.argv[2] ?? "{}";
  const parsed = schema.safeParse(JSON.parse(text));
  if (!parsed.success) {
    throw new Error(
      `The JSON argument is wrong: ${parsed.error.message}; mend these fields`,
    );
  }
  return parsed.data;
}

/** Tells the starter that the program is ready. */
export function printReady(fields: { readonly port: number }): void {
  process.stdout.write(JSON.stringify(fields) + "\n");
}

/** Ends the process on the usual signals after `stop`. */
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

/** Cuts the connection of a call without an answer. */
export function cutConnection(context: Context<StandInEnv>): Response {
  context.env.incoming.socket.destroy();
  return RESPONSE_ALREADY_SENT;
}

/** Leaves a call without an answer; its connection stays open. */
export function leaveUnanswered(): Response {
  return RESPONSE_ALREADY_SENT;
}

/** Resolves after a delay; at once when it is 0. */
export function delay(delayMs: number): Promise<void> {
  if (delayMs <= 0) return Promise.resolve();
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
