/** A request of a platform's client, read whole, and what it is answered. */
import type * as contracts from "@guavatide/contracts";
import type { ServerAnswer } from "../requests/caller_request.ts";

/** A request as it came. */
export interface FrontRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly host: string;
  /** Headers to pass on, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  readonly key: number | undefined;
  /** Time that the caller still waits; undefined when it did not say. */
  readonly deadlineMs: number | undefined;
  readonly arrivedMs: number;
  /** How long it may have lain unread in a loop that stays behind; else 0. */
  readonly lagMs: number;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
}

/** What the caller gets. */
export type FrontAnswer =
  | { readonly kind: "passed-on"; readonly answer: ServerAnswer }
  /** An answer of this VM's own. */
  | {
    readonly kind: "own";
    readonly status: number;
    readonly message: string;
    /** When to come back, for requests that have not run. */
    readonly retryAfterMs?: number;
  };

/** Mean time after which those refused for the loop's lag are to come back. */
const OVERLOAD_RETRY_AFTER_MS = 300;

/** This VM is overloaded; another may not be. */
export function overloadAnswer(random: contracts.RandomSource): FrontAnswer {
  return notRunAnswer(
    "Not run: this VM is behind",
    OVERLOAD_RETRY_AFTER_MS * (0.5 + random.next()),
  );
}

/** The request has not run and never will; the caller may come back. */
export function notRunAnswer(
  message: string,
  retryAfterMs: number,
): FrontAnswer {
  return { kind: "own", status: 503, message, retryAfterMs };
}
