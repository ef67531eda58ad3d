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

/** Ownership view that a test changes by hand. */
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

test("should send a keyed request to its owner with the fencing token", async () => {
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

test("should hold a request while its key is handed over", async () => {
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

test("should follow a key whose server refuses as not owner", async () => {
  // This entry VM does not know of a handover yet and the previous owner
  // refuses. The request is sent to the new owner once the handover is known.
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

test("should send no bytes while forwarding is not allowed", async () => {
  // A server that does not check fencing tokens runs every request. Permission
  // to forward may have expired between choosing the owner and sending.
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

test("should send a deadline on the clock of a server without fence checks", async () => {
  // The server freezes with a request in its buffers and resumes when the key
  // has another owner. A relative timeout would start again on resuming; a
  // point in time on the server's clock does not, so the server can refuse.
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

test("should count a request with unknown outcome as forwarded", async () => {
  // No answer arrived, so the server may still work on the key. If the request
  // were not counted, a handover could give the key away too early.
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
