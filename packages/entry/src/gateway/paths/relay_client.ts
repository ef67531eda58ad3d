/** Asks peers to send requests to servers, and whether they reach them. */
import * as contracts from "@guavatide/contracts";
import type * as paths from "@guavatide/decisions/paths/mod";
import type * as neverthrow from "neverthrow";
import * as crypto from "node:crypto";
import type {
  AttemptRequest,
  AttemptResult,
} from "../../links/server_connection.ts";
import {
  type HttpCallError,
  HttpChannel,
  type HttpRequest,
  type HttpResponse,
} from "../../platform/http_channel.ts";
import type { CheckedServer } from "../../poison/server_end_check.ts";
import type { LifeCycle } from "../../utils/life_cycle.ts";
import type { PeerHello } from "../peers/peer_messages.ts";
import * as messages from "./relay_messages.ts";
import type { PathSendOptions } from "./path_attempt.ts";

/** Options of {@link RelayClient}. */
export interface RelayClientOptions {
  readonly self: Pick<PeerHello, "vm" | "incarnation" | "host">;
  /** Counts relayed attempts by role and outcome. */
  readonly count: (outcome: string) => void;
}

/** What became of a request that a peer was asked to send. */
export type RelayOutcome =
  /** The peer has sent it, or it is not known whether it has. */
  | {
    readonly kind: "ended";
    readonly result: AttemptResult;
    /** Requests that the peer relays, of all VMs. */
    readonly relayed: number | undefined;
    readonly isPeerLost: boolean;
  }
  /** The peer has not sent it and never will. */
  | { readonly kind: "declined"; readonly reason: messages.DeclineReason }
  /** The peer was not asked. */
  | { readonly kind: "unavailable" };

/** Peers are within a region. */
const CONNECT_TIMEOUT_MS = 200;
const MAX_CONNECTIONS = 64;
const CHECK_TIMEOUT_MS = 250;
/** The peer's answer about a timeout arrives within this time. */
const REPLY_MARGIN_MS = 50;
const CLOSE_TIMEOUT_MS = 100;

/** Connections to the peers that relay for this VM. */
export class RelayClient {
  readonly #options: RelayClientOptions;
  readonly #channels = new Map<
    contracts.VmId,
    { readonly origin: string; readonly channel: HttpChannel }
  >();

  constructor(options: RelayClientOptions) {
    this.#options = options;
  }

  /** Closes the connections at the end of the process. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.onStop({
      name: "connections to relaying peers",
      timeoutMs: CLOSE_TIMEOUT_MS,
      run: () => this.keepOnly(new Set()),
    });
  }

  /** Closes the connections to all other peers. */
  keepOnly(vms: ReadonlySet<contracts.VmId>): void {
    for (const [vm, { channel }] of this.#channels) {
      if (vms.has(vm)) continue;
      this.#channels.delete(vm);
      channel.close().catch(() => {});
    }
  }

