/** Control side of one backend server over HTTP. */
import * as contracts from "@guavatide/contracts";
import { err, ok, type Result, type ResultAsync } from "neverthrow";
import type * as z from "zod";
import {
  type HttpCallError,
  HttpChannel,
  type HttpResponse,
} from "./http_channel.ts";

/** {@link contracts.BackendControl} over HTTP, for one server address. */
export class HttpBackendControl implements contracts.BackendControl {
  readonly #channel: HttpChannel;

  /** `origin` is a URL without path. */
  constructor(origin: string) {
    this.#channel = new HttpChannel(origin);
  }

  /** Closes every connection to the server's control side. */
  close(): Promise<void> {
    return this.#channel.close();
  }

  sendLeaseCommand(
    order: contracts.LeaseCommand,
    options: contracts.CallOptions,
  ): ResultAsync<contracts.LeaseCommandReply, contracts.ServerCallError> {
    const call = {
      method: "POST",
      path: "/control/ownership",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(order),
    } as const;
    return this.#channel.call(call, options)
      .mapErr(toServerCallError)
      .andThen((answer) =>
        parseResponse(answer, contracts.leaseCommandReplySchema)
      );
  }

  load(
    options: contracts.CallOptions,
  ): ResultAsync<contracts.LoadReport, contracts.ServerCallError> {
    return this.#channel.call({ method: "GET", path: "/control/load" }, options)
      .mapErr(toServerCallError)
      .andThen((answer) => parseResponse(answer, contracts.loadReportSchema));
  }
}

function toServerCallError(error: HttpCallError): contracts.ServerCallError {
  const { kind, message } = error;
  return { kind: kind === "cancelled" ? "unreachable" : kind, message };
}

function parseResponse<T>(
  answer: HttpResponse,
  schema: z.ZodType<T>,
): Result<T, contracts.ServerCallError> {
  if (answer.status !== 200) {
    return err(badResponse(`status ${answer.status}: ${answer.text}`));
  }
  try {
    return ok(schema.parse(JSON.parse(answer.text)));
  } catch (error) {
    return err(badResponse(String(error)));
  }
}

function badResponse(seen: string): contracts.ServerCallError {
  return {
    kind: "bad-answer",
    message:
      `The server's control side gave another answer than agreed (${seen}); check the server's address and version`,
  };
}
