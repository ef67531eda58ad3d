/** Client of a backend server's control API over HTTP. */
import * as contracts from "@guavatide/contracts";
import { err, ok, type Result, type ResultAsync } from "neverthrow";
import * as crypto from "node:crypto";
import type * as z from "zod";
import {
  type HttpCallError,
  HttpChannel,
  type HttpRequest,
  type HttpResponse,
} from "./http_channel.ts";

/** A reply lists the slices that are being released, a few bytes each. */
const MAX_REPLY_BYTES = 1_048_576;

/** {@link contracts.BackendControl} over HTTP, for one backend server. */
export class HttpBackendControl implements contracts.BackendControl {
  readonly #channel: HttpChannel;

  /** `origin` is a URL without a path. */
  constructor(origin: string) {
    this.#channel = new HttpChannel(origin, {
      maxResponseBytes: MAX_REPLY_BYTES,
    });
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
    return this.#call(request, options)
      .andThen((response) =>
        parseResponse(response, contracts.leaseCommandReplySchema)
      )
      .andThen((reply) => this.#checkRevision(command, reply));
  }

  load(
    options: contracts.CallOptions,
  ): ResultAsync<contracts.LoadReport, contracts.ServerCallError> {
    return this.#call({ method: "GET", path: "/control/load" }, options)
      .andThen((response) =>
        parseResponse(response, contracts.loadReportSchema)
      );
  }

  /**
   * A server may answer a call twice, the second time late, where the answer to
   * the next call is due. The id of the call tells them apart; servers of
   * earlier versions leave it out.
   */
  #call(
    request: HttpRequest,
    options: contracts.CallOptions,
  ): ResultAsync<HttpResponse, contracts.ServerCallError> {
    const id = crypto.randomUUID();
    const headers = {
      ...request.headers,
      [contracts.REQUEST_ID_HEADER]: id,
    };
    return this.#channel.call({ ...request, headers }, options)
      .mapErr(toServerCallError)
      .andThen((response) => {
        const namedCall = response.headers[contracts.REQUEST_ID_HEADER];
        if (namedCall === undefined || namedCall === id) return ok(response);
        this.#channel.dropConnections();
        return err(badResponse("it bears the id of another call"));
      });
  }

  /** A server that has seen the command has seen its revision. */
  #checkRevision(
    command: contracts.LeaseCommand,
    reply: contracts.LeaseCommandReply,
  ): Result<contracts.LeaseCommandReply, contracts.ServerCallError> {
    if (reply.revision >= command.revision) return ok(reply);
    this.#channel.dropConnections();
    return err(badResponse("it belongs to an earlier command"));
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
  return contracts.decodeJson(response.text, schema)
    .mapErr(({ field, message }) => badResponse(`${field}: ${message}`));
}

function badResponse(detail: string): contracts.ServerCallError {
  return {
    kind: "bad-answer",
    message:
      `Unexpected response from the server's control API (${detail}); check the server's address and version`,
  };
}
