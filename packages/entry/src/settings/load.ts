/** Parses and validates the settings of an entry process. */
import * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import * as problems from "./problems.ts";
import { type Settings, settingsSchema } from "./schema.ts";

/** Why settings are invalid. `message` has one line per problem. */
export interface SettingsError {
  readonly kind: "not-json" | "invalid";
  readonly message: string;
  readonly problems: readonly problems.SettingsProblem[];
}

/** Intervals that must fit into a timeout, so that one lost message is harmless. */
const MIN_HEARTBEATS = 2;
const MIN_RENEWALS = 3;

/**
 * Parses and validates settings in JSON. Errors: `not-json` when the text is not
 * JSON, `invalid` with one problem for each invalid field.
 */
export function loadSettings(
  text: string,
): neverthrow.Result<Settings, SettingsError> {
  const json = contracts.parseJson(text);
  if (json.isErr()) {
    return toSettingsError("not-json", [{
      kind: "not-json",
      path: "(whole file)",
      actual: json.error.message,
      remedy: "Fix the JSON; `guavatide print-defaults` prints a complete file",
    }]);
  }
  const raw = json.value;
  const parsed = settingsSchema.safeParse(raw);
  if (!parsed.success) {
    return toSettingsError("invalid", problems.toProblems(parsed.error, raw));
  }
  const problemList = findContradictions(parsed.data);
  return problemList.length > 0
    ? toSettingsError("invalid", problemList)
    : neverthrow.ok(parsed.data);
}

/** Formats one problem as a line of text. */
export function formatProblem(problem: problems.SettingsProblem): string {
  return `${problem.path}: ${problem.kind}, saw ${problem.actual}. ${problem.remedy}`;
}

function toSettingsError(
  kind: SettingsError["kind"],
  problemList: readonly problems.SettingsProblem[],
): neverthrow.Result<Settings, SettingsError> {
  const message = problemList.map(formatProblem).join("\n");
  return neverthrow.err({ kind, message, problems: problemList });
}

function findContradictions(settings: Settings): problems.SettingsProblem[] {
  return [
    ...findPortConflicts(settings),
    ...findTimingContradictions(settings),
    ...findSecretContradictions(settings),
  ];
}

function findPortConflicts(settings: Settings): problems.SettingsProblem[] {
  const problemList: problems.SettingsProblem[] = [];
  const listenersByPort = new Map<number, string>();
  for (const [listener, port] of Object.entries(settings.ports)) {
    if (port === 0) continue;
    const other = listenersByPort.get(port);
    if (other === undefined) {
      listenersByPort.set(port, listener);
      continue;
    }
    problemList.push({
      kind: "port-clash",
      path: `ports.${listener}`,
      actual: String(port),
      remedy: `Use a port other than that of "ports.${other}", or 0 for any`,
    });
  }
  return problemList;
}

type TimingName = keyof Settings["timings"];

interface TimingRule {
  /** Field that must be at least `minRatio` times the field `shorter`. */
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
    reason: "a single lost renewal would expire a healthy server's lease",
  },
  {
    longer: "evidenceMs",
    shorter: "heartbeatMs",
    minRatio: MIN_HEARTBEATS,
    reason: "a single lost heartbeat would leave a voter without confirmation",
  },
  {
    longer: "detectMs",
    shorter: "heartbeatMs",
    minRatio: MIN_RENEWALS,
    reason: "a single lost heartbeat would mark a healthy peer as failed",
  },
  {
    longer: "dutyLeaseMs",
    shorter: "dutyRenewMs",
    minRatio: MIN_HEARTBEATS,
    reason: "a single lost reply from the store would end the leader lease",
  },
];

function findTimingContradictions(
  settings: Settings,
): problems.SettingsProblem[] {
  const problemList: problems.SettingsProblem[] = [];
  const timings = settings.timings;
  for (const { longer, shorter, minRatio, reason } of TIMING_RULES) {
    const minMs = timings[shorter] * minRatio;
    if (timings[longer] >= minMs) continue;
    problemList.push({
      kind: "contradiction",
      path: `timings.${longer}`,
      actual: `${timings[longer]} with ${shorter} ${timings[shorter]}`,
      remedy: `Use at least ${minMs} or lower "timings.${shorter}": ${reason}`,
    });
  }
  return problemList;
}

function findSecretContradictions(
  settings: Settings,
): problems.SettingsProblem[] {
  const hasSecret = settings.peerSecret !== undefined;
  const hasSecretFile = settings.peerSecretFile !== undefined;
  if (hasSecret !== hasSecretFile) return [];
  return [{
    kind: hasSecret ? "contradiction" : "missing",
    path: "peerSecret",
    actual: hasSecret ? "both peerSecret and peerSecretFile" : "nothing",
    remedy: 'Set either "peerSecret" (16 characters or more) or ' +
      '"peerSecretFile", with the same secret on every entry VM',
  }];
}
