/** Grant calls whose number and answers count for their server's limit. */
import type * as contracts from "@guavatide/contracts";
import type { RequestLimitTask } from "../limits/request_limit_task.ts";

/** Reports each call that is sent, and limits that answers name. */
export class LimitedGrantControl implements contracts.GrantControl {
  readonly #control: contracts.GrantControl;
  readonly #limits: Pick<RequestLimitTask, "noteAnswer" | "noteCall">;
  readonly #clock: contracts.Clock;

  constructor(
    control: contracts.GrantControl,
    limits: Pick<RequestLimitTask, "noteAnswer" | "noteCall">,
    clock: contracts.Clock,
  ) {
    this.#control = control;
    this.#limits = limits;
    this.#clock = clock;
  }

  grant(
    server: contracts.RegisteredServer,
    grant: contracts.KeyGrant,
    options: contracts.GrantCallOptions,
  ): ReturnType<contracts.GrantControl["grant"]> {
    const noted = this.#noted(server, "grant", options);
    return this.#control.grant(server, grant, noted);
  }

  release(
    server: contracts.RegisteredServer,
    range: contracts.KeyRange & { readonly fence: number },
    options: contracts.GrantCallOptions,
  ): ReturnType<contracts.GrantControl["release"]> {
    const noted = this.#noted(server, "release", options);
    return this.#control.release(server, range, noted);
  }

  close(): Promise<void> {
    return this.#control.close();
  }

  #noted(
    server: contracts.RegisteredServer,
    kind: "grant" | "release",
    options: contracts.GrantCallOptions,
  ): contracts.GrantCallOptions {
    const sentAtMs = this.#clock.nowMs();
    return {
      ...options,
      maySend: () => {
        const maySend = options.maySend?.() ?? true;
        if (maySend) this.#limits.noteCall(server.server, kind);
        return maySend;
      },
      onNotices: (notices) => {
        options.onNotices?.(notices);
        if (notices.requestLimit === undefined) return;
        this.#limits.noteAnswer(server.server, notices.requestLimit, {
          tookMs: this.#clock.nowMs() - sentAtMs,
        });
      },
    };
  }
}
