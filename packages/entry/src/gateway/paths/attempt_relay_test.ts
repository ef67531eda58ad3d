import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import { expect } from "earl";
import * as http from "node:http";
import { test } from "node:test";
import type { AttemptResult } from "../../links/server_connection.ts";
import { HttpChannel } from "../../platform/http_channel.ts";
import { waitUntil } from "../../requests/fakes_test_support.ts";
import { SystemClock } from "../../utils/clock.ts";
import * as httpServer from "../../utils/http_server.ts";
import { LifeCycle } from "../../utils/life_cycle.ts";
import { AttemptRelay, type AttemptRelayOptions } from "./attempt_relay.ts";
import { serverEntryOf } from "../grants/grant_test_support.ts";
import type { PeerPathHandler, PeerRpc } from "../peers/peer_rpc.ts";
import * as messages from "./relay_messages.ts";

const SERVER = "s1" as contracts.ServerId;
const SILENT_LOGGER = { debug() {}, info() {}, warn() {}, error() {} };
const HELD_BYTES = 1_000_000;
/** Room for eight requests at once. */
const PROCESSOR_CORES = 0.05;
const CALL_TIMEOUT_MS = 2_000;

/** A relay behind a listener, and a channel to it. */
class Fixture {
  readonly #server = http.createServer();
  readonly #lifeCycle = new LifeCycle();
  readonly #answers: (() => void)[] = [];
  #channel: HttpChannel | undefined;
  readonly heldBytes = new admission.HeldBytes({
    limitBytes: HELD_BYTES,
    random: { next: () => 0.5 },
  });

