/**
 * Sends requests to backend servers for peers that don't reach them. Only over
 * this VM's own connections, so a request takes one hop at most.
 */
import * as contracts from "@guavatide/contracts";
import type * as admission from "@guavatide/decisions/admission/mod";
import type * as http from "node:http";
import * as timers from "node:timers/promises";
import type { AttemptResult } from "../../links/server_connection.ts";
import { conditionBeforeRetry } from "../../poison/server_end_check.ts";
import { EventLoopLagMonitor } from "../../utils/event_loop_lag_monitor.ts";
import type { LifeCycle } from "../../utils/life_cycle.ts";
import type { Logger } from "../../utils/log.ts";
import * as bodies from "../../utils/read_body.ts";
import { ThrottledWarning } from "../../utils/throttled_warning.ts";
import type { PeerGossip } from "../peers/peer_gossip.ts";
import type { PeerRpc } from "../peers/peer_rpc.ts";
import type { HeaderNames } from "../platform_adapter.ts";
import type { PoisonGuard, PoisonSubject } from "../poison/poison_guard.ts";
import * as messages from "./relay_messages.ts";
import type { RequestLimitTask } from "../limits/request_limit_task.ts";
import type { ServerBackoffTask } from "../backoffs/server_backoff_task.ts";
import type { ServerPaths } from "./server_paths.ts";
import type { ServerRegistry } from "../servers/server_registry.ts";

/** Options of {@link AttemptRelay}. */
export interface AttemptRelayOptions {
  readonly gossip: Pick<PeerGossip, "isKnownRun">;
  readonly registry: Pick<ServerRegistry, "entry" | "mayReceive">;
  readonly paths: Pick<
    ServerPaths,
    "sendDirect" | "observe" | "reaches" | "ownReach"
  >;
  readonly poison: Pick<
    PoisonGuard,
    "isPoisonous" | "noteLostConnection" | "noteGivenUp"
  >;
  readonly requestLimits: Pick<RequestLimitTask, "noteCall" | "noteAnswer">;
  readonly backoffs: Pick<ServerBackoffTask, "leftMs">;
  readonly headers: HeaderNames;
  readonly processorCores: number;
  /** Bytes that the VM holds; messages and replies count. */
  readonly heldBytes: Pick<
    admission.HeldBytes,
    "admitBody" | "addAnswerBytes"
  >;
  /** How long the VM's own requests wait for its processor. */
  readonly waitMs: () => number;
  /** Time from the stop signal until the process is killed. */
  readonly graceMs: number;
  /** Counts relayed attempts by outcome. */
  readonly count: (outcome: string) => void;
  readonly clock: contracts.BoundedClock;
  readonly log: Logger;
}

/** Largest body of a request, and some more for its headers. */
const MAX_MESSAGE_BYTES = 32 * 1_048_576;
/** Requests relayed at once, for each core. */
const MAX_RELAYED_PER_CORE = 160;
/** Each rank of a route leaves this fraction of the limits to those before it. */
const RANK_RESERVE_RATIO = 0.15;
const MIN_LIMIT_RATIO = 0.4;
/** With more lag, own callers come first. */
const MAX_LAG_MS = 250;
/** Fraction of the grace time within which relayed requests may end. */
const DRAIN_GRACE_RATIO = 0.93;
const DRAIN_CHECK_MS = 20;

/** The relayed requests of one VM. */
export class AttemptRelay {
  readonly #options: AttemptRelayOptions;
  readonly #lag: EventLoopLagMonitor;
  readonly #strangerLog: ThrottledWarning;
  #inFlight = 0;
  #isStopping = false;

