/** Lets request bodies wait for room, or refuses them before they are read. */
import type * as admission from "@guavatide/decisions/admission/mod";
import type { ConnectionEvent } from "./front_connection.ts";
import {
  type FrontAnswer,
  type FrontRequestHead,
  notRunAnswer,
} from "./front_request.ts";

/** Options of {@link BodyAdmission}. */
export interface BodyAdmissionOptions {
  readonly held: admission.HeldBytes;
  /** Largest body; counts for a body without a declared length. */
  readonly largestBodyBytes: () => number;
  readonly count: (event: ConnectionEvent) => void;
}

/** A body that may be read, or the refusal of its request. */
export type AdmittedBody =
  | { readonly kind: "admitted"; readonly body: admission.HeldBody }
  | { readonly kind: "refused"; readonly answer: FrontAnswer };

/**
 * A body that found no room within this time is refused: its caller can still
 * be served by another VM.
 */
const MAX_WAIT_MS = 1_000;

/** Asks for room for the bodies of requests. */
export class BodyAdmission {
  readonly #options: BodyAdmissionOptions;

  constructor(options: BodyAdmissionOptions) {
    this.#options = options;
  }

  /** Resolves once the body may be read, or its request is refused. */
  async admit(
    { bodyBytes, deadlineMs, signal }: FrontRequestHead,
  ): Promise<AdmittedBody> {
    const { held, largestBodyBytes, count } = this.#options;
    const bytes = bodyBytes ?? largestBodyBytes();
    let onAdmitted = () => {};
    const body = held.admitBody(bytes, () => onAdmitted());
    if (body === undefined) return this.#refuse(bytes);
    if (body.isAdmitted) return { kind: "admitted", body };
    count("body-waited");
    await new Promise<void>((resolve) => {
      const waitMs = Math.min(MAX_WAIT_MS, deadlineMs ?? MAX_WAIT_MS);
      const timer = setTimeout(resolve, waitMs);
      onAdmitted = () => {
        clearTimeout(timer);
        resolve();
      };
      signal.addEventListener("abort", onAdmitted, { once: true });
    });
    if (body.isAdmitted) return { kind: "admitted", body };
    body.release();
    return this.#refuse(bytes);
  }

  #refuse(bytes: number): AdmittedBody {
    const { held, count } = this.#options;
    count("body-refused");
    const answer = notRunAnswer(
      "Not run: this VM holds as many bytes as it can",
      held.retryAfterMs(bytes),
    );
    return { kind: "refused", answer };
  }
}
