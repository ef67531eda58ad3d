/** Grant calls that count for their servers' limits and back-offs. */
import type * as contracts from "@guavatide/contracts";

/** What is told of grant calls. */
export interface GrantCallObserver {
  /** Called when a call is sent. */
  noteCall(server: contracts.ServerId, kind: "grant" | "release"): void;
  /** Called with what an answer says of its server, `tookMs` after the call. */
  noteNotices(
    server: contracts.RegisteredServer,
    notices: contracts.ServerNotices,
    tookMs: number,
  ): void;
}

/** Options of {@link ObservedGrantControl}. */
export interface ObservedGrantControlOptions {
  readonly control: contracts.GrantControl;
  readonly observers: readonly GrantCallObserver[];
  readonly clock: contracts.Clock;
}

/** Reports each call that is sent, and what answers say of their servers. */
export class ObservedGrantControl implements contracts.GrantControl {
  readonly #options: ObservedGrantControlOptions;

  constructor(options: ObservedGrantControlOptions) {
    this.#options = options;
  }

  grant(
    server: contracts.RegisteredServer,
    grant: contracts.KeyGrant,
    options: contracts.GrantCallOptions,
  ): ReturnType<contracts.GrantControl["grant"]> {
    const observed = this.#observed(server, "grant", options);
    return this.#options.control.grant(server, grant, observed);
  }

  release(
    server: contracts.RegisteredServer,
    range: contracts.KeyRange & { readonly fence: number },
    options: contracts.GrantCallOptions,
  ): ReturnType<contracts.GrantControl["release"]> {
    const observed = this.#observed(server, "release", options);
    return this.#options.control.release(server, range, observed);
  }

  close(): Promise<void> {
    return this.#options.control.close();
  }

  #observed(
    server: contracts.RegisteredServer,
    kind: "grant" | "release",
    options: contracts.GrantCallOptions,
  ): contracts.GrantCallOptions {
    const { observers, clock } = this.#options;
    const sentAtMs = clock.nowMs();
    return {
      ...options,
      maySend: () => {
        const maySend = options.maySend?.() ?? true;
        if (!maySend) return false;
        for (const it of observers) it.noteCall(server.server, kind);
        return true;
      },
      onNotices: (notices) => {
        options.onNotices?.(notices);
        const tookMs = clock.nowMs() - sentAtMs;
        for (const it of observers) it.noteNotices(server, notices, tookMs);
      },
    };
  }
}
