import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as paths from "./mod.ts";

const SERVERS = ["a", "b", "c", "d", "e"] as contracts.ServerId[];
const [A, B, C] = SERVERS as [
  contracts.ServerId,
  contracts.ServerId,
  contracts.ServerId,
];
const DETECTION_MS = 500;
const RETURN_MS = 2_000;
const STEP_MS = 50;
/** A server that is silent for so long while others answer is looked at. */
const SILENCE_MS = 700;

/** A tracker, and what it has reported. */
class Fixture {
  readonly changes: paths.PathChange[] = [];
  readonly lostAttempts: string[] = [];
  readonly tracker = new paths.PathTracker({
    servers: () => SERVERS,
    random: { next: () => 0.5 },
    onChange: (change) => this.changes.push(change),
  });
  nowMs = 10_000;

  /** Sends a request; the returned function ends it with an answer. */
  send(server: contracts.ServerId, expectedMs = 50): () => void {
    const attempt: paths.OpenAttempt = {
      startedMs: this.nowMs,
      expectedMs,
      isIdempotent: true,
      onPathLost: () => {
        this.lostAttempts.push(server);
        this.tracker.end(server, attempt);
      },
    };
    this.tracker.start(server, attempt);
    return () => {
      this.tracker.end(server, attempt);
      this.tracker.noteHeard(server, this.nowMs);
    };
  }

  answerAll(): void {
    for (const server of SERVERS) this.send(server)();
  }

  get lost(): contracts.ServerId[] {
    return [...this.tracker.lostServers].sort();
  }
}

const NEVER = Number.POSITIVE_INFINITY;

/** A cut must not be taken for the crash of many servers, however it looks. */
test("should find at once that it is cut off when many servers reset at once", () => {
  const fixture = new Fixture();
  const { tracker } = fixture;
  fixture.answerAll();
  const startMs = fixture.nowMs;
  while (!tracker.isCutOff && fixture.nowMs < startMs + DETECTION_MS) {
    fixture.nowMs += STEP_MS;
    for (const server of [A, B, C]) {
      tracker.noteConnectFailure(server, fixture.nowMs);
    }
  }
  expect(tracker.isCutOff).toEqual(true);
  expect(fixture.lost).toEqual(SERVERS);
});

test("should find within half a second that it is cut off when all servers are silent", () => {
  const fixture = new Fixture();
  const { tracker } = fixture;
  fixture.answerAll();
  const startMs = fixture.nowMs;
  for (const server of [A, B, C]) fixture.send(server);
  while (!tracker.isCutOff && fixture.nowMs < startMs + DETECTION_MS) {
    fixture.nowMs += STEP_MS;
    for (const server of tracker.takeSilent(fixture.nowMs)) {
      const peer = { isAccepting: true, heardAgoMs: 20 };
      tracker.noteCheck(server, {
        connection: "accepted",
        peer,
        nowMs: fixture.nowMs,
      });
    }
  }
  expect(tracker.isCutOff).toEqual(true);
  expect(fixture.lostAttempts.sort()).toEqual([A, B, C]);
});

/** Servers of a large deployment, those of one zone first. */
class ManyServers {
  readonly servers = Array.from(
    { length: 40 },
    (_, index) => `m${index}` as contracts.ServerId,
  );
  readonly tracker = new paths.PathTracker({
    servers: () => this.servers,
    random: { next: () => 0.5 },
    onChange: () => {},
  });
  readonly #answers: { readonly atMs: number; readonly end: () => void }[] = [];
  nowMs = 10_000;
  #sent = 0;
  #readAtMs = 0;

  /** `isDown`: whether a server answers nothing, and no VM reaches it. */
  constructor(readonly isDown: (index: number) => boolean) {}

