/**
 * Puts together, from the log lines of many entry processes, what became of
 * one request and what the processes believed of the servers that it met.
 */
import { type LogLine, parseLine } from "./log_line.ts";

/** Lines about a server count when they are at most this old. */
const CONTEXT_MS = 10_000;
/** And at most this much later: an answer may come after the news. */
const AFTER_MS = 1_000;

/**
 * Lines that explain a request, in order: its own, and those about the servers
 * it was sent to, the owners of its service's keys and the platform's store.
 * Lines that are not JSON are left out.
 */
export function historyOf(id: string, log: string): LogLine[] {
  const lines = log.split("\n").map(parseLine).filter((it) => it !== undefined);
  const own = lines.filter(({ fields }) => fields["id"] === id);
  if (own.length === 0) return [];
  const servers = serversIn(own);
  const fromMs = Math.min(...own.map(startMs)) - CONTEXT_MS;
  const toMs = Math.max(...own.map(({ timeMs }) => timeMs)) + AFTER_MS;
  return lines
    .filter((line) =>
      own.includes(line) ||
      line.timeMs <= toMs && isAboutZone(line) ||
      line.timeMs >= fromMs && line.timeMs <= toMs && isAbout(line, servers)
    )
    .sort((a, b) => a.timeMs - b.timeMs);
}

function startMs({ timeMs, fields }: LogLine): number {
  return timeMs - (Number(fields["tookMs"]) || 0);
}

/** Servers that the request was sent to: `server ...: end; server ...`. */
function serversIn(own: readonly LogLine[]): Set<string> {
  const sends = own.flatMap(({ fields }) =>
    String(fields["sends"] ?? "").split("; ")
  );
  return new Set(sends.map((send) => send.split(" ")[0]!).filter(Boolean));
}

/** Evacuations are told at any age: they last as long as operators wish. */
function isAboutZone({ fields }: LogLine): boolean {
  return fields["part"] === "member" && fields["zone"] !== undefined &&
    fields["server"] === undefined;
}

function isAbout(
  { fields }: LogLine,
  servers: ReadonlySet<string>,
): boolean {
  if (fields["id"] !== undefined) return false;
  const part = fields["part"];
  if (part === "store" || part === "config" || part === "main") return true;
  return servers.has(String(fields["server"] ?? fields["to"] ?? ""));
}
