/** Grant calls to servers that may have asked this VM to back off. */
import type * as contracts from "@guavatide/contracts";
import type {
  ControlCallKind,
  ServerBackoffTask,
} from "../backoffs/server_backoff_task.ts";

/** Reports each call that is sent, and what answers say of their servers. */
export class BackoffGrantControl implements contracts.GrantControl {
  readonly #control: contracts.GrantControl;
  readonly #backoffs: Pick<ServerBackoffTask, "noteCall">;
  readonly #onNotices: (
    server: contracts.RegisteredServer,
    notices: contracts.ServerNotices,
  ) => void;

  constructor(
    control: contracts.GrantControl,
    backoffs: Pick<ServerBackoffTask, "noteCall">,
    onNotices: (
      server: contracts.RegisteredServer,
      notices: contracts.ServerNotices,
    ) => void,
  ) {
    this.#control = control;
    this.#backoffs = backoffs;
    this.#onNotices = onNotices;
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
    kind: ControlCallKind,
    options: contracts.GrantCallOptions,
  ): contracts.GrantCallOptions {
    return {
      ...options,
      maySend: () => {
        const maySend = options.maySend?.() ?? true;
        if (maySend) this.#backoffs.noteCall(server.server, kind);
        return maySend;
      },
      onNotices: (notices) => {
        options.onNotices?.(notices);
        this.#onNotices(server, notices);
      },
    };
  }
}