  /**
   * Lets time pass under requests to all servers in turn. The VM reads answers
   * at intervals only, as one does that gets a share of a core.
   */
  run(forMs: number, isDown = this.isDown): void {
    const endMs = this.nowMs + forMs;
    while (this.nowMs < endMs) {
      this.nowMs += MANY_SEND_INTERVAL_MS;
      this.#send(isDown);
      if (this.nowMs - this.#readAtMs < MANY_READ_INTERVAL_MS) continue;
      this.#readAtMs = this.nowMs;
      this.#read(isDown);
    }
  }

  #send(isDown: (index: number) => boolean): void {
    const index = this.#sent++ * 7 % this.servers.length;
    const server = this.servers[index]!;
    if (this.tracker.useOf(server) !== "any") return;
    const attempt: paths.OpenAttempt = {
      startedMs: this.nowMs,
      expectedMs: 50,
      isIdempotent: true,
      onPathLost: () => this.tracker.end(server, attempt),
    };
    this.tracker.start(server, attempt);
    if (isDown(index)) return;
    this.#answers.push({
      atMs: this.nowMs + 50,
      end: () => {
        this.tracker.end(server, attempt);
        this.tracker.noteHeard(server, this.nowMs);
      },
    });
  }

  #read(isDown: (index: number) => boolean): void {
    // Timers run before what has arrived is read.
    for (const server of this.tracker.takeSilent(this.nowMs)) {
      const isAccepting = !isDown(this.servers.indexOf(server));
      this.tracker.noteCheck(server, {
        connection: isAccepting ? "accepted" : "silent",
        peer: { isAccepting, heardAgoMs: isAccepting ? 20 : NEVER },
        nowMs: this.nowMs,
      });
    }
    const due = this.#answers.filter(({ atMs }) => atMs <= this.nowMs);
    this.#answers.splice(0, due.length);
    for (const { end } of due) end();
  }
}

/** Intervals of a VM with some 30 requests a second. */
const MANY_SEND_INTERVAL_MS = 30;
const MANY_READ_INTERVAL_MS = 300;
/** Within the time that callers wait, with the reads of such a VM. */
const MANY_DETECTION_MS = 1_200;

/** Guards against a VM that uses no server because those of one zone are down. */
test("should keep the paths to other servers when a zone's servers are lost", () => {
  const fixture = new ManyServers((index) => index < 10);
  fixture.run(3_000, () => false);
  fixture.run(6_000);
  const lost = [...fixture.tracker.lostServers]
    .filter((server) => !fixture.isDown(fixture.servers.indexOf(server)));
  expect(lost).toEqual([]);
});

/** Guards against paths that stay unused for seconds after a wrong conclusion. */
test("should use all paths that have not failed as soon as one is heard", () => {
  const fixture = new ManyServers((index) => index < 30);
  const { tracker, servers } = fixture;
  fixture.run(3_000, () => false);
  fixture.nowMs += 200;
  for (const server of servers.slice(0, 30)) {
    tracker.noteConnectFailure(server, fixture.nowMs);
  }
  expect(tracker.isCutOff).toEqual(true);
  fixture.nowMs += 50;
  tracker.noteHeard(servers[39]!, fixture.nowMs);
  const unused = servers.slice(30)
    .filter((server) => tracker.useOf(server) !== "any");
  expect(unused).toEqual([]);
  expect(tracker.useOf(servers[0]!)).toEqual("none");
});

/** Guards against a VM among many servers that learns of its own cut late. */
test("should find in time that it is cut off from many servers", () => {
  const fixture = new ManyServers(() => true);
  fixture.run(3_000, () => false);
  fixture.run(MANY_DETECTION_MS);
  expect(fixture.tracker.isCutOff).toEqual(true);
});

/** Requests on lost paths keep all slots, so that no VM hears the servers. */
test("should have peers send while several servers are silent and none is heard", () => {
  const fixture = new Fixture();
  const { tracker } = fixture;
  fixture.answerAll();
  fixture.send(A);
  fixture.nowMs += DETECTION_MS;
  expect(tracker.isSilentEverywhere(fixture.nowMs)).toEqual(false);
  fixture.send(B);
  fixture.nowMs += DETECTION_MS / 2;
  expect(tracker.isSilentEverywhere(fixture.nowMs)).toEqual(true);
  fixture.send(C)();
  expect(tracker.isSilentEverywhere(fixture.nowMs)).toEqual(false);
});

/** Calls that peers make once in a while are all that shows a lost path. */
test("should lose a silent path whose server a peer has heard during the silence", () => {
  const lostAfter = (heardAgoMs: number) => {
    const fixture = new Fixture();
    const { tracker } = fixture;
    fixture.answerAll();
    fixture.nowMs += 20;
    fixture.send(A);
    fixture.nowMs += 2 * SILENCE_MS;
    fixture.send(B)();
    tracker.noteCheck(A, {
      connection: "accepted",
      peer: { isAccepting: true, heardAgoMs },
      nowMs: fixture.nowMs,
    });
    return fixture.lost;
  };
  expect(lostAfter(SILENCE_MS / 2)).toEqual([A]);
  // Heard before the request here was late.
  expect(lostAfter(SILENCE_MS * 1.5)).toEqual([]);
});

