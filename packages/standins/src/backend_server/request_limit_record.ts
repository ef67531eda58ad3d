/**
 * What backend servers that limit their requests have got: finds the spans of
 * time in which one got more than it had allowed.
 */

/** A server may get this much more than its limit in any window. */
const EXCESS_RATIO = 1.5;
const SLACK_REQUESTS = 5;
const WINDOW_MS = 4_000;
/** A caller is bound this long after it got an answer that names the limit. */
const CALLER_GRACE_MS = 500;
/** A caller that is not known is bound this long after any caller was told. */
const UNKNOWN_CALLER_GRACE_MS = 1_000;
/** What a link held up arrives within this time after it has healed. */
const HELD_UP_MS = 500;
/** No window ends earlier than this after a server first named a limit. */
const STABILITY_MS = 3_000;

const UNKNOWN_CALLER = "";

/** A span of time. */
interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

/** A call that reached a server. */
interface RecordedCall {
  readonly atMs: number;
  /** The entry VM that sent it; undefined when that is not known. */
  readonly caller: string | undefined;
}

interface ServerRecord {
  /** Limits in the order in which the server named them; undefined for none. */
  readonly limits: {
    readonly fromMs: number;
    readonly perSecond: number | undefined;
  }[];
  readonly calls: RecordedCall[];
  /** When any caller first got an answer that named a limit. */
  firstToldAtMs: number | undefined;
  /** The same for each caller that is known. */
  readonly toldAtMs: Map<string, number>;
  /** Spans in which calls were held up on their way to the server. */
  readonly heldUp: Span[];
}

/** Calls to all servers of a test. Times are those of one clock. */
export class RequestLimitRecord {
  readonly #servers = new Map<string, ServerRecord>();
  /** Spans in which a caller was stopped or frozen, and a while after. */
  readonly #excused = new Map<string, Span[]>();

  /**
   * A server names a limit from now on; undefined for none. Text that is no
   * rate leaves the limit before it in force.
   */
  nameLimit(server: string, text: string | undefined, atMs: number): void {
    const perSecond = text === undefined ? undefined : Number(text);
    if (Number.isNaN(perSecond)) return;
    const record: ServerRecord = this.#servers.get(server) ??
      {
        limits: [],
        calls: [],
        firstToldAtMs: undefined,
        toldAtMs: new Map(),
        heldUp: [],
      };
    this.#servers.set(server, record);
    record.limits.push({ fromMs: atMs, perSecond });
  }

  /** A call reaches a server. */
  recordCall(server: string, caller: string | undefined, atMs: number): void {
    this.#servers.get(server)?.calls.push({ atMs, caller });
  }

  /**
   * A server has answered a call of the caller with the text as its limit; one
   * that is no rate tells the caller nothing.
   */
  recordTold(
    server: string,
    { caller, text, atMs }: {
      readonly caller: string | undefined;
      readonly text: string;
      readonly atMs: number;
    },
  ): void {
    const record = this.#servers.get(server);
    if (record === undefined || Number.isNaN(Number(text))) return;
    record.firstToldAtMs ??= atMs;
    if (caller === undefined || record.toldAtMs.has(caller)) return;
    record.toldAtMs.set(caller, atMs);
  }

  /** A caller was stopped or frozen: none of its calls in the span count. */
  excuseCaller(caller: string, fromMs: number, toMs: number): void {
    const spans = this.#excused.get(caller) ?? [];
    this.#excused.set(caller, spans);
    spans.push({ fromMs, toMs: toMs + STABILITY_MS });
  }

  /**
   * The store was disturbed: calls of unknown callers in the span, which renew
   * leases, don't count. Longer leases have to be stored first.
   */
  excuseControl(fromMs: number, toMs: number): void {
    this.excuseCaller(UNKNOWN_CALLER, fromMs, toMs);
  }

  /** Calls to a server were held up: none that arrives in the span counts. */
  excuseServer(server: string, fromMs: number, toMs: number): void {
    this.#servers.get(server)?.heldUp.push({
      fromMs,
      toMs: toMs + HELD_UP_MS,
    });
  }

  /** Calls that a server got in a span of time. */
  countCalls(server: string, fromMs: number, toMs: number): number {
    const calls = this.#servers.get(server)?.calls ?? [];
    return calls.filter(({ atMs }) => atMs >= fromMs && atMs < toMs).length;
  }

  /** Servers that got more than they had allowed, with the worst window. */
  findViolations(): string[] {
    return [...this.#servers].flatMap(([server, record]) =>
      worstWindow(server, record, this.#excused) ?? []
    );
  }
}

function worstWindow(
  server: string,
  record: ServerRecord,
  excused: ReadonlyMap<string, readonly Span[]>,
): string | undefined {
  const firstMs = record.limits[0]!.fromMs;
  const counted = record.calls.filter((call) =>
    isCounted(call, record) && !isWithin(call, record.heldUp) &&
    !isWithin(call, excused.get(call.caller ?? UNKNOWN_CALLER))
  );
  let worst: string | undefined;
  let worstExcess = 0;
  let start = 0;
  for (const [end, { atMs }] of counted.entries()) {
    while (counted[start]!.atMs < atMs - WINDOW_MS) start++;
    if (atMs < firstMs + STABILITY_MS) continue;
    const count = end - start + 1;
    const allowed = allowedCalls(record, atMs - WINDOW_MS, atMs);
    if (count - allowed <= worstExcess) continue;
    worstExcess = count - allowed;
    worst = `${server} got ${count} calls in 4 s, ${Math.floor(allowed)} ` +
      `allowed, ${Math.round(atMs - firstMs)} ms after it first named a limit`;
  }
  return worst;
}

function isWithin(
  { atMs }: RecordedCall,
  spans: readonly Span[] = [],
): boolean {
  return spans.some(({ fromMs, toMs }) => fromMs <= atMs && atMs <= toMs);
}

function isCounted(
  { caller, atMs }: RecordedCall,
  { firstToldAtMs, toldAtMs }: ServerRecord,
): boolean {
  if (caller === undefined) {
    return firstToldAtMs !== undefined &&
      atMs >= firstToldAtMs + UNKNOWN_CALLER_GRACE_MS;
  }
  const toldMs = toldAtMs.get(caller);
  return toldMs !== undefined && atMs >= toldMs + CALLER_GRACE_MS;
}

/** Infinite when no limit was in force during a part of the span. */
function allowedCalls(
  { limits }: ServerRecord,
  fromMs: number,
  toMs: number,
): number {
  let sum = 0;
  for (const [index, { fromMs: namedMs, perSecond }] of limits.entries()) {
    // No call from before the first limit counts.
    const startMs = index === 0 ? fromMs : Math.max(fromMs, namedMs);
    const endMs = Math.min(toMs, limits[index + 1]?.fromMs ?? toMs);
    if (endMs <= startMs) continue;
    if (perSecond === undefined) return Number.POSITIVE_INFINITY;
    sum += perSecond * (endMs - startMs) / 1_000;
  }
  return EXCESS_RATIO * sum + SLACK_REQUESTS;
}
