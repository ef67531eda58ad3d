/**
 * HTTP routes of the backend server stand-in: requests under `/serve` and the
 * control API under `/control`. `/faults` and `/journal` are for tests only and
 * are not part of the protocol.
 */
import * as contracts from "@guavatide/contracts";
import { type Context, Hono, type Next } from "hono";
import * as serve from "../http/serve.ts";
import { Journal } from "./journal.ts";
import { LoadHistory } from "./load_history.ts";
import { OwnershipState } from "./ownership_state.ts";
import { RequestLimitRecord } from "./request_limit_record.ts";
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
 * Request header that carries the caller's operation id, written to the
 * journal. The router forwards every caller header except those that have the
 * router's own prefix.
 */
export const OPERATION_HEADER = "idempotency-key";

/** A request whose path ends with this kills the process that runs it. */
export const POISON_PATH = "poison";

type BackendContext = Context<serve.StandInEnv>;

/** Response body of a request that was run. */
export interface WorkResponseBody {
  readonly server: string;
  readonly requestId: string;
  readonly operationId?: string;
  readonly key?: string;
  /** The request body, returned unchanged. */
  readonly echo: string;
  /** Padding of as many bytes as the request's `bytes` query parameter. */
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
  readonly #loadHistory: LoadHistory;
  /** Calls since it first named a limit. */
  readonly #limits = new RequestLimitRecord();
  readonly #knownSockets = new WeakSet<object>();
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
    this.#loadHistory = new LoadHistory(settings.loadLagMs);
    this.#addRoutes();
  }

  /** Number of running and queued requests. */
  get inFlight(): number {
    return this.#queue.inFlight;
  }

  /** Starts or stops refusing new requests; accepted requests still finish. */
  setDraining(isDraining: boolean): void {
    this.#queue.isDraining = isDraining;
  }

  #addRoutes(): void {
    const app = this.hono;
    app.get("/journal", (context) => context.json(this.#journal.entries));
    app.post("/faults", (context) => this.#setFaults(context));
    app.get(
      "/limit-violations",
      (context) => context.json(this.#limits.findViolations()),
    );
    app.use(
      "/serve/*",
      (context, next) => this.#simulateNetwork(context, next),
    );
    app.use(
      "/control/*",
      (context, next) => this.#simulateNetwork(context, next),
    );
    app.all("/serve/*", (context) => this.#serveRequest(context));
    app.post(
      "/control/ownership",
      (context) => this.#applyLeaseCommand(context),
    );
    app.get("/control/load", (context) => this.#reportLoad(context));
    app.get(
      "/control/held",
      (context) =>
        context.json(this.#ownership.heldSlices(this.#clock.nowMs())),
    );
    app.post("/control/drain", (context) => this.#setDrain(context));
    app.delete("/control/requests/:id", (context) => this.#cancel(context));
  }

  async #simulateNetwork(context: BackendContext, next: Next) {
    const { linkDelayMs, newConnectionMs } = this.#settings;
    const { socket } = context.env.incoming;
    const connectMs = this.#knownSockets.has(socket) ? 0 : newConnectionMs;
    this.#knownSockets.add(socket);
    await serve.delay(linkDelayMs + connectMs);
    const isControl = context.req.path.startsWith("/control/");
    const call = context.req.header(contracts.REQUEST_ID_HEADER);
    if (isControl && call !== undefined) {
      context.header(contracts.REQUEST_ID_HEADER, call);
    }
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
    const { requestLimit } = parsed.data;
    if (requestLimit !== undefined) {
      this.#limits.nameLimit(
        this.#settings.server,
        requestLimit === "" ? undefined : requestLimit,
        this.#clock.nowMs(),
      );
    }
    return context.json({});
  }

  async #applyLeaseCommand(context: BackendContext): Promise<Response> {
    const parsed = contracts.leaseCommandSchema.safeParse(
      await context.req.json(),
    );
    if (!parsed.success) return context.text(parsed.error.message, 400);
    const isForThisServer = parsed.data.server === this.#settings.server &&
      parsed.data.service === this.#settings.service;
    if (!isForThisServer) return context.text("order for another server", 421);
    const ownership = this.#ownership.applyLeaseCommand(
      parsed.data,
      this.#clock.nowMs(),
    );
    const reply: contracts.LeaseCommandReply = {
      ...ownership,
      draining: this.#queue.isDraining,
    };
    return context.json(reply);
  }

  #reportLoad(context: BackendContext): Response {
    const sample = this.#loadHistory.reportedLoad(this.#clock.nowMs());
    const report: contracts.LoadReport = {
      inFlight: sample.inFlight,
      slots: this.#settings.slots,
      ageMs: sample.ageMs,
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
    this.#recordLoad();
    return context.json({ result });
  }

  async #serveRequest(context: BackendContext): Promise<Response> {
    const { server } = this.#settings;
    this.#limits.recordCall(server, undefined, this.#clock.nowMs());
    const body = await context.req.text();
    const request = this.#parseRequest(context);
    if (request === undefined) {
      return context.text(`missing ${contracts.REQUEST_ID_HEADER}`, 400);
    }
    const { outgoing } = context.env;
    outgoing.once("close", () => {
      if (!outgoing.writableFinished) this.#queue.cancel(request.requestId);
    });
    const pending = this.#queue.submit(request);
    this.#recordLoad();
    const result = await pending;
    this.#recordLoad();
    const isPoison = context.req.path.endsWith(`/${POISON_PATH}`);
    if (isPoison && result.kind !== "refused") {
      process.kill(process.pid, "SIGKILL");
    }
    return this.#respond(context, { request, result, body });
  }

  #parseRequest(context: BackendContext): IncomingRequest | undefined {
    const requestId = context.req.header(contracts.REQUEST_ID_HEADER);
    if (requestId === undefined) return undefined;
    const stampedDeadline = context.req.header(
      contracts.DEADLINE_STAMP_HEADER,
    );
    const remainingMs = context.req.header(contracts.DEADLINE_HEADER);
    const fence = context.req.header(contracts.FENCE_HEADER);
    return {
      requestId,
      operationId: context.req.header(OPERATION_HEADER),
      key: context.req.header(contracts.KEY_HEADER),
      slice: context.req.header(contracts.SLICE_HEADER),
      fence: fence === undefined ? undefined : Number(fence),
      deadlineMs: remainingMs === undefined
        ? undefined
        : this.#clock.nowMs() + Number(remainingMs),
      effectDeadlineMs: this.#parseStampedDeadline(stampedDeadline),
    };
  }

  /**
   * A deadline stamped by another incarnation of this process counts as
   * passed: its clock reading means nothing to this incarnation.
   */
  #parseStampedDeadline(text: string | undefined): number | undefined {
    if (text === undefined) return undefined;
    const [instance, deadlineMs] = text.split("/");
    const isCurrent = instance === this.#ownership.instance;
    return isCurrent ? Number(deadlineMs) : -Infinity;
  }

  async #respond(
    context: BackendContext,
    work: { request: IncomingRequest; result: WorkResult; body: string },
  ): Promise<Response> {
    const { request, result } = work;
    await serve.delay(this.#faults.answerLateMs ?? 0);
    if (this.#consumeFault("lostAnswers")) return serve.leaveUnanswered();
    const id = this.#consumeFault("wrongIdAnswers")
      ? `${request.requestId}-other`
      : request.requestId;
    context.header(contracts.REQUEST_ID_HEADER, id);
    context.header(contracts.IN_FLIGHT_HEADER, String(this.#queue.inFlight));
    const nowMs = this.#clock.nowMs();
    const { requestLimit = "" } = this.#faults;
    if (requestLimit !== "") {
      context.header(contracts.REQUEST_LIMIT_HEADER, requestLimit);
      const told = { caller: undefined, text: requestLimit, atMs: nowMs };
      this.#limits.recordTold(this.#settings.server, told);
    }
    context.header(
      contracts.STAMP_HEADER,
      `${this.#ownership.instance}/${nowMs}`,
    );
    if (result.kind === "refused") {
      context.header(contracts.NOT_RUN_HEADER, result.refusal);
      const { retryAfter } = this.#faults;
      if (retryAfter !== undefined) context.header("retry-after", retryAfter);
      const status = result.refusal === "not-owner" ? 409 : 503;
      return context.json({ refused: result.refusal }, status);
    }
    const fillerBytes = Number(context.req.query("bytes") ?? "0");
    const responseBody: WorkResponseBody = {
      server: this.#settings.server,
      requestId: request.requestId,
      operationId: request.operationId,
      key: request.key,
      echo: work.body,
      filler: "x".repeat(fillerBytes),
    };
    if (this.#consumeFault("truncatedAnswers")) {
      return sendTruncated(context, { id, text: JSON.stringify(responseBody) });
    }
    return context.json(responseBody);
  }

  #consumeFault(
    name: "lostAnswers" | "wrongIdAnswers" | "truncatedAnswers",
  ): boolean {
    const remaining = this.#faults[name] ?? 0;
    if (remaining === 0) return false;
    this.#faults = { ...this.#faults, [name]: remaining - 1 };
    return true;
  }

  #recordLoad(): void {
    this.#loadHistory.record(this.#queue.inFlight, this.#clock.nowMs());
  }
}

/** Sends half of the announced body, then closes the connection. */
function sendTruncated(
  context: BackendContext,
  response: { readonly id: string; readonly text: string },
): Response {
  const { outgoing, incoming } = context.env;
  outgoing.writeHead(200, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(response.text),
    [contracts.REQUEST_ID_HEADER]: response.id,
  });
  const half = response.text.slice(0, response.text.length / 2);
  outgoing.write(half, () => incoming.socket.destroy());
  return serve.leaveUnanswered();
}
