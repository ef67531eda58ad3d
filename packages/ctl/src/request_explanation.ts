/**
 * Puts together, from the log lines of many entry processes, what became of
 * one request and what the processes believed of the servers that it met.
 */
import { type LogLine, parseLogLine } from "./log_line.ts";

/** Lines about a server count when they are at most this old. */
const CONTEXT_BEFORE_MS = 10_000;
/** And at most this much later: an answer may come after the news. */
const CONTEXT_AFTER_MS = 1_000;

/**
 * Lines that explain a request, in order: its own, and those about the servers
 * it was sent to, the owners of its service's keys and the platform's store.
 * Lines that are not JSON are left out.
 */
export function explainRequest(id: string, log: string): LogLine[] {
  const lines = log.split("\n").map(parseLogLine).filter((it) =>
    it !== undefined
  );
  const own = lines.filter(({ fields }) => fields["id"] === id);
  if (own.length === 0) return [];
  const servers = attemptedServers(own);
  const fromMs = Math.min(...own.map(arrivalTimeMs)) - CONTEXT_BEFORE_MS;
  const toMs = Math.max(...own.map(({ timeMs }) => timeMs)) + CONTEXT_AFTER_MS;
  return lines
    .filter((line) =>
      own.includes(line) ||
      line.timeMs <= toMs && isZoneEvacuation(line) ||
      line.timeMs >= fromMs && line.timeMs <= toMs && isContextOf(line, servers)
    )
    .sort((a, b) => a.timeMs - b.timeMs);
}

function arrivalTimeMs({ timeMs, fields }: LogLine): number {
  return timeMs - (Number(fields["tookMs"]) || 0);
}

/** Servers that the request was sent to: `server ...: end; server ...`. */
function attemptedServers(own: readonly LogLine[]): Set<string> {
  const sends = own.flatMap(({ fields }) =>
    String(fields["sends"] ?? "").split("; ")
  );
  return new Set(sends.map((send) => send.split(" ")[0]!).filter(Boolean));
}

/** Evacuations are told at any age: they last as long as operators wish. */
function isZoneEvacuation({ fields }: LogLine): boolean {
  return fields["part"] === "member" && fields["zone"] !== undefined &&
    fields["server"] === undefined;
}

function isContextOf(
  { fields }: LogLine,
  servers: ReadonlySet<string>,
): boolean {
  if (fields["id"] !== undefined) return false;
  const part = fields["part"];
  if (part === "store" || part === "config" || part === "main") return true;
  return servers.has(String(fields["server"] ?? fields["to"] ?? ""));
}
