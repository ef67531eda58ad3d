/** Calls the administration API of one entry VM. */
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as z from "zod";
import { type CtlError, EXIT_CODES } from "./ctl_error.ts";

/** PEM texts for TLS. */
export interface ClientTls {
  /** Authorities that sign the API's certificate. */
  readonly ca?: string;
  /** Own certificate and key, when the API asks for one. */
  readonly cert?: string;
  readonly key?: string;
}

/** Options of {@link ApiClient}. */
export interface ApiClientOptions {
  /** Base URL, such as `http://10.0.0.7:7402`. */
  readonly url: string;
  readonly token: string;
  readonly timeoutMs: number;
  readonly tls?: ClientTls;
}

/** One call. */
export interface ApiCall<Schema extends z.ZodType> {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  /** Path below the base URL, with its query. */
  readonly path: string;
  readonly body?: unknown;
  /** Version or tag that the change is made on. */
  readonly ifMatch?: string;
  /** Only create: refuse when the object is there. */
  readonly isCreation?: boolean;
  /** Shape of the answer. */
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

/** The client side of the administration API. */
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

  /** Makes one call and checks the shape of its answer. */
  async call<Schema extends z.ZodType>(
    call: ApiCall<Schema>,
  ): Promise<neverthrow.Result<z.infer<Schema>, CtlError>> {
    let status: number;
    let text: string;
    try {
      const answer = await this.#request(call);
      status = answer.statusCode;
      text = await answer.body.text();
    } catch (error) {
      return neverthrow.err(this.#notReached(call, error));
    }
    const body = parseJson(text);
    if (status >= 400) return neverthrow.err(errorFromResponse(status, body));
    const parsed = call.schema.safeParse(body);
    if (parsed.success) return neverthrow.ok(parsed.data);
    return neverthrow.err({
      kind: "bad-answer",
      message: `${this.#options.url} answered in another form: check the ` +
        "URL, and that both programs are of one release",
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
   * A change whose answer was lost may have been made: told as "not reached",
   * a script would repeat it. Only a connection that never stood proves that
   * nothing was done.
   */
  #notReached(call: ApiCall<z.ZodType>, error: unknown): CtlError {
    const { url, timeoutMs } = this.#options;
    const isHarmless = call.method === "GET" || isConnectFailure(error);
    if (isHarmless) {
      return {
        kind: "unreachable",
        message: `${url} did not answer (${errorText(error)}): check --url, ` +
          "or try another entry VM",
        exitCode: EXIT_CODES.unavailable,
      };
    }
    return {
      kind: "unknown",
      message: `${url} did not answer within ${timeoutMs} ms ` +
        `(${errorText(error)}): look whether the change was made before you ` +
        "repeat it",
      exitCode: EXIT_CODES.unknown,
    };
  }
}

function errorFromResponse(status: number, body: unknown): CtlError {
  const exitCode = EXIT_CODES_BY_STATUS[status] ?? EXIT_CODES.refused;
  const parsed = errorResponseSchema.safeParse(body);
  if (!parsed.success) {
    const message = `The answer was ${status} without a reason: check that ` +
      "--url names the administration port";
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

function parseJson(text: string): unknown {
  try {
    return text === "" ? undefined : JSON.parse(text);
  } catch {
    return undefined;
  }
}
