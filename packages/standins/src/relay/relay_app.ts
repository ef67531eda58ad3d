/** HTTP API of a relay process: opens TCP relays and sets their faults. */
import { type Context, Hono } from "hono";
import * as z from "zod";
import type * as serve from "../http/serve.ts";
import { relayFaultsSchema, TcpRelay } from "./tcp_relay.ts";

type RelayContext = Context<serve.StandInEnv>;

const openRelaySchema = z.strictObject({
  targetHost: z.string().default("127.0.0.1"),
  targetPort: z.number().int().min(1).max(65535),
  /** 0 picks a free port. */
  port: z.number().int().min(0).max(65535).default(0),
});

/** Routes of a relay process; a TCP relay is identified by its port. */
export class RelayApp {
  readonly hono = new Hono<serve.StandInEnv>();
  readonly #relays = new Map<string, TcpRelay>();

  constructor() {
    this.hono.post("/links", (context) => this.#open(context));
    this.hono.post(
      "/links/:port/faults",
      (context) => this.#setFaults(context),
    );
  }

  /** Closes all TCP relays. */
  async close(): Promise<void> {
    for (const relay of this.#relays.values()) await relay.close();
  }

  async #open(context: RelayContext): Promise<Response> {
    const parsed = openRelaySchema.safeParse(await context.req.json());
    if (!parsed.success) return context.text(parsed.error.message, 400);
    const { targetHost, targetPort } = parsed.data;
    const relay = new TcpRelay({ host: targetHost, port: targetPort });
    const port = await relay.listen(parsed.data.port);
    this.#relays.set(String(port), relay);
    return context.json({ port });
  }

  async #setFaults(context: RelayContext): Promise<Response> {
    const relay = this.#relays.get(context.req.param("port") ?? "");
    if (relay === undefined) return context.text("no such link", 404);
    const parsed = relayFaultsSchema.safeParse(await context.req.json());
    if (!parsed.success) return context.text(parsed.error.message, 400);
    relay.setFaults(parsed.data);
    return context.json({ connections: relay.connectionCount });
  }
}