  /** Asks a peer to send a request. Never rejects. */
  async attempt(
    peer: PeerHello,
    { server, bornMs }: contracts.RegisteredServer,
    request: AttemptRequest,
    options: PathSendOptions,
  ): Promise<RelayOutcome> {
    const { vm, incarnation } = this.#options.self;
    const { timeoutMs, expectedMs, isIdempotent, priority, signal } = options;
    const { host, key, caller } = options.request;
    const body = messages.encodeRelayMessage({
      kind: "attempt",
      vm,
      incarnation,
      server,
      bornMs,
      id: request.id,
      method: request.method,
      target: request.path,
      headers: [...request.headers],
      host,
      key,
      caller,
      leftMs: timeoutMs,
      expectedMs,
      isIdempotent,
      priority,
    }, request.body);
    const answered = await this.#call(
      peer,
      { body, mayLeave: () => request.maySend() },
      { timeoutMs: timeoutMs + REPLY_MARGIN_MS, signal },
    );
    const outcome = answered.isErr()
      ? outcomeOfFailure(answered.error)
      : outcomeOfReply(answered.value);
    this.#options.count(
      outcome.kind === "ended" ? outcome.result.kind : outcome.kind,
    );
    return outcome;
  }

  /** What a peer says of its paths to servers; empty when it says nothing. */
  async check(
    peer: PeerHello,
    entries: readonly CheckedServer[],
  ): Promise<readonly paths.PathObservation[]> {
    const { vm, incarnation } = this.#options.self;
    const servers = entries.map(({ server, bornMs }) => ({ server, bornMs }));
    const body = messages.encodeRelayMessage({
      kind: "check",
      vm,
      incarnation,
      servers,
    });
    const answered = await this.#call(peer, { body }, {
      timeoutMs: CHECK_TIMEOUT_MS,
    });
    if (answered.isErr()) return [];
    const decoded = messages.decodeRelayMessage(
      answered.value,
      messages.relayReplySchema,
    );
    if (decoded?.message.kind !== "checked") return [];
    return decoded.message.observed.map(({ isAccepting, heardAgoMs }) => ({
      isAccepting,
      heardAgoMs: heardAgoMs ?? Number.POSITIVE_INFINITY,
    }));
  }

  /**
   * Sends a message; returns the bytes of its reply, and none where the reply is
   * that of another message. A peer of an earlier version names no message.
   */
  async #call(
    peer: PeerHello,
    message: Pick<HttpRequest, "body" | "mayLeave">,
    options: contracts.CallOptions,
  ): Promise<neverthrow.Result<Uint8Array, HttpCallError>> {
    const id = crypto.randomUUID();
    const channel = this.#channelTo(peer);
    const answered = await channel.call({
      ...message,
      method: "POST",
      path: messages.RELAY_PATH,
      headers: { [contracts.REQUEST_ID_HEADER]: id },
    }, options);
    return answered.map(({ headers, bytes }: HttpResponse) => {
      const named = headers[contracts.REQUEST_ID_HEADER];
      if (named === undefined || named === id) return bytes;
      channel.dropConnections();
      return new Uint8Array();
    });
  }

  #channelTo(peer: PeerHello): HttpChannel {
    const { vm } = peer;
    const origin = contracts.originOf(peer);
    const found = this.#channels.get(vm);
    if (found?.origin === origin) return found.channel;
    found?.channel.close().catch(() => {});
    const channel = new HttpChannel(origin, {
      connections: MAX_CONNECTIONS,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      localAddress: this.#options.self.host,
      rejectsUnlengthed: true,
    });
    this.#channels.set(vm, { origin, channel });
    return channel;
  }
}

function outcomeOfFailure(
  { kind, message, wasSent }: {
    readonly kind: string;
    readonly message: string;
    readonly wasSent: boolean;
  },
): RelayOutcome {
  const isWithheld = kind === "kept" || kind === "cancelled" && !wasSent;
  if (isWithheld) {
    const result = { kind: "not-sent", isLocal: true, message } as const;
    return {
      kind: "ended",
      result,
      relayed: undefined,
      isPeerLost: false,
    };
  }
  if (!wasSent) return { kind: "unavailable" };
  return {
    kind: "ended",
    result: {
      kind: "unknown",
      reason: kind === "timeout" ? "timeout-after-send" : "connection-lost",
      message: `The relaying peer gave no answer: ${message}`,
      isPathLost: true,
    },
    relayed: undefined,
    isPeerLost: kind === "unreachable" || kind === "bad-answer",
  };
}

function outcomeOfReply(bytes: Uint8Array): RelayOutcome {
  const decoded = messages.decodeRelayMessage(bytes, messages.relayReplySchema);
  if (decoded?.message.kind === "declined") {
    return { kind: "declined", reason: decoded.message.reason };
  }
  const result = decoded && messages.resultOf(decoded.message, decoded.body);
  const relayed = decoded !== undefined && "relayed" in decoded.message
    ? decoded.message.relayed
    : undefined;
  const unreadable: AttemptResult = {
    kind: "unknown",
    reason: "bad-answer",
    message: "The relaying peer's reply can't be read",
    isPathLost: true,
  };
  const isPeerLost = result === undefined;
  return { kind: "ended", result: result ?? unreadable, relayed, isPeerLost };
}