  constructor(options: AttemptRelayOptions) {
    this.#options = options;
    this.#lag = new EventLoopLagMonitor(options.clock);
    this.#strangerLog = new ThrottledWarning(
      options.log,
      "Declines a message of a VM that is not known.",
    );
  }

  /** Starts to answer peers' messages. */
  start(lifeCycle: LifeCycle, rpc: PeerRpc): void {
    rpc.onPath(
      messages.RELAY_PATH,
      (request, response) => this.#handle(request, response),
    );
    this.#lag.start(lifeCycle, () => this.#inFlight === 0);
    const { graceMs, clock } = this.#options;
    let endMs = Number.POSITIVE_INFINITY;
    lifeCycle.signal.addEventListener("abort", () => {
      this.#isStopping = true;
      endMs = clock.nowMs() + graceMs * DRAIN_GRACE_RATIO;
    });
    lifeCycle.onStop({
      name: "relayed requests",
      timeoutMs: graceMs,
      run: async () => {
        while (this.#inFlight > 0 && clock.nowMs() < endMs) {
          await timers.setTimeout(DRAIN_CHECK_MS);
        }
      },
    });
  }

  async #handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const messageBytes = bodies.declaredBodyBytes(request) ??
      MAX_MESSAGE_BYTES;
    const held = this.#options.heldBytes.admitBody(messageBytes, () => {});
    if (!held?.isAdmitted) {
      held?.release();
      return await this.#declineUnread(request, response);
    }
    response.once("close", () => held.release());
    const abort = new AbortController();
    response.once("close", () => abort.abort());
    const read = await bodies.readBody(request, MAX_MESSAGE_BYTES);
    const decoded = read.kind === "whole" && read.body !== undefined
      ? messages.decodeRelayMessage(read.body, messages.relayRequestSchema)
      : undefined;
    if (decoded === undefined) {
      response.writeHead(400).end();
      return;
    }
    const { message, body } = decoded;
    const { reply, body: replyBody } =
      !this.#isKnown(message, request.socket.remoteAddress)
        ? declined("unknown-vm")
        : message.kind === "check"
        ? await this.#check(message.servers)
        : await this.#relay(message, body, abort.signal);
    this.#reply(request, response, { reply, body: replyBody });
  }

  /**
   * Declines a message for which there is no room. Its bytes are read and
   * dropped: a sender whose connection breaks can't tell whether it was taken.
   */
  async #declineUnread(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    request.resume();
    const isWhole = await new Promise<boolean>((resolve) => {
      request.once("end", () => resolve(true));
      request.once("close", () => resolve(false));
    });
    this.#options.count("declined overloaded");
    if (isWhole) this.#reply(request, response, declined("overloaded"));
  }

  #reply(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    { reply, body }: RelayedReply,
  ): void {
    if (response.destroyed) return;
    const bytes = messages.encodeRelayMessage(reply, body);
    const { heldBytes } = this.#options;
    heldBytes.addAnswerBytes(bytes.length);
    response.once("close", () => heldBytes.addAnswerBytes(-bytes.length));
    response.sendDate = false;
    const call = request.headers[contracts.REQUEST_ID_HEADER];
    response.writeHead(200, {
      "content-length": bytes.length,
      // Tells a late second reply from that to the next message.
      ...(call === undefined ? {} : { [contracts.REQUEST_ID_HEADER]: call }),
    });
    response.end(bytes);
  }

  /** Whether the sender is a VM that is known by gossip. */
  #isKnown(
    sender: messages.RelayRequest,
    address: string | undefined,
  ): boolean {
    const { gossip, clock } = this.#options;
    const isKnown = gossip.isKnownRun(sender, address);
    if (!isKnown) {
      const { vm } = sender;
      this.#strangerLog.warn(clock.nowMs(), { vm, address });
    }
    return isKnown;
  }

  async #check(
    servers: Extract<messages.RelayRequest, { kind: "check" }>["servers"],
  ): Promise<RelayedReply> {
    const { registry, paths } = this.#options;
    const observed = await Promise.all(servers.map(async (owner) => {
      const entry = registry.entry(owner);
      if (entry === undefined) return { isAccepting: false, heardAgoMs: null };
      const { isAccepting, heardAgoMs } = await paths.observe(entry);
      const hasHeard = Number.isFinite(heardAgoMs);
      return { isAccepting, heardAgoMs: hasHeard ? heardAgoMs : null };
    }));
    return { reply: { kind: "checked", observed } };
  }

  async #relay(
    attempt: messages.RelayedAttempt,
    body: Uint8Array,
    signal: AbortSignal,
  ): Promise<RelayedReply> {
    this.#lag.resume();
    const { id, method, target, host, key, caller } = attempt;
    const subject: PoisonSubject = {
      id,
      method,
      target,
      host,
      key,
      caller,
      body: body.length === 0 ? undefined : body,
    };
    const entry = this.#options.registry.entry(attempt);
    const reason = this.#declineReason(attempt, subject, entry);
    if (reason !== undefined) {
      this.#options.count(`declined ${reason}`);
      return declined(reason);
    }
    this.#inFlight++;
    try {
      const result = this.#backoffRefusal(entry!) ??
        await this.#send(entry!, attempt, { subject, signal });
      this.#options.count(result.kind);
      return messages.replyOf(result, this.#inFlight);
    } finally {
      this.#inFlight--;
    }
  }

  /**
   * The refusal of a server that has asked this VM to back off: what its peer
   * sends is what the server has asked for none of.
   */
  #backoffRefusal(
    { server }: contracts.RegisteredServer,
  ): AttemptResult | undefined {
    const delayMs = this.#options.backoffs.leftMs(server);
    if (delayMs === 0) return undefined;
    const retryAfter = { kind: "delay", delayMs } as const;
    return {
      kind: "refusal",
      refusal: "busy",
      inFlight: undefined,
      retryAfter,
    };
  }

  #declineReason(
    { server, priority }: messages.RelayedAttempt,
    subject: PoisonSubject,
    entry: contracts.RegisteredServer | undefined,
  ): messages.DeclineReason | undefined {
    const { paths, poison, processorCores, waitMs, registry } = this.#options;
    if (this.#isStopping) return "stopping";
    if (entry === undefined || !registry.mayReceive(entry)) {
      return "unknown-server";
    }
    if (!paths.reaches(server)) return "unreached";
    const ratio = Math.max(MIN_LIMIT_RATIO, 1 - RANK_RESERVE_RATIO * priority);
    const isFull =
      this.#inFlight >= MAX_RELAYED_PER_CORE * processorCores * ratio;
    const lagMs = Math.max(this.#lag.lagMs, waitMs());
    if (isFull || lagMs > MAX_LAG_MS * ratio) return "overloaded";
    return poison.isPoisonous(subject) ? "poisonous" : undefined;
  }

  async #send(
    entry: contracts.RegisteredServer,
    attempt: messages.RelayedAttempt,
    { subject, signal }: {
      readonly subject: PoisonSubject;
      readonly signal: AbortSignal;
    },
  ): Promise<AttemptResult> {
    const { paths, requestLimits, clock, headers: names } = this.#options;
    const { server } = entry;
    const sentMs = clock.nowMs();
    const { leftMs } = attempt;
    requestLimits.noteCall(server, "request");
    const result = await paths.sendDirect(entry, {
      id: attempt.id as contracts.RequestId,
      method: attempt.method,
      path: attempt.target,
      headers: withDeadline(attempt.headers, names.deadlineMs, leftMs),
      body: subject.body,
      maySend: () => !signal.aborted,
      onServerStamp: () => {},
    }, {
      timeoutMs: leftMs,
      signal,
      expectedMs: attempt.expectedMs,
      isIdempotent: attempt.isIdempotent,
      onPathLost: () => attempt.isIdempotent && paths.ownReach.isCutOff,
    });
    if (result.kind === "answer" || result.kind === "refusal") {
      requestLimits.noteAnswer(server, result.requestLimit, {
        tookMs: clock.nowMs() - sentMs,
        isRefusal: result.kind === "refusal",
      });
    }
    if (result.kind === "not-sent" && result.isHeldBack) {
      return this.#backoffRefusal(entry) ?? result;
    }
    return await this.#withCondition(entry, result, { subject, signal });
  }

  /** Finds out what became of a server that broke off the connection. */
  async #withCondition(
    entry: contracts.RegisteredServer,
    result: AttemptResult,
    { subject, signal }: {
      readonly subject: PoisonSubject;
      readonly signal: AbortSignal;
    },
  ): Promise<AttemptResult> {
    if (result.kind !== "unknown" || result.isPathLost) return result;
    const { poison } = this.#options;
    if (signal.aborted || result.reason === "timeout-after-send") {
      poison.noteGivenUp(subject, entry);
      return result;
    }
    const noted = poison.noteLostConnection(subject, entry);
    return { ...result, condition: await conditionBeforeRetry(noted) };
  }
}

type RelayedReply = ReturnType<typeof messages.replyOf>;

function declined(reason: messages.DeclineReason): RelayedReply {
  return { reply: { kind: "declined", reason } };
}

/** The headers with a deadline that is no later than the time left. */
function withDeadline(
  headers: readonly string[],
  name: string,
  leftMs: number,
): string[] {
  const index = headers.findIndex((it, at) => at % 2 === 0 && it === name);
  const changed = [...headers];
  if (index < 0) return changed;
  const deadlineMs = Math.min(Number(headers[index + 1]), leftMs);
  changed[index + 1] = String(Math.max(1, Math.floor(deadlineMs)));
  return changed;
}
