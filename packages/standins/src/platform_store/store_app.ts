/**
 * HTTP side of the store stand-in. Objects under `/objects`, a long poll at
 * `/watch`; `/faults` and `/counters` lie beside the protocol and stay
 * reachable in every fault.
 */
import type { WriteCondition } from "@guavatide/contracts";
import { type Context, Hono, type Next } from "hono";
import * as serve from "../http/serve.ts";
import { ObjectTable, type WriteOutcome } from "./object_table.ts";
import { StoreFaults, storeFaultSettingsSchema } from "./store_faults.ts";

type StoreContext = Context<serve.StandInEnv>;

/** Calls by kind since the start; a waiting watch is one. */
export interface StoreCounters {
  get: number;
  list: number;
  put: number;
  delete: number;
  watch: number;
}

/** The stand-in's routes and state. */
export class StoreApp {
  readonly hono = new Hono<serve.StandInEnv>();
  readonly table = new ObjectTable();
  readonly faults = new StoreFaults();
  readonly counters: StoreCounters = {
    get: 0,
    list: 0,
    put: 0,
    delete: 0,
    watch: 0,
  };

  constructor() {
    const app = this.hono;
    app.get("/counters", (context) => context.json(this.counters));
    app.post("/faults", (context) => this.#setFaults(context));
    // Covers "/objects" itself, too.
    app.use("/objects/*", (context, next) => this.#suffer(context, next));
    app.get("/objects", (context) => this.#list(context));
    app.get("/objects/:name", (context) => this.#get(context));
    app.put("/objects/:name", (context) => this.#put(context));
    app.delete("/objects/:name", (context) => this.#delete(context));
    app.get("/watch", (context) => this.#watch(context));
  }

  async #setFaults(context: StoreContext): Promise<Response> {
    const parsed = storeFaultSettingsSchema.safeParse(await context.req.json());
    if (!parsed.success) return context.text(parsed.error.message, 400);
    this.faults.set(parsed.data);
    if (parsed.data.skipEvents !== undefined) {
      this.table.skipEvents(parsed.data.skipEvents);
    }
    if (parsed.data.forgetLog === true) this.table.compactLog();
    return context.json({});
  }

  async #suffer(
    context: StoreContext,
    next: Next,
  ): Promise<Response | undefined> {
    this.#count(context);
    const outage = this.#outageAnswer(context);
    if (outage !== undefined) return outage;
    await serve.delay(this.faults.delayMs);
    if (this.faults.consumeFailure()) return context.text("failed", 503);
    await next();
  }

  #outageAnswer(context: StoreContext): Response | undefined {
    switch (this.faults.outage) {
      case "refuse":
        return serve.cutConnection(context);
      case "hang":
        return serve.leaveUnanswered();
      case "none":
        return undefined;
    }
  }

  #count(context: StoreContext): void {
    const method = context.req.method;
    if (method === "PUT") this.counters.put++;
    else if (method === "DELETE") this.counters.delete++;
    else if (context.req.path === "/objects") this.counters.list++;
    else this.counters.get++;
  }

  #list(context: StoreContext): Response {
    return context.json(this.table.list(context.req.query("prefix") ?? ""));
  }

  #get(context: StoreContext): Response {
    const object = this.table.get(nameOf(context));
    if (object === undefined) return context.text("no such object", 404);
    context.header("etag", `"${object.version}"`);
    context.header("content-type", "application/json");
    return context.body(object.value);
  }

  async #put(context: StoreContext): Promise<Response> {
    const value = await context.req.text();
    const condition = conditionOf(context);
    const outcome = this.table.put(nameOf(context), value, condition);
    return this.#answerWrite(context, outcome);
  }

  #delete(context: StoreContext): Response {
    const outcome = this.table.delete(nameOf(context), conditionOf(context));
    return this.#answerWrite(context, outcome);
  }

  #answerWrite(context: StoreContext, outcome: WriteOutcome): Response {
    switch (outcome.kind) {
      case "conflict":
        return context.text("another version", 412);
      case "not-found":
        return context.text("no such object", 404);
      case "too-large":
        return context.text("value over 1 MB", 413);
      case "written":
        break;
    }
    const fault = this.faults.consumeWriteReplyFault();
    if (fault === "lose") return serve.cutConnection(context);
    if (fault === "fail") return context.text("failed", 503);
    context.header("etag", `"${outcome.version}"`);
    return context.body(null, context.req.method === "PUT" ? 200 : 204);
  }

  async #watch(context: StoreContext): Promise<Response> {
    this.counters.watch++;
    const outage = this.#outageAnswer(context);
    if (outage !== undefined) return outage;
    const prefix = context.req.query("prefix") ?? "";
    const cursor = context.req.query("cursor") ?? "";
    const waitMs = Number(context.req.query("waitMs") ?? "0");
    await this.#waitForEvent(context, { prefix, cursor, waitMs });
    const outageSince = this.#outageAnswer(context);
    if (outageSince !== undefined) return outageSince;
    if (this.faults.watch === "silent") return serve.leaveUnanswered();
    if (this.faults.watch === "empty") {
      return context.json({ cursor, events: [], reset: false });
    }
    return context.json(this.table.eventsAfter(prefix, cursor));
  }

  #waitForEvent(
    context: StoreContext,
    watch: { prefix: string; cursor: string; waitMs: number },
  ): Promise<void> {
    const table = this.table;
    return new Promise((resolve) => {
      function finish(): void {
        clearTimeout(timer);
        stopListening();
        resolve();
      }
      function look(): void {
        const batch = table.eventsAfter(watch.prefix, watch.cursor);
        if (batch.reset || batch.events.length > 0) finish();
      }
      const timer = setTimeout(finish, watch.waitMs);
      const stopListening = table.onChange(() => {
        if (this.faults.watch === "normal") look();
      });
      context.env.incoming.socket.once("close", finish);
      if (this.faults.watch === "normal") look();
    });
  }
}

function nameOf(context: StoreContext): string {
  return context.req.param("name") ?? "";
}

function conditionOf(context: StoreContext): WriteCondition {
  if (context.req.header("if-none-match") === "*") return { kind: "absent" };
  const match = /^"(.*)"$/.exec(context.req.header("if-match") ?? "");
  if (match?.[1] === undefined) return { kind: "any" };
  return { kind: "version", version: match[1] };
}