/** A VM that is cut off, and is not sure yet, must not hold peers' requests. */
test("should not send for peers to a silent server while no other is heard", () => {
  const fixture = new Fixture();
  const { tracker } = fixture;
  fixture.answerAll();
  expect(tracker.maySendForPeers(A, fixture.nowMs)).toEqual(true);
  fixture.send(A);
  fixture.nowMs += DETECTION_MS;
  expect(tracker.maySendForPeers(A, fixture.nowMs)).toEqual(false);
  expect(tracker.maySendForPeers(B, fixture.nowMs)).toEqual(true);
  fixture.send(B)();
  expect(tracker.maySendForPeers(A, fixture.nowMs)).toEqual(true);
});

/** The crash of a server is nobody's path. */
test("should keep the path to a server that no peer reaches either", () => {
  const fixture = new Fixture();
  const { tracker } = fixture;
  fixture.answerAll();
  fixture.nowMs += 20;
  tracker.noteConnectFailure(A, fixture.nowMs);
  tracker.noteCheck(A, {
    connection: "refused",
    peer: { isAccepting: false, heardAgoMs: 20 },
    nowMs: fixture.nowMs,
  });
  expect(fixture.lost).toEqual([]);
});

/** A server that stands still accepts connections and answers nobody. */
test("should keep the path to a server that stands still", () => {
  const fixture = new Fixture();
  const { tracker } = fixture;
  fixture.answerAll();
  fixture.send(A);
  fixture.nowMs += SILENCE_MS;
  fixture.send(B)();
  expect(tracker.takeSilent(fixture.nowMs)).toEqual([A]);
  tracker.noteCheck(A, {
    connection: "accepted",
    peer: { isAccepting: true, heardAgoMs: SILENCE_MS },
    nowMs: fixture.nowMs,
  });
  expect(fixture.lost).toEqual([]);
  // One request is tried over a peer, which gets no answer either.
  expect(fixture.lostAttempts).toEqual([A]);
  expect(tracker.takeDoubt(A, fixture.nowMs)).toEqual(true);
  expect(tracker.takeDoubt(A, fixture.nowMs)).toEqual(false);
});

test("should lose the path to one server that others reach", () => {
  const fixture = new Fixture();
  const { tracker } = fixture;
  fixture.answerAll();
  fixture.nowMs += 20;
  tracker.noteConnectFailure(A, fixture.nowMs);
  fixture.send(B)();
  tracker.noteConnectFailure(A, fixture.nowMs);
  tracker.noteReachedByPeer(A, fixture.nowMs);
  expect(fixture.lost).toEqual([A]);
  // Open connections may live on while new ones are refused.
  expect(tracker.useOf(A)).toEqual("open-only");
  tracker.noteLoss(A, fixture.nowMs);
  expect(tracker.useOf(A)).toEqual("none");
});

test("should look at nothing while all servers answer", () => {
  const fixture = new Fixture();
  const { tracker } = fixture;
  for (let round = 0; round < 200; round++) {
    const ends = SERVERS.map((server) => fixture.send(server));
    fixture.nowMs += 110;
    expect(tracker.takeSilent(fixture.nowMs)).toEqual([]);
    expect(tracker.takeProbes(8, fixture.nowMs)).toEqual([]);
    for (const end of ends) end();
  }
  expect(tracker.isActive).toEqual(false);
  expect(fixture.changes).toEqual([]);
});

/** Some requests wait for long at a busy server. */
test("should look at no server that is slow while others answer", () => {
  const fixture = new Fixture();
  const { tracker } = fixture;
  fixture.answerAll();
  const ends = [fixture.send(A), fixture.send(B)];
  for (let step = 0; step < 10; step++) {
    fixture.nowMs += STEP_MS;
    fixture.send(C)();
    expect(tracker.takeSilent(fixture.nowMs)).toEqual([]);
  }
  for (const end of ends) end();
});

/** Without other traffic a single slow answer silences all servers. */
test("should look at no server because one answer is slow", () => {
  const fixture = new Fixture();
  fixture.answerAll();
  fixture.send(A);
  for (let step = 0; step < 10; step++) {
    fixture.nowMs += STEP_MS;
    expect(fixture.tracker.takeSilent(fixture.nowMs)).toEqual([]);
  }
});

/** Loses all paths by refused connections. */
function cutOff(fixture: Fixture): void {
  fixture.nowMs += 200;
  for (const server of SERVERS) {
    fixture.tracker.noteConnectFailure(server, fixture.nowMs);
  }
}

