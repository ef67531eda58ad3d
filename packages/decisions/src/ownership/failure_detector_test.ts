import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { FailureDetector } from "./failure_detector.ts";
import { DEFAULT_OWNERSHIP_SETTINGS as SETTINGS } from "./settings.ts";

const SERVER = "server-1" as contracts.ServerId;
const PEERS = ["entry-2", "entry-3"] as contracts.VmId[];

interface Row {
  readonly name: string;
  /** Times of orders without an answer. */
  readonly silent: readonly number[];
  /** Silence that each peer reports at `nowMs`; undefined: no report. */
  readonly peers: readonly (number | undefined)[];
  readonly answerAtMs?: number;
  readonly nowMs: number;
  readonly isLost: boolean;
}

const ROWS: readonly Row[] = [
  {
    name: "call a server lost that answers nobody",
    silent: [0, 300, 600],
    peers: [1000, 900],
    nowMs: 1000,
    isLost: true,
  },
  {
    name: "not call a server lost for one slow reply",
    silent: [0, 300, 600],
    peers: [700, 700],
    answerAtMs: 800,
    nowMs: 1000,
    isLost: false,
  },
  {
    name: "not call a server lost that only this VM can't reach",
    silent: [0, 300, 600],
    peers: [0, 0],
    nowMs: 5000,
    isLost: false,
  },
  {
    name: "believe peers when it has only begun to ask itself",
    silent: [600],
    peers: [1200, 1300],
    nowMs: 1000,
    isLost: true,
  },
  {
    name: "judge alone when no peer reports",
    silent: [0, 300, 600],
    peers: [undefined, undefined],
    nowMs: 1000,
    isLost: true,
  },
];

for (const row of ROWS) {
  test(`should ${row.name}`, () => {
    const detector = new FailureDetector(SETTINGS);
    for (const atMs of row.silent) detector.noteRequest(SERVER, atMs);
    if (row.answerAtMs !== undefined) {
      detector.noteReply(SERVER, row.answerAtMs);
    }
    row.peers.forEach((silentMs, index) => {
      if (silentMs === undefined) return;
      const silent = new Map(silentMs > 0 ? [[SERVER, silentMs]] : []);
      detector.notePeerReport(PEERS[index]!, silent, row.nowMs);
    });
    const options = { nowMs: row.nowMs, otherRenewers: PEERS };
    expect(detector.isLost(SERVER, options)).toEqual(row.isLost);
  });
}

// The judging process itself is stopped for a minute. All replies are overdue
// when it wakes; taking that for loss would move every key of the service.
test("should not call servers lost after its own pause", () => {
  const detector = new FailureDetector(SETTINGS);
  detector.noteTick(0);
  detector.noteRequest(SERVER, 0);
  detector.noteTick(60_000);
  const options = { nowMs: 60_000, otherRenewers: [] };
  expect(detector.isLost(SERVER, options)).toEqual(false);
});

// The VM that plans moves is stopped for a while. Were a dead server to look
// alive again after it, keys would be moved onto it.
test("should keep a server lost through its own pause", () => {
  const detector = new FailureDetector(SETTINGS);
  detector.noteTick(0);
  detector.noteRequest(SERVER, 0);
  for (let nowMs = 100; nowMs <= 1_100; nowMs += 100) detector.noteTick(nowMs);
  detector.noteTick(60_000);
  const options = { nowMs: 60_000, otherRenewers: [] };
  expect(detector.isLost(SERVER, options)).toEqual(true);
});
