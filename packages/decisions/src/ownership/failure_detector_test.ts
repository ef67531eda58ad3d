import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { FailureDetector } from "./failure_detector.ts";
import { DEFAULT_OWNERSHIP_SETTINGS as SETTINGS } from "./settings.ts";

const SERVER = "server-1" as contracts.ServerId;
const PEERS = ["entry-2", "entry-3"] as contracts.VmId[];

interface Row {
  readonly name: string;
  /** Send times of commands without a reply. */
  readonly unansweredAtMs: readonly number[];
  /**
   * Milliseconds without a reply that each peer reports at `nowMs`; undefined:
   * no report.
   */
  readonly peers: readonly (number | undefined)[];
  readonly replyAtMs?: number;
  readonly nowMs: number;
  readonly isLost: boolean;
}

const ROWS: readonly Row[] = [
  {
    name: "report a server lost that answers nobody",
    unansweredAtMs: [0, 300, 600],
    peers: [1000, 900],
    nowMs: 1000,
    isLost: true,
  },
  {
    name: "not report a server lost for one slow reply",
    unansweredAtMs: [0, 300, 600],
    peers: [700, 700],
    replyAtMs: 800,
    nowMs: 1000,
    isLost: false,
  },
  {
    name: "not report a server lost that only this VM can't reach",
    unansweredAtMs: [0, 300, 600],
    peers: [0, 0],
    nowMs: 5000,
    isLost: false,
  },
  {
    name: "accept the peers' votes when it has only begun to send",
    unansweredAtMs: [600],
    peers: [1200, 1300],
    nowMs: 1000,
    isLost: true,
  },
  {
    name: "decide alone when no peer reports",
    unansweredAtMs: [0, 300, 600],
    peers: [undefined, undefined],
    nowMs: 1000,
    isLost: true,
  },
];

for (const row of ROWS) {
  test(`should ${row.name}`, () => {
    const detector = new FailureDetector(SETTINGS);
    for (const atMs of row.unansweredAtMs) detector.noteRequest(SERVER, atMs);
    if (row.replyAtMs !== undefined) {
      detector.noteReply(SERVER, row.replyAtMs);
    }
    row.peers.forEach((elapsedMs, index) => {
      if (elapsedMs === undefined) return;
      const unansweredMs = new Map(elapsedMs > 0 ? [[SERVER, elapsedMs]] : []);
      detector.notePeerReport(PEERS[index]!, unansweredMs, row.nowMs);
    });
    const options = { nowMs: row.nowMs, otherRenewers: PEERS };
    expect(detector.isLost(SERVER, options)).toEqual(row.isLost);
  });
}

// The process that detects failures is paused for a minute. All replies are
// overdue when it resumes; counting that as failures would move every key of
// the service.
test("should not report servers lost after its own pause", () => {
  const detector = new FailureDetector(SETTINGS);
  detector.noteTick(0);
  detector.noteRequest(SERVER, 0);
  detector.noteTick(60_000);
  const options = { nowMs: 60_000, otherRenewers: [] };
  expect(detector.isLost(SERVER, options)).toEqual(false);
});

// The leader is paused for a while. If a failed server looked responsive after
// that, keys would be moved to it.
test("should keep a server lost through its own pause", () => {
  const detector = new FailureDetector(SETTINGS);
  detector.noteTick(0);
  detector.noteRequest(SERVER, 0);
  for (let nowMs = 100; nowMs <= 1_100; nowMs += 100) detector.noteTick(nowMs);
  detector.noteTick(60_000);
  const options = { nowMs: 60_000, otherRenewers: [] };
  expect(detector.isLost(SERVER, options)).toEqual(true);
});
