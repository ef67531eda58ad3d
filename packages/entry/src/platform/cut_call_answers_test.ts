/** Answers to calls that end before they are whole. */
import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import * as z from "zod";
import { RelayClient } from "../gateway/paths/relay_client.ts";
import { encodeRelayMessage } from "../gateway/paths/relay_messages.ts";
import type { PeerHello } from "../gateway/peers/peer_messages.ts";
import { PeerRpc } from "../gateway/peers/peer_rpc.ts";
import {
  type AnswerCut,
  type AnswerParts,
  type AnswerShape,
  type ConnectionEnd,
  createCuts,
  findFaults,
  isReset,
  withCutServer,
} from "../links/cut_answer_test_support.ts";
import { PeerClient } from "../vms/peer_client.ts";
import { HttpBackendControl } from "./http_backend_control.ts";
import { HttpChannel } from "./http_channel.ts";
import { HttpPlatformStore } from "./http_platform_store.ts";
import { HttpVmList } from "./http_vm_list.ts";

const CALL = { timeoutMs: 2_000 };
const ANY = { ...CALL, condition: { kind: "any" } } as const;
const OBJECT = { name: "maps/a", version: "5", value: '{"n":1}' };
const ETAG = 'etag: "5"\r\n';
const SILENT_LOG = { debug() {}, info() {}, warn() {}, error() {} };
/** A connection is used again a turn of the event loop after its last answer. */
const REUSE_MS = 5;
const shapes: readonly AnswerShape[] = [
  "declared length",
  "interim answer first",
  "end of the connection",
];
const ends: readonly ConnectionEnd[] = [
  "close",
  "reset with the last bytes",
  "half close",
];
const LOAD_REPORT = JSON.stringify({
  inFlight: 1,
  slots: 2,
  ageMs: 0,
  draining: false,
  healthy: true,
});
const WATCH = { ...CALL, cursor: "1", waitMs: 10 };

interface Client {
  /** Returns what the answer says; undefined for a failure. */
  call(): Promise<unknown>;
  close(): Promise<void> | void;
}

interface CallCase {
  readonly name: string;
  readonly answer: AnswerParts;
  readonly connect: (port: number) => Client;
  /** Whether its outcome is in the head alone. */
  readonly isInHead?: boolean;
}

type Outcome =
  | neverthrow.ResultAsync<unknown, unknown>
  | Promise<neverthrow.Result<unknown, unknown>>;

async function valueOf(
  result: Outcome,
): Promise<unknown> {
  const settled = await result;
  return settled.isOk() ? settled.value ?? "done" : undefined;
}

function storeCase(
  name: string,
  answer: AnswerParts,
  call: (store: HttpPlatformStore) => Outcome,
  isInHead = false,
): CallCase {
  const connect = (port: number): Client => {
    const store = new HttpPlatformStore(`http://127.0.0.1:${port}`);
    return {
      call: () => valueOf(call(store)),
      close: () => store.close(),
    };
  };
  return { name: `store: ${name}`, answer, connect, isInHead };
}

function relayCase(): CallCase {
  const reply = encodeRelayMessage({
    kind: "answer",
    status: 200,
    headers: [],
    endsWithConnection: false,
    relayed: 1,
  }, Buffer.from("hello, world"));
  const connect = (port: number): Client => {
    const self = {
      vm: "vm1" as contracts.VmId,
      incarnation: "r1" as contracts.Incarnation,
      host: "127.0.0.1",
    };
    const client = new RelayClient({ self, count: () => {} });
    const peer = { vm: "vm2", host: "127.0.0.1", port } as PeerHello;
    const server = { server: "s1", bornMs: 1 } as contracts.RegisteredServer;
    const call = async () => {
      const outcome = await client.attempt(peer, server, {
        id: "q1" as contracts.RequestId,
        method: "GET",
        path: "/x",
        headers: [],
        body: undefined,
        maySend: () => true,
        onServerStamp: () => {},
      }, {
        timeoutMs: 2_000,
        expectedMs: 50,
        isIdempotent: true,
        priority: 0,
        signal: new AbortController().signal,
        request: { host: "h", key: undefined, caller: "" },
        onPathLost: () => false,
      });
      if (outcome.kind !== "ended") return outcome.kind;
      const { result } = outcome;
      if (result.kind === "unknown") return undefined;
      return result.kind === "answer"
        ? Buffer.from(result.answer.body).toString()
        : result.kind;
    };
    return { call, close: () => client.keepOnly(new Set()) };
  };
  const body = Buffer.from(reply).toString();
  return { name: "relay", answer: { body }, connect };
}