/** Probes until all paths are back; returns the time and the most at once. */
function heal(
  fixture: Fixture,
  limit: number,
): { tookMs: number; most: number } {
  const { tracker } = fixture;
  const startMs = fixture.nowMs;
  let most = 0;
  while (tracker.lostServers.size > 0) {
    fixture.nowMs += STEP_MS;
    const probed = tracker.takeProbes(limit, fixture.nowMs);
    most = Math.max(most, probed.length);
    for (const server of probed) {
      tracker.noteProbe(server, "accepted", fixture.nowMs);
      if (
        tracker.mayTry(server, { isIdempotent: true, nowMs: fixture.nowMs })
      ) {
        fixture.send(server)();
      }
    }
    if (fixture.nowMs > startMs + 10 * RETURN_MS) break;
  }
  return { tookMs: fixture.nowMs - startMs, most };
}

test("should use its own paths again within two seconds, a few probes at once", () => {
  const fixture = new Fixture();
  fixture.answerAll();
  for (let round = 0; round < 8; round++) {
    cutOff(fixture);
    expect(fixture.tracker.isCutOff).toEqual(true);
    const { tookMs, most } = heal(fixture, 2);
    expect(tookMs <= RETURN_MS).toEqual(true);
    expect(most <= 2).toEqual(true);
  }
});

/** A path that comes and goes must not be used again at each of its returns. */
test("should wait longer before it uses an unstable path again", () => {
  const fixture = new Fixture();
  fixture.answerAll();
  const took = [1, 2, 3, 4].map(() => {
    cutOff(fixture);
    return heal(fixture, 8).tookMs;
  });
  expect(took[3]! > took[0]! * 2).toEqual(true);
});

/** Connections that are accepted show nothing if none ever carried an answer. */
test("should not take an accepted connection for a path that was silent", () => {
  const fixture = new Fixture();
  const { tracker } = fixture;
  fixture.answerAll();
  // Refused long before, so no news now.
  tracker.noteConnectFailure(A, fixture.nowMs);
  fixture.nowMs += 2_000;
  fixture.answerAll();
  fixture.send(A);
  fixture.nowMs += SILENCE_MS;
  fixture.send(B)();
  tracker.takeSilent(fixture.nowMs);
  const peer = { isAccepting: true, heardAgoMs: 10 };
  tracker.noteCheck(A, { connection: "accepted", peer, nowMs: fixture.nowMs });
  expect(tracker.useOf(A)).toEqual("none");
  fixture.nowMs += 1_000;
  expect(tracker.takeProbes(8, fixture.nowMs)).toEqual([A]);
  tracker.noteProbe(A, "accepted", fixture.nowMs);
  expect(tracker.useOf(A)).toEqual("trial");
  const mayTry = () =>
    tracker.mayTry(A, { isIdempotent: true, nowMs: fixture.nowMs });
  expect(mayTry()).toEqual(true);
  const answer = fixture.send(A);
  expect(mayTry()).toEqual(false);
  answer();
  expect(tracker.useOf(A)).toEqual("any");
});

/** On a loaded VM a new connection may time out though its path just hangs. */
test("should not take an accepted connection for a path after one that timed out", () => {
  const restoredAfter = (connection: "refused" | "silent") => {
    const fixture = new Fixture();
    const { tracker } = fixture;
    fixture.answerAll();
    fixture.nowMs += 20;
    fixture.send(A);
    fixture.nowMs += SILENCE_MS;
    const peer = { isAccepting: true, heardAgoMs: 10 };
    tracker.noteCheck(A, { connection, peer, nowMs: fixture.nowMs });
    expect(fixture.lost).toEqual([A]);
    fixture.nowMs += RETURN_MS / 2;
    tracker.noteProbe(A, connection, fixture.nowMs);
    tracker.noteProbe(A, "accepted", fixture.nowMs);
    return tracker.useOf(A);
  };
  expect(restoredAfter("refused")).toEqual("any");
  expect(restoredAfter("silent")).toEqual("trial");
});

test("should keep nothing of servers that are gone", () => {
  const fixture = new Fixture();
  fixture.answerAll();
  cutOff(fixture);
  fixture.send(A);
  fixture.tracker.keepOnly(new Set());
  expect(fixture.lost).toEqual([]);
  expect(fixture.tracker.isActive).toEqual(false);
  expect(fixture.tracker.heardAgoMs(A, fixture.nowMs)).toEqual(NEVER);
});
