/**
 * Selects, from the logs of many entry processes, the lines that explain the
 * outcome of one request: its own, and what the processes logged about the
 * servers it was sent to.
 */
import { type LogLine, parseLogLine } from "./log_line.ts";

/** Context lines are included from this long before the request arrived. */
const CONTEXT_BEFORE_MS = 10_000;
/** And until this long after it ended: its cause may be logged after it. */
const CONTEXT_AFTER_MS = 1_000;

/**
 * Lines that explain a request, ordered by time: its own, and those about the
 * servers it was sent to or that refused it by their limit, the configuration
 * and the platform's store; at any age, those about zone evacuations, crashes
 * under its content, limits of these servers and lost paths to them. Lines that are not JSON are
 * skipped; empty for an unknown ID.
 */
export function explainRequest(id: string, log: string): LogLine[] {
  const lines = log.split("\n").map(parseLogLine).filter((line) =>
    line !== undefined
  );
  const requestLines = lines.filter(({ fields }) => fields["id"] === id);
  if (requestLines.length === 0) return [];
  const servers = attemptedServers(requestLines);
  const fingerprints = new Set(
    requestLines.map(({ fields }) => fields["fingerprint"]).filter(Boolean),
  );
  const fromMs = Math.min(...requestLines.map(arrivalTimeMs)) -
    CONTEXT_BEFORE_MS;
  const toMs = Math.max(...requestLines.map(({ timeMs }) => timeMs)) +
    CONTEXT_AFTER_MS;
  return lines
    .filter((line) =>
      requestLines.includes(line) ||
      line.timeMs <= toMs && isZoneEvacuation(line) ||
      line.timeMs <= toMs && isCrashRecord(line, fingerprints) ||
      line.timeMs <= toMs && isLastingChange(line, servers) ||
      line.timeMs >= fromMs && line.timeMs <= toMs && isContextOf(line, servers)
    )
    .sort((a, b) => a.timeMs - b.timeMs);
}

/** Arrival of the request, which is logged when it has ended. */
function arrivalTimeMs({ timeMs, fields }: LogLine): number {
  return timeMs - (Number(fields["tookMs"]) || 0);
}

/**
 * Servers in the field `sends`, `SERVER ...: OUTCOME ...; SERVER ...`, and in
 * `limitedBy`.
 */
function attemptedServers(requestLines: readonly LogLine[]): Set<string> {
  const attempts = requestLines.flatMap(({ fields }) => [
    ...String(fields["sends"] ?? "").split("; "),
    String(fields["limitedBy"] ?? ""),
  ]);
  return new Set(
    attempts.map((attempt) => attempt.split(" ")[0]!).filter(Boolean),
  );
}

/** Included at any age: an evacuation lasts until an operator ends it. */
function isZoneEvacuation({ fields }: LogLine): boolean {
  return fields["part"] === "member" && fields["zone"] !== undefined &&
    fields["server"] === undefined;
}

/** Included at any age: a request is refused for crashes long before it. */
function isCrashRecord(
  { fields }: LogLine,
  fingerprints: ReadonlySet<unknown>,
): boolean {
  // Lines of other requests with the same content have an outcome.
  return fields["outcome"] === undefined &&
    fingerprints.has(fields["fingerprint"]);
}

/** Changes that last until another one ends them. */
const LASTING_CHANGES = new Set([
  "Server limits its requests.",
  "Server no longer limits its requests.",
  "Does not reach servers; peers send their requests.",
  "Reaches servers again.",
  // In logs of earlier versions.
  "Reaches a server again.",
]);

/** Included at any age: limits and lost paths last until they end. */
function isLastingChange(
  { fields }: LogLine,
  servers: ReadonlySet<string>,
): boolean {
  return LASTING_CHANGES.has(String(fields["sentence"])) &&
    serversOf(fields).some((server) => servers.has(server));
}

/** The servers that a line is about. */
function serversOf(fields: LogLine["fields"]): string[] {
  const names = fields["servers"] ?? fields["server"] ?? fields["to"] ?? "";
  return String(names).split(",");
}

/**
 * Whether the line is about one of the servers, the store, the configuration or
 * the process. Lines of other requests are not.
 */
function isContextOf(
  { fields }: LogLine,
  servers: ReadonlySet<string>,
): boolean {
  if (fields["id"] !== undefined) return false;
  const part = fields["part"];
  if (part === "store" || part === "config" || part === "main") return true;
  return serversOf(fields).some((server) => servers.has(server));
}