const CASES: readonly CallCase[] = [
  {
    name: "channel",
    answer: { body: "hello" },
    isInHead: true,
    connect: (port) => {
      const channel = new HttpChannel(`http://127.0.0.1:${port}`);
      return {
        call: async () => {
          const result = await channel.call({ method: "GET", path: "/" }, CALL);
          return result.isOk() ? result.value.status : undefined;
        },
        close: () => channel.close(),
      };
    },
  },
  storeCase(
    "get",
    { headers: ETAG, body: OBJECT.value },
    (store) => store.get(OBJECT.name, CALL),
  ),
  storeCase(
    "list",
    { body: JSON.stringify({ objects: [OBJECT], cursor: "7" }) },
    (store) => store.list("maps/", CALL),
  ),
  storeCase(
    "watch",
    { body: JSON.stringify({ cursor: "7", events: [], reset: false }) },
    (store) => store.watch("maps/", WATCH),
  ),
  storeCase(
    "put",
    { headers: ETAG, body: "{}" },
    (store) => store.put(OBJECT.name, OBJECT.value, ANY),
    true,
  ),
  storeCase(
    "get of an object that is gone",
    { status: "404 Not Found", body: "gone" },
    async (store) =>
      (await store.get(OBJECT.name, CALL)).orElse((error) =>
        error.kind === "not-found"
          ? neverthrow.ok("gone")
          : neverthrow.err(error)
      ),
    true,
  ),
  {
    name: "list of VMs",
    answer: { body: JSON.stringify({ vms: [] }) },
    connect: (port) => {
      const list = new HttpVmList(`http://127.0.0.1:${port}`);
      return {
        call: () => valueOf(list.fetch(CALL)),
        close: () => list.close(),
      };
    },
  },
  {
    name: "call between VMs",
    answer: { body: JSON.stringify({ jsonrpc: "2.0", id: 1, result: {} }) },
    connect: (port) => {
      const address = { host: "127.0.0.1", port };
      const client = new PeerClient(address, { secret: "s" });
      const options = { params: {}, schema: z.object({}), timeoutMs: 2_000 };
      return {
        call: () => valueOf(client.call("x", options)),
        close: () => client.close(),
      };
    },
  },
  {
    name: "large call between VMs",
    answer: { body: JSON.stringify({ jsonrpc: "2.0", id: 1, result: {} }) },
    connect: (port) => {
      const host = "127.0.0.1";
      const rpc = new PeerRpc({ host, port: 0, log: SILENT_LOG });
      const call = { method: "x", name: "y", resultSchema: z.object({}) };
      return {
        call: () => valueOf(rpc.call({ host, port }, call)),
        close: () => {},
      };
    },
  },
  {
    name: "load of a server",
    answer: { body: LOAD_REPORT },
    connect: (port) => {
      const control = new HttpBackendControl(`http://127.0.0.1:${port}`);
      return {
        call: () => valueOf(control.load(CALL)),
        close: () => control.close(),
      };
    },
  },
  relayCase(),
];

/** What is wrong with the outcome of a call, if anything. */
function faultOf(
  { isInHead = false }: CallCase,
  cut: AnswerCut,
  value: unknown,
  whole: unknown,
): string | undefined {
  const text = JSON.stringify(value);
  if (value === undefined) {
    const isLost = !cut.isWhole || isReset(cut.end) || cut.isOpenEnded;
    return isLost || whole === undefined ? undefined : "no outcome";
  }
  const isKnown = cut.isWhole || isInHead && cut.isOpenEnded;
  return isKnown && text === JSON.stringify(whole)
    ? undefined
    : `outcome ${text}`;
}

for (const callCase of CASES) {
  const { name, answer, connect } = callCase;
  /** A call would count as done, or return an empty or short value. */
  test(`should not take part of an answer for a whole one (${name})`, async () => {
    const cuts = createCuts(answer, { shapes, ends, strideBytes: 41 });
    const receive = (cut: AnswerCut) =>
      withCutServer(cut, answer, async (port) => {
        const client = connect(port);
        if (cut.isReused) {
          await client.call();
          await timers.setTimeout(REUSE_MS);
        }
        const value = await client.call();
        await client.close();
        return value;
      });
    const whole = await receive({
      ...createCuts(answer, { shapes: ["declared length"] }).at(-1)!,
      end: "close",
      isReused: false,
    });
    expect(whole).not.toEqual(undefined);
    const faults = await findFaults(
      cuts,
      async (cut) => faultOf(callCase, cut, await receive(cut), whole),
    );
    expect(faults).toEqual([]);
  });
}
