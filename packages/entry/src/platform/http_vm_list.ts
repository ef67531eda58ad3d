/** The platform's VM list over HTTP: `GET /vms`. */
import * as contracts from "@guavatide/contracts";
import { err, ok, type Result, type ResultAsync } from "neverthrow";
import { HttpChannel, type HttpResponse } from "./http_channel.ts";

/** {@link contracts.VmList} over HTTP. */
export class HttpVmList implements contracts.VmList {
  readonly #channel: HttpChannel;
  readonly #path: string;

  /** `listUrl` is the URL of the list itself; `/vms` if it has no path. */
  constructor(listUrl: string) {
    const url = new URL(listUrl);
    this.#path = url.pathname === "/" ? "/vms" : url.pathname;
    this.#channel = new HttpChannel(url.origin);
  }

  /** Closes every connection to the list. */
  close(): Promise<void> {
    return this.#channel.close();
  }

  fetch(
    options: contracts.CallOptions,
  ): ResultAsync<contracts.VmListSnapshot, contracts.VmListError> {
    return this.#channel.call({ method: "GET", path: this.#path }, options)
      .mapErr((error) => unavailableError(error.message))
      .andThen(parseSnapshot);
  }
}

function parseSnapshot(
  answer: HttpResponse,
): Result<contracts.VmListSnapshot, contracts.VmListError> {
  if (answer.status !== 200) {
    return err(
      unavailableError(
        `The VM list answered ${answer.status}; try again later`,
      ),
    );
  }
  try {
    return ok(contracts.vmListSnapshotSchema.parse(JSON.parse(answer.text)));
  } catch (error) {
    return err(
      unavailableError(
        `The VM list has another form: ${String(error)}; check its address`,
      ),
    );
  }
}

function unavailableError(message: string): contracts.VmListError {
  return { kind: "unavailable", message };
}
