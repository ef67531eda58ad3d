import { expect } from "earl";
import { test } from "node:test";
import type { JournalEntry, JournalStep } from "../backend_server/journal.ts";
import type { CallerRecord, ToldOutcome } from "./caller_record.ts";
import { countViolations, type Violations } from "./violations.ts";

function step(
  step: JournalStep,
  monotonicMs: number,
  changes: Partial<JournalEntry> = {},
): JournalEntry {
  return {
    step,
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

function told(
  outcome: ToldOutcome,
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

const RAN = [step("start", 1), step("end", 5)];
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
    records: [told("answered")],
    found: "none",
  },
  {
    name: "an operation that ran at two servers",
    journal: [...RAN, step("start", 6, OTHER), step("end", 7, OTHER)],
    records: [told("unknown")],
    found: "ranTwice",
  },
  {
    name: "an operation that a lost server may have run before another did",
    journal: [step("start", 1), step("start", 6, OTHER), step("end", 7, OTHER)],
    records: [told("answered")],
    found: "ranTwice",
  },
  {
    name: "nothing when the first run was abandoned without effect",
    journal: [
      step("start", 1),
      step("abandoned", 5),
      step("start", 6, OTHER),
      step("end", 7, OTHER),
    ],
    records: [told("answered")],
    found: "none",
  },
  {
    name: "nothing when a read was repeated",
    journal: [...RAN, step("start", 6, OTHER), step("end", 7, OTHER)],
    records: [told("answered", { isIdempotent: true })],
    found: "none",
  },
  {
    name: "two servers at work on one key",
    journal: [...RAN, step("start", 4, NEXT), step("end", 8, NEXT)],
    records: [],
    found: "twoOwners",
  },
  {
    name: "an old owner at work after the next one",
    journal: [
      step("start", 1, NEXT),
      step("end", 2, NEXT),
      step("start", 4),
      step("end", 5),
    ],
    records: [],
    found: "twoOwners",
  },
  {
    name: "nothing when one owner follows the other",
    journal: [...RAN, step("start", 6, NEXT), step("end", 8, NEXT)],
    records: [],
    found: "none",
  },
  {
    name: "a caller told as not run whose request ran",
    journal: RAN,
    records: [told("not-run")],
    found: "notRunButRan",
  },
  {
    name: "an answer that belongs to another",
    journal: RAN,
    records: [told("answered", { isOwnAnswer: false })],
    found: "wrongAnswers",
  },
  {
    name: "an answer for which nothing ran",
    journal: [],
    records: [told("answered")],
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