  async start(options: Partial<AttemptRelayOptions> = {}): Promise<void> {
    const relay = new AttemptRelay({
      gossip: { isKnownRun: () => true },
      registry: {
        entry: () => serverEntryOf(SERVER),
        mayReceive: () => true,
      },
      paths: {
        sendDirect: () =>
          new Promise((resolve) => this.#answers.push(() => resolve(ANSWER))),
        observe: () => Promise.resolve({ isAccepting: true, heardAgoMs: 1 }),
        reaches: () => true,
        ownReach: { isCutOff: false, lostServers: new Set() },
      },
      poison: {
        isPoisonous: () => false,
        noteLostConnection: () => Promise.resolve("unknown" as const),
        noteGivenUp: () => {},
      },
      requestLimits: { noteCall: () => {}, noteAnswer: () => {} },
      backoffs: { leftMs: () => 0 },
      headers: {
        requestId: "id",
        deadlineMs: "deadline",
        expectedServer: "expected",
        key: "key",
      },
      processorCores: PROCESSOR_CORES,
      heldBytes: this.heldBytes,
      waitMs: () => 0,
      graceMs: 1_000,
      count: () => {},
      clock: new SystemClock(),
      log: SILENT_LOGGER,
      ...options,
    });
    const onPath = (_path: string, handle: PeerPathHandler) =>
      this.#server.on("request", handle);
    relay.start(this.#lifeCycle, { onPath } as unknown as PeerRpc);
    const host = "127.0.0.1";
    const port = await httpServer.listenOn(this.#server, { host, port: 0 });
    this.#channel = new HttpChannel(`http://${host}:${port}`);
  }

  /** Sends an attempt of a rank; returns why it was declined, or the result. */
  async send(priority: number, requestBody?: Uint8Array): Promise<string> {
    const body = messages.encodeRelayMessage({
      kind: "attempt",
      vm: "vm2" as contracts.VmId,
      incarnation: "r1" as contracts.Incarnation,
      server: SERVER,
      bornMs: 1,
      id: "q1",
      method: "GET",
      target: "/x",
      headers: [],
      host: "h",
      caller: "",
      leftMs: 1_000,
      expectedMs: 50,
      isIdempotent: true,
      priority,
    }, requestBody);
    return await this.call(body);
  }

  async call(body: Uint8Array): Promise<string> {
    const result = await this.#channel!.call(
      { method: "POST", path: messages.RELAY_PATH, body },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    const { status, bytes } = result._unsafeUnwrap();
    const reply = messages.decodeRelayMessage(bytes, messages.relayReplySchema);
    if (reply === undefined) return String(status);
    const { message } = reply;
    return message.kind === "declined" ? message.reason : message.kind;
  }

  /** Lets the servers answer all that has been sent. */
  answerAll(): void {
    for (const answer of this.#answers.splice(0)) answer();
  }

  async waitUntilSent(count: number): Promise<void> {
    while (this.#answers.length < count) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  async stop(): Promise<void> {
    await this.#channel?.close();
    await this.#lifeCycle.stop();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  beginStop(): void {
    this.#lifeCycle.stop();
  }
}

const ANSWER: AttemptResult = {
  kind: "answer",
  answer: { status: 200, headers: [], body: new Uint8Array() },
  inFlight: undefined,
};

async function withRelay(
  run: (fixture: Fixture) => Promise<void>,
  options: Partial<AttemptRelayOptions> = {},
): Promise<void> {
  const fixture = new Fixture();
  await fixture.start(options);
  try {
    await run(fixture);
  } finally {
    fixture.answerAll();
    await fixture.stop();
  }
}

/** A peer that relays for many VMs must not be overloaded, urgent work last. */
test("should decline requests when it relays too many, urgent ones last", () =>
  withRelay(async (fixture) => {
    const sent = [fixture.send(4), fixture.send(4), fixture.send(4)];
    await fixture.waitUntilSent(3);
    sent.push(fixture.send(4));
    await fixture.waitUntilSent(4);
    expect(await fixture.send(4)).toEqual("overloaded");
    for (let index = 4; index < 8; index++) sent.push(fixture.send(0));
    await fixture.waitUntilSent(8);
    expect(await fixture.send(0)).toEqual("overloaded");
    fixture.answerAll();
    expect(await Promise.all(sent)).toEqual(sent.map(() => "answer"));
  }));

test("should end what it relays before it stops, and take nothing more", () =>
  withRelay(async (fixture) => {
    const sent = fixture.send(0);
    await fixture.waitUntilSent(1);
    fixture.beginStop();
    expect(await fixture.send(0)).toEqual("stopping");
    fixture.answerAll();
    expect(await sent).toEqual("answer");
  }));

/** Two VMs that reach nothing must not send a request round in circles. */
test("should decline a request for a server that it does not reach itself", () =>
  withRelay(async (fixture) => {
    expect(await fixture.send(0)).toEqual("unreached");
  }, {
    paths: {
      sendDirect: () => Promise.reject(new Error("nothing may be sent")),
      observe: () => Promise.resolve({ isAccepting: false, heardAgoMs: 1 }),
      reaches: () => false,
      ownReach: { isCutOff: true, lostServers: new Set([SERVER]) },
    },
  }));

/** Guards against a drained server that gets requests over peers. */
test("should decline a request for a server that may get no requests any more", () =>
  withRelay(async (fixture) => {
    expect(await fixture.send(0)).toEqual("unknown-server");
  }, {
    registry: { entry: () => serverEntryOf(SERVER), mayReceive: () => false },
    paths: {
      sendDirect: () => Promise.reject(new Error("nothing may be sent")),
      observe: () => Promise.resolve({ isAccepting: true, heardAgoMs: 1 }),
      reaches: () => true,
      ownReach: { isCutOff: false, lostServers: new Set() },
    },
  }));

/** Guards against a VM that runs out of memory by what it sends for its peers. */
test("should decline bodies for which it has no room, and free what it held", () =>
  withRelay(async (fixture) => {
    const { heldBytes } = fixture;
    const body = new Uint8Array(HELD_BYTES / 2);
    const sent = fixture.send(0, body);
    await fixture.waitUntilSent(1);
    expect(heldBytes.heldBytes >= body.length).toEqual(true);
    expect(await fixture.send(0, body)).toEqual("overloaded");
    fixture.answerAll();
    expect(await sent).toEqual("answer");
    await waitUntil(() => heldBytes.heldBytes === 0);
  }));

test("should answer what is no message with an error", () =>
  withRelay(async (fixture) => {
    expect(await fixture.call(Buffer.from("no JSON\n"))).toEqual("400");
    expect(await fixture.call(Buffer.from("{}\n"))).toEqual("400");
    expect(await fixture.call(Buffer.from("no line"))).toEqual("400");
  }));

/** A peer must not send what its server has asked it for none of. */
test("should refuse what it would relay while the server asks it to back off", () =>
  withRelay(async (fixture) => {
    expect(await fixture.send(0)).toEqual("refusal");
  }, {
    backoffs: { leftMs: () => 1_500 },
    paths: {
      sendDirect: () => Promise.reject(new Error("nothing may be sent")),
      observe: () => Promise.resolve({ isAccepting: true, heardAgoMs: 1 }),
      reaches: () => true,
      ownReach: { isCutOff: false, lostServers: new Set() },
    },
  }));
