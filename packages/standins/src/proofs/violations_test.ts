import { expect } from "earl";
import { test } from "node:test";
import type { JournalEntry, JournalStep } from "../backend_server/journal.ts";
import type { CallerRecord, ReportedOutcome } from "./caller_record.ts";
import { countViolations, type Violations } from "./violations.ts";

function journalEntry(
  kind: JournalStep,
  monotonicMs: number,
  changes: Partial<JournalEntry> = {},
): JournalEntry {
  return {
    step: kind,
    monotonicMs,
    server: "s1",
    requestId: "r1",
    operationId: "op1",
    key: "booth-1",
    slice: "0-1",
    fence: 1,
    wallMs: 0,
    ...changes,
  };
}

function callerRecord(
  outcome: ReportedOutcome,
  changes: Partial<CallerRecord> = {},
): CallerRecord {
  return {
    operationId: "op1",
    key: "booth-1",
    isIdempotent: false,
    entryUrl: "",
    sentMs: 0,
    endMs: 1,
    outcome,
    reason: undefined,
    server: "s1",
    isOwnAnswer: true,
    ...changes,
  };
}

const RAN = [journalEntry("start", 1), journalEntry("end", 5)];
const OTHER = { server: "s2", requestId: "r2" };
const NEXT = { ...OTHER, operationId: "op2", fence: 2 };

interface Case {
  readonly name: string;
  readonly journal: readonly JournalEntry[];
  readonly records: readonly CallerRecord[];
  readonly found: keyof Violations | "none";
}

const CASES: readonly Case[] = [
  {
    name: "nothing in an ordinary run",
    journal: RAN,
    records: [callerRecord("answered")],
    found: "none",
  },
  {
    name: "an operation that ran at two servers",
    journal: [
      ...RAN,
      journalEntry("start", 6, OTHER),
      journalEntry("end", 7, OTHER),
    ],
    records: [callerRecord("unknown")],
    found: "ranTwice",
  },
  {
    name: "an operation that a failed server may have run before another did",
    journal: [
      journalEntry("start", 1),
      journalEntry("start", 6, OTHER),
      journalEntry("end", 7, OTHER),
    ],
    records: [callerRecord("answered")],
    found: "ranTwice",
  },
  {
    name: "nothing when the first run was abandoned before it took effect",
    journal: [
      journalEntry("start", 1),
      journalEntry("abandoned", 5),
      journalEntry("start", 6, OTHER),
      journalEntry("end", 7, OTHER),
    ],
    records: [callerRecord("answered")],
    found: "none",
  },
  {
    name: "nothing when a read was repeated",
    journal: [
      ...RAN,
      journalEntry("start", 6, OTHER),
      journalEntry("end", 7, OTHER),
    ],
    records: [callerRecord("answered", { isIdempotent: true })],
    found: "none",
  },
  {
    name: "two servers that run one key at the same time",
    journal: [
      ...RAN,
      journalEntry("start", 4, NEXT),
      journalEntry("end", 8, NEXT),
    ],
    records: [],
    found: "twoOwners",
  },
  {
    name: "a former owner that runs a key after the next owner",
    journal: [
      journalEntry("start", 1, NEXT),
      journalEntry("end", 2, NEXT),
      journalEntry("start", 4),
      journalEntry("end", 5),
    ],
    records: [],
    found: "twoOwners",
  },
  {
    name: "nothing when one owner follows the other",
    journal: [
      ...RAN,
      journalEntry("start", 6, NEXT),
      journalEntry("end", 8, NEXT),
    ],
    records: [],
    found: "none",
  },
  {
    name: "a request that ran although its caller was told that it had not",
    journal: RAN,
    records: [callerRecord("not-run")],
    found: "notRunButRan",
  },
  {
    name: "an answer that belongs to another request",
    journal: RAN,
    records: [callerRecord("answered", { isOwnAnswer: false })],
    found: "wrongAnswers",
  },
  {
    name: "an answer for which no server ran the request",
    journal: [],
    records: [callerRecord("answered")],
    found: "answeredButNotRun",
  },
];

for (const row of CASES) {
  test(`violations: should find ${row.name}`, () => {
    const violations = countViolations(row);
    const found = Object.entries(violations)
      .filter(([, examples]) => examples.length > 0)
      .map(([name]) => name);
    expect(found).toEqual(row.found === "none" ? [] : [row.found]);
  });
}
