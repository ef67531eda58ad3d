/** Grant calls that also show whether this VM reaches their servers. */
import type * as contracts from "@guavatide/contracts";
import type { ServerPaths } from "../paths/server_paths.ts";

/** Reports each answered and each failed call. */
export class PathNotingGrantControl implements contracts.GrantControl {
  readonly #control: contracts.GrantControl;
  readonly #paths: Pick<ServerPaths, "noteHeard" | "noteFailure">;

  constructor(
    control: contracts.GrantControl,
    paths: Pick<ServerPaths, "noteHeard" | "noteFailure">,
  ) {
    this.#control = control;
    this.#paths = paths;
  }

  grant(
    entry: contracts.RegisteredServer,
    grant: contracts.KeyGrant,
    options: contracts.GrantCallOptions,
  ): ReturnType<contracts.GrantControl["grant"]> {
    const { server } = entry;
    return this.#control.grant(entry, grant, options)
      .map((answer) => {
        this.#paths.noteHeard(server);
        return answer;
      })
      .mapErr((error) => {
        if (error.kind !== "kept") this.#paths.noteFailure(server);
        return error;
      });
  }

  /** A release waits for running requests, so its silence shows nothing. */
  release(
    server: contracts.RegisteredServer,
    range: contracts.KeyRange & { readonly fence: number },
    options: contracts.GrantCallOptions,
  ): ReturnType<contracts.GrantControl["release"]> {
    return this.#control.release(server, range, options);
  }

  close(): Promise<void> {
    return this.#control.close();
  }
}
