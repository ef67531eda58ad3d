/**
 * HTTP side of the backend server stand-in: work under `/serve`, the control
 * side under `/control`; `/faults` and `/journal` lie beside the protocol.
 */
import * as contracts from "@guavatide/contracts";
import { type Context, Hono, type Next } from "hono";
import * as serve from "../http/serve.ts";
import { Journal } from "./journal.ts";
import { LoadHistory } from "./load_history.ts";
import { OwnershipState } from "./ownership_state.ts";
import { ServiceTimeSampler } from "./service_time_sampler.ts";
import {
  type BackendFaults,
  backendFaultsSchema,
  type BackendSettings,
} from "./settings.ts";
import {
  type IncomingRequest,
  WorkQueue,
  type WorkResult,
} from "./work_queue.ts";

/**
 * Request header: the caller's name for an operation, for the journal. The
 * router passes on a caller's headers but those of its own prefix.
 */
export const OPERATION_HEADER = "idempotency-key";

const RETRY_AFTER_SECONDS = "1";

type BackendContext = Context<serve.StandInEnv>;

/** What a served request answers. */
export interface WorkResponseBody {
  readonly server: string;
  readonly requestId: string;
  readonly operationId?: string;
  readonly key?: string;
  /** The request's body, sent back. */
  readonly echo: string;
  /** Filler as long as the request's `bytes` query asks for. */
  readonly filler: string;
}

/** The stand-in's routes and state. */
export class BackendApp {
  readonly hono = new Hono<serve.StandInEnv>();
  readonly #settings: BackendSettings;
  readonly #clock: contracts.Clock;
  readonly #ownership: OwnershipState;
  readonly #journal: Journal;
  readonly #queue: WorkQueue;
  readonly #load: LoadHistory;
  readonly #seenSockets = new WeakSet<object>();
  #faults: BackendFaults = {};

