import * as names from "@guavatide/contracts";
import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import type { OwnerLookup, OwnerView } from "../contracts/views.ts";
import {
  answerOk,
  answerRefusal,
  FakeBackend,
  startEntry,
  waitUntil,
} from "./fakes_test_support.ts";

/** Ownership that a test moves by hand. */
class FakeOwnership implements OwnerView {
  owner: OwnerLookup;
  canForward = true;
  serverChecksFences = true;
  forwarded = 0;
  readonly notOwnerRevisions: number[] = [];
  readonly #callbacks = new Set<() => void>();

  constructor(owner: OwnerLookup) {
    this.owner = owner;
  }

  lookup(): OwnerLookup {
    return this.owner;
  }

  mayForward(): boolean {
    return this.canForward;
  }

  checksFences(): boolean {
    return this.serverChecksFences;
  }

  noteForwarded(): { done(): void } {
    this.forwarded++;
    return { done: () => this.forwarded-- };
  }

  onChange(_service: contracts.ServiceId, callback: () => void): () => void {
    this.#callbacks.add(callback);
    return () => this.#callbacks.delete(callback);
  }

  noteNotOwner(_service: contracts.ServiceId, revision: number): void {
    this.notOwnerRevisions.push(revision);
  }

  move(owner: OwnerLookup): void {
    this.owner = owner;
    for (const callback of this.#callbacks) callback();
  }
}

function ownedBy(server: string, revision: number): OwnerLookup {
  return {
    kind: "owned",
    server: server as contracts.ServerId,
    slice: "0-100000000" as contracts.SliceId,
    fence: revision,
    revision,
  };
}

const KEYED = { keyed: true, timeoutMs: 3000 };
const HEADERS = { [names.KEY_HEADER]: "booth 7" };

test("should send a key's request to its owner with the fence", async () => {
  const backends = [new FakeBackend(), new FakeBackend()];
  const owners = new FakeOwnership(ownedBy("s1", 4));
  const entry = await startEntry(backends, { service: KEYED, owners });
  try {
    await fetch(`${entry.url}/s/booths/x`, { headers: HEADERS });
    const [request] = backends[1]!.received;
    expect(request!.headers[names.FENCE_HEADER]).toEqual("4");
    expect(request!.headers[names.KEY_HEADER]).toEqual("booth 7");
    expect(backends[0]!.received.length).toEqual(0);
    expect(owners.forwarded).toEqual(0);
  } finally {
    await entry.lifeCycle.stop();
  }
});

test("should hold a request while its key is between two owners", async () => {
  const backends = [new FakeBackend(), new FakeBackend()];
  const owners = new FakeOwnership({ kind: "vacating", revision: 5 });
  const entry = await startEntry(backends, { service: KEYED, owners });
  try {
    const call = fetch(`${entry.url}/s/booths/x`, { headers: HEADERS });
    const short = await fetch(`${entry.url}/s/booths/x`, {
      headers: { ...HEADERS, [names.TIMEOUT_HEADER]: "50" },
    });
    expect(short.headers.get(names.REASON_HEADER)).toEqual(
      "deadline-before-send",
    );
    owners.move(ownedBy("s0", 6));
    expect((await call).status).toEqual(200);
    expect(backends[0]!.received.length).toEqual(1);
  } finally {
    await entry.lifeCycle.stop();
  }
});

test("should follow a key whose owner says that it is not", async () => {
  // This entry VM has not yet heard of a move; the old owner refuses. The
  // host's check goes on to the new owner as soon as the move is known.
  const backends = [
    new FakeBackend(answerRefusal("not-owner")),
    new FakeBackend(answerOk),
  ];
  const owners = new FakeOwnership(ownedBy("s0", 4));
  const entry = await startEntry(backends, { service: KEYED, owners });
  try {
    const call = fetch(`${entry.url}/s/booths/x`, {
      method: "POST",
      headers: HEADERS,
    });
    await waitUntil(() => owners.notOwnerRevisions.length > 0);
    owners.move(ownedBy("s1", 6));
    expect((await call).status).toEqual(200);
    expect(owners.notOwnerRevisions[0]).toEqual(4);
  } finally {
    await entry.lifeCycle.stop();
  }
});

test("should let no byte leave without the right to forward", async () => {
  // A server that does not check who orders it would run whatever arrives.
  // Between the choice of the owner and the bytes the right may have lapsed.
  const backend = new FakeBackend();
  const owners = new FakeOwnership(ownedBy("s0", 4));
  owners.canForward = false;
  const entry = await startEntry([backend], { service: KEYED, owners });
  try {
    const answer = await fetch(`${entry.url}/s/booths/x`, {
      method: "POST",
      headers: { ...HEADERS, [names.TIMEOUT_HEADER]: "200" },
    });
    expect(answer.headers.get(names.OUTCOME_HEADER)).toEqual("not-run");
    expect(backend.received.length).toEqual(0);
  } finally {
    await entry.lifeCycle.stop();
  }
});

test("should bound a request in the time of a server without fences", async () => {
  // The server freezes with a request in its buffers and wakes when the key
  // has another owner. Time left would start anew on waking; a moment on the
  // server's own clock does not, so the server can refuse the request.
  const instanceMs = 50_000;
  const backend = new FakeBackend((request, response) => {
    response.setHeader(names.STAMP_HEADER, `run-1/${instanceMs}`);
    answerOk(request, response);
  });
  const owners = new FakeOwnership(ownedBy("s0", 4));
  owners.serverChecksFences = false;
  const entry = await startEntry([backend], { service: KEYED, owners });
  try {
    await fetch(`${entry.url}/s/booths/x`, { headers: HEADERS });
    await fetch(`${entry.url}/s/booths/x`, { headers: HEADERS });
    const [first, second] = backend.received;
    expect(first!.headers[names.DEADLINE_STAMP_HEADER]).toEqual(undefined);
    const stamped = String(second!.headers[names.DEADLINE_STAMP_HEADER]);
    const [instance, deadlineMs] = stamped.split("/");
    expect(instance).toEqual("run-1");
    expect(Number(deadlineMs) > instanceMs).toEqual(true);
  } finally {
    await entry.lifeCycle.stop();
  }
});

test("should keep a request of unknown fate counted as forwarded", async () => {
  // The answer never came, so the server may still work on the key. A mover
  // that is told of nothing in flight would give the key away too early.
  const backend = new FakeBackend(() => {});
  const owners = new FakeOwnership(ownedBy("s0", 4));
  const entry = await startEntry([backend], { service: KEYED, owners });
  try {
    const answer = await fetch(`${entry.url}/s/booths/x`, {
      method: "POST",
      headers: { ...HEADERS, [names.TIMEOUT_HEADER]: "100" },
    });
    expect(answer.headers.get(names.OUTCOME_HEADER)).toEqual("unknown");
    expect(owners.forwarded).toEqual(1);
  } finally {
    await entry.lifeCycle.stop();
  }
});
