/** Reads the settings of one entry process from JSON text and checks them. */
import * as neverthrow from "neverthrow";
import * as problems from "./problems.ts";
import { type Settings, settingsSchema } from "./schema.ts";

/** Why settings were refused. `message` lists every problem, one a line. */
export interface SettingsError {
  readonly kind: "not-json" | "invalid";
  readonly message: string;
  readonly problems: readonly problems.SettingsProblem[];
}

/** Heartbeats or renewals that must fit before their absence has an effect. */
const MIN_HEARTBEATS = 2;
const MIN_RENEWALS = 3;

/**
 * Reads settings from JSON text. Errors: `not-json` when the text does not
 * parse, `invalid` with one problem for each refused field.
 */
export function loadSettings(
  text: string,
): neverthrow.Result<Settings, SettingsError> {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch (error) {
    return toSettingsError("not-json", [{
      kind: "not-json",
      path: "(whole file)",
      seen: error instanceof Error ? error.message : String(error),
      remedy: "Mend the JSON; `guavatide print-defaults` shows a whole file",
    }]);
  }
  const parsed = settingsSchema.safeParse(raw);
  if (!parsed.success) {
    return toSettingsError("invalid", problems.toProblems(parsed.error, raw));
  }
  const found = findContradictions(parsed.data);
  return found.length > 0
    ? toSettingsError("invalid", found)
    : neverthrow.ok(parsed.data);
}

/** One problem as a line for people. */
export function formatProblem(problem: problems.SettingsProblem): string {
  return `${problem.path}: ${problem.kind}, saw ${problem.seen}. ${problem.remedy}`;
}

function toSettingsError(
  kind: SettingsError["kind"],
  found: readonly problems.SettingsProblem[],
): neverthrow.Result<Settings, SettingsError> {
  const message = found.map(formatProblem).join("\n");
  return neverthrow.err({ kind, message, problems: found });
}

function findContradictions(settings: Settings): problems.SettingsProblem[] {
  return [
    ...findPortConflicts(settings),
    ...findTimingContradictions(settings),
    ...findSecretContradictions(settings),
  ];
}

function findPortConflicts(settings: Settings): problems.SettingsProblem[] {
  const found: problems.SettingsProblem[] = [];
  const taken = new Map<number, string>();
  for (const [door, port] of Object.entries(settings.ports)) {
    if (port === 0) continue;
    const other = taken.get(port);
    if (other === undefined) {
      taken.set(port, door);
      continue;
    }
    found.push({
      kind: "port-clash",
      path: `ports.${door}`,
      seen: String(port),
      remedy: `Use a port other than that of "ports.${other}", or 0 for any`,
    });
  }
  return found;
}

type TimingName = keyof Settings["timings"];

interface TimingRule {
  /** Field that must be at least `times` times the other one. */
  readonly longer: TimingName;
  readonly shorter: TimingName;
  readonly minRatio: number;
  readonly reason: string;
}

const TIMING_RULES: readonly TimingRule[] = [
  {
    longer: "leaseMs",
    shorter: "renewMs",
    minRatio: MIN_RENEWALS,
    reason: "one lost renewal would end a healthy server's lease",
  },
  {
    longer: "evidenceMs",
    shorter: "heartbeatMs",
    minRatio: MIN_HEARTBEATS,
    reason: "one lost heartbeat would leave a keeper without evidence",
  },
  {
    longer: "detectMs",
    shorter: "heartbeatMs",
    minRatio: MIN_RENEWALS,
    reason: "one lost heartbeat would count a healthy peer as lost",
  },
  {
    longer: "dutyLeaseMs",
    shorter: "dutyRenewMs",
    minRatio: MIN_HEARTBEATS,
    reason: "one lost reply of the store would end control duty",
  },
];

function findTimingContradictions(
  settings: Settings,
): problems.SettingsProblem[] {
  const found: problems.SettingsProblem[] = [];
  const timings = settings.timings;
  for (
    const { longer, shorter, minRatio: times, reason: because } of TIMING_RULES
  ) {
    const least = timings[shorter] * times;
    if (timings[longer] >= least) continue;
    found.push({
      kind: "contradiction",
      path: `timings.${longer}`,
      seen: `${timings[longer]} with ${shorter} ${timings[shorter]}`,
      remedy: `Use at least ${least} or lower "timings.${shorter}": ${because}`,
    });
  }
  return found;
}

function findSecretContradictions(
  settings: Settings,
): problems.SettingsProblem[] {
  const hasText = settings.peerSecret !== undefined;
  const hasFile = settings.peerSecretFile !== undefined;
  if (hasText !== hasFile) return [];
  return [{
    kind: hasText ? "contradiction" : "missing",
    path: "peerSecret",
    seen: hasText ? "both peerSecret and peerSecretFile" : "nothing",
    remedy: 'Give either "peerSecret" (16 characters or more) or ' +
      '"peerSecretFile", the same secret on every entry VM',
  }];
}
