/** HTTP control of a relay process: its links and their faults. */
import { type Context, Hono } from "hono";
import * as z from "zod";
import type * as serve from "../http/serve.ts";
import { relayFaultsSchema, TcpRelay } from "./tcp_relay.ts";

type RelayContext = Context<serve.StandInEnv>;

const newLinkSchema = z.strictObject({
  targetHost: z.string().default("127.0.0.1"),
  targetPort: z.number().int().min(1).max(65535),
  /** 0 takes a free port. */
  port: z.number().int().min(0).max(65535).default(0),
});

/** The routes of a relay process; a link is named by its port. */
export class RelayApp {
  readonly hono = new Hono<serve.StandInEnv>();
  readonly #links = new Map<string, TcpRelay>();

  constructor() {
    this.hono.post("/links", (context) => this.#open(context));
    this.hono.post(
      "/links/:port/faults",
      (context) => this.#setFaults(context),
    );
  }

  /** Closes every link. */
  async close(): Promise<void> {
    for (const link of this.#links.values()) await link.close();
  }

  async #open(context: RelayContext): Promise<Response> {
    const parsed = newLinkSchema.safeParse(await context.req.json());
    if (!parsed.success) return context.text(parsed.error.message, 400);
    const { targetHost, targetPort } = parsed.data;
    const link = new TcpRelay({ host: targetHost, port: targetPort });
    const port = await link.listen(parsed.data.port);
    this.#links.set(String(port), link);
    return context.json({ port });
  }

  async #setFaults(context: RelayContext): Promise<Response> {
    const link = this.#links.get(context.req.param("port") ?? "");
    if (link === undefined) return context.text("no such link", 404);
    const parsed = relayFaultsSchema.safeParse(await context.req.json());
    if (!parsed.success) return context.text(parsed.error.message, 400);
    link.setFaults(parsed.data);
    return context.json({ connections: link.connectionCount });
  }
}
