/**
 * Client of the platform's store over HTTP. An object is at `/objects/<name>`
 * with its version as ETag; `/watch` is a long poll. See docs/contracts.md.
 */
import * as contracts from "@guavatide/contracts";
import { err, errAsync, ok, type Result, type ResultAsync } from "neverthrow";
import * as z from "zod";
import {
  type HttpCallError,
  HttpChannel,
  type HttpResponse,
} from "./http_channel.ts";

const objectSchema = z.object({
  name: z.string(),
  version: z.string(),
  value: z.string(),
});
const listSchema = z.object({
  objects: z.array(objectSchema),
  cursor: z.string(),
});
const watchSchema = z.object({
  cursor: z.string(),
  events: z.array(
    z.object({
      cursor: z.string(),
      name: z.string(),
      object: objectSchema.optional(),
    }),
  ),
  reset: z.boolean(),
});

/** {@link contracts.PlatformStore} over HTTP. */
export class HttpPlatformStore implements contracts.PlatformStore {
  readonly #channel: HttpChannel;

  /** The paths of objects and of the watch are relative to `baseUrl`. */
  constructor(baseUrl: string) {
    this.#channel = new HttpChannel(baseUrl);
  }

  /** Closes all connections to the store. */
  close(): Promise<void> {
    return this.#channel.close();
  }

  get(
    name: string,
    options: contracts.CallOptions,
  ): ResultAsync<contracts.StoredObject, contracts.StoreError> {
    return this.#channel.call(
      { method: "GET", path: objectPath(name) },
      options,
    )
      .mapErr(toUnavailableError)
      .andThen((response) => {
        if (response.status !== 200) return err(toStoreError(response, name));
        return parseVersion(response).map((version) => ({
          name,
          version,
          value: response.text,
        }));
      });
  }

  list(
    prefix: string,
    options: contracts.CallOptions,
  ): ResultAsync<
    { objects: contracts.StoredObject[]; cursor: string },
    contracts.StoreError
  > {
    const path = `/objects?${new URLSearchParams({ prefix })}`;
    return this.#channel.call({ method: "GET", path }, options)
      .mapErr(toUnavailableError)
      .andThen((response) => {
        if (response.status !== 200) return err(toStoreError(response, prefix));
        return parseResponse(response, listSchema);
      });
  }

  put(
    name: string,
    value: string,
    options: contracts.CallOptions & {
      readonly condition: contracts.WriteCondition;
    },
  ): ResultAsync<string, contracts.StoreError> {
    const sizeBytes = Buffer.byteLength(value);
    if (sizeBytes > contracts.STORE_VALUE_LIMIT_BYTES) {
      return errAsync(tooLargeError(name, sizeBytes));
    }
    const headers = {
      "content-type": "application/json",
      ...conditionHeaders(options.condition),
    };
    const call = {
      method: "PUT",
      path: objectPath(name),
      headers,
      body: value,
    } as const;
    return this.#channel.call(call, options)
      .mapErr(toUnavailableError)
      .andThen((response) =>
        response.status === 200
          ? parseVersion(response)
          : err(toStoreError(response, name))
      );
  }

  delete(
    name: string,
    options: contracts.CallOptions & {
      readonly condition: contracts.WriteCondition;
    },
  ): ResultAsync<void, contracts.StoreError> {
    const headers = conditionHeaders(options.condition);
    const call = { method: "DELETE", path: objectPath(name), headers } as const;
    return this.#channel.call(call, options)
      .mapErr(toUnavailableError)
      .andThen((response) =>
        response.status === 204
          ? ok(undefined)
          : err(toStoreError(response, name))
      );
  }

  watch(
    prefix: string,
    options: contracts.CallOptions & {
      readonly cursor: string;
      readonly waitMs: number;
    },
  ): ResultAsync<contracts.WatchBatch, contracts.StoreError> {
    const query = new URLSearchParams({
      prefix,
      cursor: options.cursor,
      waitMs: String(options.waitMs),
    });
    return this.#channel.call({ method: "GET", path: `/watch?${query}` }, {
      timeoutMs: options.timeoutMs,
      signal: options.signal,
    })
      .mapErr(toUnavailableError)
      .andThen((response) => {
        if (response.status !== 200) return err(toStoreError(response, prefix));
        return parseResponse(response, watchSchema);
      });
  }
}

function objectPath(name: string): string {
  return `/objects/${encodeURIComponent(name)}`;
}

function conditionHeaders(
  condition: contracts.WriteCondition,
): Record<string, string> {
  switch (condition.kind) {
    case "absent":
      return { "if-none-match": "*" };
    case "version":
      return { "if-match": `"${condition.version}"` };
    case "any":
      return {};
  }
}

function parseVersion(
  response: HttpResponse,
): Result<string, contracts.StoreError> {
  const match = /^"(.*)"$/.exec(response.etag ?? "");
  if (match?.[1] === undefined) {
    return err({
      kind: "unavailable",
      message: "The store's response has no ETag; check the store's address",
    });
  }
  return ok(match[1]);
}

function parseResponse<T>(
  response: HttpResponse,
  schema: z.ZodType<T>,
): Result<T, contracts.StoreError> {
  return contracts.decodeJson(response.text, schema)
    .mapErr(({ field, message }) => ({
      kind: "unavailable",
      message: `The store's response is malformed (${field}: ${message}); ` +
        "check the store's address",
    }));
}

function toUnavailableError(error: HttpCallError): contracts.StoreError {
  return { kind: "unavailable", message: error.message };
}

function tooLargeError(name: string, sizeBytes: number): contracts.StoreError {
  const limit = contracts.STORE_VALUE_LIMIT_BYTES;
  return {
    kind: "refused",
    message:
      `Value of "${name}" has ${sizeBytes} bytes, more than the store's limit of ${limit}; split it`,
  };
}

function toStoreError(
  response: HttpResponse,
  name: string,
): contracts.StoreError {
  switch (response.status) {
    case 404:
      return {
        kind: "not-found",
        message: `No object "${name}"; create it first`,
      };
    case 412:
      return {
        kind: "conflict",
        message: `The version of "${name}" has changed; read it and try again`,
      };
    default:
      break;
  }
  const message =
    `The store responded with status ${response.status} for "${name}"`;
  // After a 5xx the write may have taken effect; after a 4xx it has not.
  return response.status >= 500
    ? {
      kind: "unavailable",
      message: `${message}; read the object back before a retry`,
    }
    : { kind: "refused", message: `${message}: ${response.text}` };
}
