/** Client of the platform's VM list over HTTP: `GET /vms`. */
import * as contracts from "@guavatide/contracts";
import { err, type Result, type ResultAsync } from "neverthrow";
import * as z from "zod";
import { HttpChannel, type HttpResponse } from "./http_channel.ts";

/** Enough for 50,000 VMs; an entry has less than 300 bytes. */
const MAX_LIST_BYTES = 16 * 1_048_576;

const listSchema = z.strictObject({
  vms: contracts.usableItems(contracts.listedVmSchema),
});

/** {@link contracts.VmList} over HTTP. */
export class HttpVmList implements contracts.VmList {
  readonly #channel: HttpChannel;
  readonly #path: string;

  /** `listUrl` is the URL of the list; its path defaults to `/vms`. */
  constructor(listUrl: string) {
    const url = new URL(listUrl);
    this.#path = url.pathname === "/" ? "/vms" : url.pathname;
    this.#channel = new HttpChannel(url.origin, {
      maxResponseBytes: MAX_LIST_BYTES,
    });
  }

  /** Closes all connections to the VM list. */
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
  response: HttpResponse,
): Result<contracts.VmListSnapshot, contracts.VmListError> {
  if (response.status !== 200) {
    return err(
      unavailableError(
        `The VM list responded with status ${response.status}; try again later`,
      ),
    );
  }
  return contracts.decodeJson(response.text, listSchema)
    .mapErr(({ field, message }) =>
      unavailableError(
        `The VM list's response is malformed (${field}: ${message}); check ` +
          "its address",
      )
    );
}

function unavailableError(message: string): contracts.VmListError {
  return { kind: "unavailable", message };
}
