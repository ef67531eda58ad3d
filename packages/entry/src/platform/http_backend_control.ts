/** Client of a backend server's control API over HTTP. */
import * as contracts from "@guavatide/contracts";
import { err, ok, type Result, type ResultAsync } from "neverthrow";
import type * as z from "zod";
import {
  type HttpCallError,
  HttpChannel,
  type HttpResponse,
} from "./http_channel.ts";

/** {@link contracts.BackendControl} over HTTP, for one backend server. */
export class HttpBackendControl implements contracts.BackendControl {
  readonly #channel: HttpChannel;

  /** `origin` is a URL without a path. */
  constructor(origin: string) {
    this.#channel = new HttpChannel(origin);
  }

  /** Closes all connections to the server's control API. */
  close(): Promise<void> {
    return this.#channel.close();
  }

  sendLeaseCommand(
    command: contracts.LeaseCommand,
    options: contracts.CallOptions,
  ): ResultAsync<contracts.LeaseCommandReply, contracts.ServerCallError> {
    const request = {
      method: "POST",
      path: "/control/ownership",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(command),
    } as const;
    return this.#channel.call(request, options)
      .mapErr(toServerCallError)
      .andThen((response) =>
        parseResponse(response, contracts.leaseCommandReplySchema)
      );
  }

  load(
    options: contracts.CallOptions,
  ): ResultAsync<contracts.LoadReport, contracts.ServerCallError> {
    return this.#channel.call({ method: "GET", path: "/control/load" }, options)
      .mapErr(toServerCallError)
      .andThen((response) =>
        parseResponse(response, contracts.loadReportSchema)
      );
  }
}

function toServerCallError(error: HttpCallError): contracts.ServerCallError {
  const { kind, message } = error;
  return { kind: kind === "cancelled" ? "unreachable" : kind, message };
}

function parseResponse<T>(
  response: HttpResponse,
  schema: z.ZodType<T>,
): Result<T, contracts.ServerCallError> {
  if (response.status !== 200) {
    return err(badResponse(`status ${response.status}: ${response.text}`));
  }
  try {
    return ok(schema.parse(JSON.parse(response.text)));
  } catch (error) {
    return err(badResponse(String(error)));
  }
}

function badResponse(detail: string): contracts.ServerCallError {
  return {
    kind: "bad-answer",
    message:
      `Unexpected response from the server's control API (${detail}); check the server's address and version`,
  };
}