  constructor(
    settings: BackendSettings,
    options: { readonly clock: contracts.Clock; readonly instance: string },
  ) {
    this.#settings = settings;
    this.#clock = options.clock;
    this.#ownership = new OwnershipState({
      instance: options.instance,
      checksFences: settings.checksFences,
    });
    this.#journal = new Journal({
      server: settings.server,
      file: settings.journalFile,
      clock: options.clock,
    });
    this.#queue = new WorkQueue({
      settings,
      clock: options.clock,
      ownership: this.#ownership,
      journal: this.#journal,
      serviceTimes: new ServiceTimeSampler(
        settings.serviceTimeMs,
        settings.seed,
      ),
    });
    this.#load = new LoadHistory(settings.loadLagMs);
    this.#addRoutes();
  }

  /** Requests that run or wait. */
  get inFlight(): number {
    return this.#queue.inFlight;
  }

  /** Refuses new work from now on, or takes it again. */
  setDraining(isDraining: boolean): void {
    this.#queue.isDraining = isDraining;
  }

  #addRoutes(): void {
    const app = this.hono;
    app.get("/journal", (context) => context.json(this.#journal.entries));
    app.post("/faults", (context) => this.#setFaults(context));
    app.use("/serve/*", (context, next) => this.#delayLink(context, next));
    app.use("/control/*", (context, next) => this.#delayLink(context, next));
    app.all("/serve/*", (context) => this.#work(context));
    app.post("/control/ownership", (context) => this.#order(context));
    app.get("/control/load", (context) => this.#reportLoad(context));
    app.get(
      "/control/held",
      (context) =>
        context.json(this.#ownership.heldSlices(this.#clock.nowMs())),
    );
    app.post("/control/drain", (context) => this.#setDrain(context));
    app.delete("/control/requests/:id", (context) => this.#cancel(context));
  }

  async #delayLink(context: BackendContext, next: Next) {
    const { linkDelayMs, newConnectionMs } = this.#settings;
    const { socket } = context.env.incoming;
    const connectMs = this.#seenSockets.has(socket) ? 0 : newConnectionMs;
    this.#seenSockets.add(socket);
    await serve.delay(linkDelayMs + connectMs);
    const isControl = context.req.path.startsWith("/control/");
    if (isControl && this.#faults.controlHangs === true) {
      return serve.leaveUnanswered();
    }
    await next();
    await serve.delay(linkDelayMs);
  }

  async #setFaults(context: BackendContext): Promise<Response> {
    const parsed = backendFaultsSchema.safeParse(await context.req.json());
    if (!parsed.success) return context.text(parsed.error.message, 400);
    this.#faults = { ...this.#faults, ...parsed.data };
    this.#queue.slowFactor = this.#faults.slowFactor ?? 1;
    this.#queue.setHoldRuns(this.#faults.holdRuns ?? false);
    return context.json({});
  }

  async #order(context: BackendContext): Promise<Response> {
    const parsed = contracts.leaseCommandSchema.safeParse(
      await context.req.json(),
    );
    if (!parsed.success) return context.text(parsed.error.message, 400);
    const isMine = parsed.data.server === this.#settings.server &&
      parsed.data.service === this.#settings.service;
    if (!isMine) return context.text("order for another server", 421);
    const answer = this.#ownership.applyLeaseCommand(
      parsed.data,
      this.#clock.nowMs(),
    );
    const reply: contracts.LeaseCommandReply = {
      ...answer,
      draining: this.#queue.isDraining,
    };
    return context.json(reply);
  }

  #reportLoad(context: BackendContext): Response {
    const told = this.#load.reportedLoad(this.#clock.nowMs());
    const report: contracts.LoadReport = {
      inFlight: told.inFlight,
      slots: this.#settings.slots,
      ageMs: told.ageMs,
      draining: this.#queue.isDraining,
      healthy: true,
      ...this.#faults.load,
    };
    return context.json(report);
  }

  async #setDrain(context: BackendContext): Promise<Response> {
    const body = await context.req.json().catch(() => ({}));
    this.setDraining(body.draining !== false);
    return context.json({ draining: this.#queue.isDraining });
  }

  #cancel(context: BackendContext): Response {
    const result = this.#queue.cancel(context.req.param("id") ?? "");
    this.#noteLoad();
    return context.json({ result });
  }

  async #work(context: BackendContext): Promise<Response> {
    const body = await context.req.text();
    const request = this.#readRequest(context);
    if (request === undefined) {
      return context.text(`missing ${contracts.REQUEST_ID_HEADER}`, 400);
    }
    const { outgoing } = context.env;
    outgoing.once("close", () => {
      if (!outgoing.writableFinished) this.#queue.cancel(request.requestId);
    });
    const working = this.#queue.submit(request);
    this.#noteLoad();
    const result = await working;
    this.#noteLoad();
    return this.#answer(context, { request, result, body });
  }

  #readRequest(context: BackendContext): IncomingRequest | undefined {
    const requestId = context.req.header(contracts.REQUEST_ID_HEADER);
    if (requestId === undefined) return undefined;
    const stamped = context.req.header(contracts.DEADLINE_STAMP_HEADER);
    const leftMs = context.req.header(contracts.DEADLINE_HEADER);
    const fence = context.req.header(contracts.FENCE_HEADER);
    return {
      requestId,
      operationId: context.req.header(OPERATION_HEADER),
      key: context.req.header(contracts.KEY_HEADER),
      slice: context.req.header(contracts.SLICE_HEADER),
      fence: fence === undefined ? undefined : Number(fence),
      deadlineMs: leftMs === undefined
        ? undefined
        : this.#clock.nowMs() + Number(leftMs),
      effectDeadlineMs: this.#readStampedDeadline(stamped),
    };
  }

  /** A deadline for an earlier run of this process has long passed. */
  #readStampedDeadline(text: string | undefined): number | undefined {
    if (text === undefined) return undefined;
    const [instance, milliseconds] = text.split("/");
    const isOurs = instance === this.#ownership.instance;
    return isOurs ? Number(milliseconds) : -Infinity;
  }

  async #answer(
    context: BackendContext,
    work: { request: IncomingRequest; result: WorkResult; body: string },
  ): Promise<Response> {
    const { request, result } = work;
    await serve.delay(this.#faults.answerLateMs ?? 0);
    if (this.#take("lostAnswers")) return serve.leaveUnanswered();
    const id = this.#take("wrongIdAnswers")
      ? `${request.requestId}-other`
      : request.requestId;
    context.header(contracts.REQUEST_ID_HEADER, id);
    context.header(contracts.IN_FLIGHT_HEADER, String(this.#queue.inFlight));
    const nowMs = this.#clock.nowMs();
    context.header(
      contracts.STAMP_HEADER,
      `${this.#ownership.instance}/${nowMs}`,
    );
    if (result.kind === "refused") {
      context.header(contracts.NOT_RUN_HEADER, result.refusal);
      context.header("retry-after", RETRY_AFTER_SECONDS);
      const status = result.refusal === "not-owner" ? 409 : 503;
      return context.json({ refused: result.refusal }, status);
    }
    const fillerBytes = Number(context.req.query("bytes") ?? "0");
    const answer: WorkResponseBody = {
      server: this.#settings.server,
      requestId: request.requestId,
      operationId: request.operationId,
      key: request.key,
      echo: work.body,
      filler: "x".repeat(fillerBytes),
    };
    if (this.#take("truncatedAnswers")) {
      return truncate(context, { id, text: JSON.stringify(answer) });
    }
    return context.json(answer);
  }

  #take(name: "lostAnswers" | "wrongIdAnswers" | "truncatedAnswers"): boolean {
    const left = this.#faults[name] ?? 0;
    if (left === 0) return false;
    this.#faults = { ...this.#faults, [name]: left - 1 };
    return true;
  }

  #noteLoad(): void {
    this.#load.record(this.#queue.inFlight, this.#clock.nowMs());
  }
}

/** Sends half of the announced body, then cuts the connection. */
function truncate(
  context: BackendContext,
  answer: { readonly id: string; readonly text: string },
): Response {
  const { outgoing, incoming } = context.env;
  outgoing.writeHead(200, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(answer.text),
    [contracts.REQUEST_ID_HEADER]: answer.id,
  });
  const half = answer.text.slice(0, answer.text.length / 2);
  outgoing.write(half, () => incoming.socket.destroy());
  return serve.leaveUnanswered();
}
