/**
 * What servers have got from callers that they had asked to back off, or had
 * told that they leave.
 */

/** A caller may still send this much until its back-off ends. */
const ALLOWED_CALLS = 2;
/** A caller is bound this long after the answer that asked it. */
const CALLER_GRACE_MS = 500;

/** What a link held up arrives within this time after it has healed. */
const HELD_UP_MS = 500;

/** A server has asked a caller to back off. */
interface BackoffRequest {
  readonly server: string;
  readonly caller: string;
  readonly atMs: number;
  readonly delayMs: number;
}

/** A call that reached a server. */
interface RecordedCall {
  readonly server: string;
  readonly caller: string;
  readonly kind: string;
  readonly atMs: number;
  /** When a client sent the request; undefined where that is not known. */
  readonly sentAtMs: number | undefined;
}

/** Calls to all servers of a test. Times are those of one clock. */
export class BackoffRecord {
  readonly #requests: BackoffRequest[] = [];
  readonly #calls: RecordedCall[] = [];
  /** When each server first told each caller that it leaves. */
  readonly #leavingTold = new Map<string, number>();
  /** Spans in which callers or servers were stopped, frozen or cut off. */
  readonly #disturbed = new Map<string, { fromMs: number; toMs: number }[]>();

  /** Number of back-offs that servers have asked for. */
  get requestCount(): number {
    return this.#requests.length;
  }

  /** A server has answered a call of the caller with a delay. */
  recordRequest(request: BackoffRequest): void {
    this.#requests.push(request);
  }

  /** A server has answered a call of the caller and said that it leaves. */
  recordLeavingTold(server: string, caller: string, atMs: number): void {
    const name = `${server} ${caller}`;
    if (!this.#leavingTold.has(name)) this.#leavingTold.set(name, atMs);
  }

  /** A call reaches a server. */
  recordCall(call: RecordedCall): void {
    this.#calls.push(call);
  }

  /** A caller or server was stopped, frozen or cut off for a while. */
  excuse(name: string, fromMs: number, toMs: number): void {
    const spans = this.#disturbed.get(name) ?? [];
    this.#disturbed.set(name, spans);
    spans.push({ fromMs, toMs: toMs + HELD_UP_MS });
  }

  /** Servers and callers with back-offs that were not kept, and the worst. */
  findBrokenBackoffs(): string[] {
    const worst = new Map<string, RecordedCall[]>();
    for (const request of this.#requests) {
      const calls = this.#callsWithin(request);
      const name = `${request.server} from ${request.caller}`;
      const isBroken = calls.length > ALLOWED_CALLS;
      if (!isBroken || calls.length <= (worst.get(name) ?? []).length) continue;
      worst.set(name, calls);
    }
    return [...worst].map(([name, calls]) =>
      `${name}: ${calls.length} calls after it had asked for none, ` +
      `${
        calls.filter(({ kind }) => kind === "request").length
      } of them requests`
    );
  }

  #callsWithin(
    { server, caller, atMs, delayMs }: BackoffRequest,
  ): RecordedCall[] {
    const endMs = atMs + delayMs;
    if (this.#isDisturbed([server, caller], atMs, endMs)) return [];
    return this.#calls.filter((call) =>
      call.server === server && call.caller === caller &&
      call.atMs > atMs + CALLER_GRACE_MS && call.atMs < endMs
    );
  }

  /**
   * Requests that clients sent later than `drainMs` after a server had told
   * their caller that it leaves, and that reached it.
   */
  findLateRequests(drainMs: number): string[] {
    return this.#calls.flatMap((call) => {
      const { server, caller, kind, atMs, sentAtMs = atMs } = call;
      const toldMs = this.#leavingTold.get(`${server} ${caller}`);
      const isLate = kind === "request" && toldMs !== undefined &&
        sentAtMs > toldMs + drainMs &&
        !this.#isDisturbed([server, caller], toldMs, atMs);
      return isLate
        ? `${server} got a request of ${caller} sent ` +
          `${Math.round(sentAtMs - toldMs)} ms after it had told that it leaves`
        : [];
    });
  }

  #isDisturbed(
    names: readonly string[],
    fromMs: number,
    toMs: number,
  ): boolean {
    return names.some((name) =>
      this.#disturbed.get(name)?.some((span) =>
        span.fromMs <= toMs && span.toMs >= fromMs
      )
    );
  }
}
