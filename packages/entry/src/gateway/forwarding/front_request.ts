/** A request of a platform's client, with its whole body, and its response. */
import type * as contracts from "@guavatide/contracts";
import type { ServerAnswer } from "../../requests/caller_request.ts";

/** A request whose headers were received; its body may still arrive. */
export interface FrontRequestHead {
  readonly id: string;
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly host: string;
  /** Headers to forward, names and values alternating. */
  readonly headers: readonly string[];
  /** Declared length of the body; 0 without one, undefined when chunked. */
  readonly bodyBytes: number | undefined;
  readonly key: number | undefined;
  /** Address of the caller, without its port; empty when it is not known. */
  readonly caller: string;
  /** Time that the caller still waits; undefined when it sent none. */
  readonly deadlineMs: number | undefined;
  readonly arrivedMs: number;
  /** How long it may have waited unread if the event loop lags lastingly; else 0. */
  readonly lagMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** A request as it was received, with its whole body. */
export interface FrontRequest extends Omit<FrontRequestHead, "bodyBytes"> {
  readonly body: Uint8Array | undefined;
}

/** When a request of a route is late, and when it ends at the latest. */
export function deadlinesOf(
  { arrivedMs, deadlineMs }: Pick<FrontRequestHead, "arrivedMs" | "deadlineMs">,
  route: Pick<contracts.Route, "targetLatencyMs" | "timeoutMs">,
): { readonly targetMs: number; readonly answerByMs: number } {
  return {
    targetMs: arrivedMs + route.targetLatencyMs,
    answerByMs: arrivedMs +
      Math.min(route.timeoutMs, deadlineMs ?? Number.POSITIVE_INFINITY),
  };
}

/** The response to the caller. */
export type FrontAnswer =
  | { readonly kind: "passed-on"; readonly answer: ServerAnswer }
  /** A response of this VM's own. */
  | {
    readonly kind: "own";
    readonly status: number;
    readonly message: string;
    /** When the caller may retry, for requests that have not run. */
    readonly retryAfterMs?: number;
  };

/** Mean retry delay of callers refused for event loop lag. */
const OVERLOAD_RETRY_AFTER_MS = 300;

/** Refuses a request because this VM is overloaded; jitter spreads the retries. */
export function overloadAnswer(random: contracts.RandomSource): FrontAnswer {
  return notRunAnswer(
    "Not run: this VM is behind",
    OVERLOAD_RETRY_AFTER_MS * (0.5 + random.next()),
  );
}

/** A caller that this VM no longer serves can use another VM at once. */
export const STOPPING_RETRY_AFTER_MS = 20;

/** A 503: the request has not run and never will; the caller may retry. */
export function notRunAnswer(
  message: string,
  retryAfterMs: number,
): FrontAnswer {
  return { kind: "own", status: 503, message, retryAfterMs };
}
