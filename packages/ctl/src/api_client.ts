/** HTTP client for the admin API of one entry VM. */
import * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as z from "zod";
import { type CtlError, EXIT_CODES } from "./ctl_error.ts";

/** TLS material, as PEM text. */
export interface ClientTls {
  /** CA certificates that the server's certificate is verified against. */
  readonly ca?: string;
  /** Client certificate, for servers that require mutual TLS. */
  readonly cert?: string;
  /** Private key of the client certificate. */
  readonly key?: string;
}

/** Options of {@link ApiClient}. */
export interface ApiClientOptions {
  /** Base URL, such as `http://10.0.0.7:7402`. */
  readonly url: string;
  /** Bearer token. */
  readonly token: string;
  /** Timeout for connecting, and for the whole request. */
  readonly timeoutMs: number;
  readonly tls?: ClientTls;
}

/** A request to the admin API, with the schema of its response. */
export interface ApiCall<Schema extends z.ZodType> {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  /** Absolute path with its query string. */
  readonly path: string;
  /** Sent as JSON. */
  readonly body?: unknown;
  /** Version or tag for `If-Match`; the API refuses a mismatch. */
  readonly ifMatch?: string;
  /** Sends `If-None-Match: *`; the API refuses when the object exists. */
  readonly isCreation?: boolean;
  /** Schema that the response body must match. */
  readonly schema: Schema;
}

const errorResponseSchema = z.object({
  error: z.looseObject({ kind: z.string(), message: z.string() }),
});

const EXIT_CODES_BY_STATUS: Readonly<Record<number, number>> = {
  401: EXIT_CODES.denied,
  403: EXIT_CODES.denied,
  412: EXIT_CODES.conflict,
  422: EXIT_CODES.findings,
  503: EXIT_CODES.unavailable,
  504: EXIT_CODES.unknown,
};

/** Client for the admin API. */
export class ApiClient {
  readonly #options: ApiClientOptions;
  readonly #agent: undici.Agent;

  constructor(options: ApiClientOptions) {
    this.#options = options;
    this.#agent = new undici.Agent({
      connect: { ...options.tls, timeout: options.timeoutMs },
    });
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.#agent.close();
  }

  /**
   * Sends a request and validates the response body. Fails with the API's error
   * for a status of 400 or above, with `bad-answer` for a body that doesn't
   * match the schema, and with `unreachable` or `unknown` without a response.
   */
  async call<Schema extends z.ZodType>(
    call: ApiCall<Schema>,
  ): Promise<neverthrow.Result<z.infer<Schema>, CtlError>> {
    let status: number;
    let text: string;
    try {
      const response = await this.#request(call);
      status = response.statusCode;
      text = await response.body.text();
    } catch (error) {
      return neverthrow.err(this.#transportError(call, error));
    }
    const body = contracts.parseJson(text).unwrapOr(undefined);
    if (status >= 400) return neverthrow.err(errorFromResponse(status, body));
    const parsed = call.schema.safeParse(body);
    if (parsed.success) return neverthrow.ok(parsed.data);
    return neverthrow.err({
      kind: "bad-answer",
      message: `"${this.#options.url}" sent an unexpected response: check ` +
        "--url, and that the API and guavatidectl have the same version",
      exitCode: EXIT_CODES.refused,
    });
  }

  async #request(
    call: ApiCall<z.ZodType>,
  ): Promise<undici.Dispatcher.ResponseData> {
    const headers: Record<string, string> = {
      authorization: `Bearer ${this.#options.token}`,
    };
    if (call.ifMatch !== undefined) headers["if-match"] = `"${call.ifMatch}"`;
    if (call.isCreation) headers["if-none-match"] = "*";
    if (call.body !== undefined) headers["content-type"] = "application/json";
    return await undici.request(new URL(call.path, this.#options.url), {
      method: call.method,
      headers,
      body: call.body === undefined ? undefined : JSON.stringify(call.body),
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(this.#options.timeoutMs),
    });
  }

  /**
   * A change may have been applied although its response was lost. Reporting it
   * as "unreachable" would make a script retry it. Only a failure to connect
   * proves that the change was not applied.
   */
  #transportError(call: ApiCall<z.ZodType>, error: unknown): CtlError {
    const { url, timeoutMs } = this.#options;
    const changedNothing = call.method === "GET" || isConnectFailure(error);
    if (changedNothing) {
      return {
        kind: "unreachable",
        message:
          `"${url}" did not respond (${errorText(error)}): check --url, ` +
          "or try another entry VM",
        exitCode: EXIT_CODES.unavailable,
      };
    }
    return {
      kind: "unknown",
      message: `"${url}" did not respond within ${timeoutMs} ms ` +
        `(${errorText(error)}): check whether the change was applied before ` +
        "you retry it",
      exitCode: EXIT_CODES.unknown,
    };
  }
}

function errorFromResponse(status: number, body: unknown): CtlError {
  const exitCode = EXIT_CODES_BY_STATUS[status] ?? EXIT_CODES.refused;
  const parsed = errorResponseSchema.safeParse(body);
  if (!parsed.success) {
    const message = `The response had status ${status} and no error body: ` +
      "check that --url points to the admin port";
    return { kind: "bad-answer", message, exitCode };
  }
  const { error } = parsed.data;
  const { kind, message } = error;
  return { kind, message, exitCode, details: error };
}

function isConnectFailure(error: unknown): boolean {
  const { code } = error as { readonly code?: string };
  return code === "ECONNREFUSED" || code === "EHOSTUNREACH" ||
    code === "ENETUNREACH" || code === "ENOTFOUND" ||
    code === "UND_ERR_CONNECT_TIMEOUT";
}

function errorText(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
