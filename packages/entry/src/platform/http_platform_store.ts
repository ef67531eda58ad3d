/**
 * The platform's store over HTTP. Objects lie under `/objects/<name>` with
 * their version as ETag; `/watch` is a long poll. See docs/contracts.md.
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

  /** Objects and watch lie below `baseUrl`. */
  constructor(baseUrl: string) {
    this.#channel = new HttpChannel(baseUrl);
  }

  /** Closes every connection to the store. */
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
      .andThen((answer) => {
        if (answer.status !== 200) return err(toStoreError(answer, name));
        return parseVersion(answer).map((version) => ({
          name,
          version,
          value: answer.text,
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
      .andThen((answer) => {
        if (answer.status !== 200) return err(toStoreError(answer, prefix));
        return parseResponse(answer, listSchema);
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
      .andThen((answer) =>
        answer.status === 200
          ? parseVersion(answer)
          : err(toStoreError(answer, name))
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
      .andThen((answer) =>
        answer.status === 204 ? ok(undefined) : err(toStoreError(answer, name))
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
      .andThen((answer) => {
        if (answer.status !== 200) return err(toStoreError(answer, prefix));
        return parseResponse(answer, watchSchema);
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
  answer: HttpResponse,
): Result<string, contracts.StoreError> {
  const match = /^"(.*)"$/.exec(answer.etag ?? "");
  if (match?.[1] === undefined) {
    return err({
      kind: "unavailable",
      message: "The store's answer has no ETag; check the store's address",
    });
  }
  return ok(match[1]);
}

function parseResponse<T>(
  answer: HttpResponse,
  schema: z.ZodType<T>,
): Result<T, contracts.StoreError> {
  try {
    return ok(schema.parse(JSON.parse(answer.text)));
  } catch (error) {
    return err({
      kind: "unavailable",
      message: `The store's answer has another form: ${
        String(error)
      }; check the store's address`,
    });
  }
}

function toUnavailableError(error: HttpCallError): contracts.StoreError {
  return { kind: "unavailable", message: error.message };
}

function tooLargeError(name: string, sizeBytes: number): contracts.StoreError {
  const limit = contracts.STORE_VALUE_LIMIT_BYTES;
  return {
    kind: "refused",
    message:
      `Value of "${name}" has ${sizeBytes} bytes and the store holds ${limit}; split it`,
  };
}

function toStoreError(
  answer: HttpResponse,
  name: string,
): contracts.StoreError {
  switch (answer.status) {
    case 404:
      return {
        kind: "not-found",
        message: `No object "${name}"; create it first`,
      };
    case 412:
      return {
        kind: "conflict",
        message: `"${name}" has another version; read it and try again`,
      };
    default:
      break;
  }
  const message = `The store answered ${answer.status} for "${name}"`;
  // A 5xx may come from a write that took effect; a 4xx can't.
  return answer.status >= 500
    ? { kind: "unavailable", message: `${message}; read back before a retry` }
    : { kind: "refused", message: `${message}: ${answer.text}` };
}
