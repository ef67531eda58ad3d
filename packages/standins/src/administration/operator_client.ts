/** Client of the administration API that acts as one operator, for tests. */
import * as crypto from "node:crypto";

/** Entry of the token settings: all rights for the given partners. */
export function tokenSettings(
  operator: string,
  partners: "*" | readonly string[],
): object {
  const tokenSha256 = crypto.createHash("sha256")
    .update(tokenOf(operator))
    .digest("hex");
  const rights = ["read", "edit", "publish", "drain"];
  return { tokenSha256, operator, partners, rights };
}

/** The bearer token of a test operator. */
export function tokenOf(operator: string): string {
  return `token-of-${operator}`;
}

/** Response of the administration API. */
export interface ApiResponse {
  readonly status: number;
  readonly etag: string | undefined;
  // deno-lint-ignore no-explicit-any
  readonly body: any;
}

/** Options of {@link OperatorClient.call}. */
export interface OperatorCallOptions {
  readonly body?: unknown;
  /** Value of `If-Match`, including the quotes. */
  readonly ifMatch?: string;
  /** Sends `If-None-Match: *`, so that the call only creates. */
  readonly onlyIfAbsent?: boolean;
}

/** Calls one entry VM's administration API as one operator. */
export class OperatorClient {
  readonly name: string;
  readonly #origin: string;

  constructor(name: string, origin: string) {
    this.name = name;
    this.#origin = origin;
  }

  /** Sends one request; resolves for any status. Errors: rejects. */
  async call(
    method: string,
    path: string,
    options: OperatorCallOptions = {},
  ): Promise<ApiResponse> {
    const headers = new Headers({
      authorization: `Bearer ${tokenOf(this.name)}`,
    });
    if (options.ifMatch !== undefined) headers.set("if-match", options.ifMatch);
    if (options.onlyIfAbsent) headers.set("if-none-match", "*");
    const response = await fetch(`${this.#origin}${path}`, {
      method,
      headers,
      body: options.body === undefined
        ? undefined
        : JSON.stringify(options.body),
    });
    const text = await response.text();
    return {
      status: response.status,
      etag: response.headers.get("etag") ?? undefined,
      body: text === "" ? undefined : JSON.parse(text),
    };
  }

  /** Publishes all drafts; returns the new revision. Errors: rejects. */
  async publish(): Promise<number> {
    const { body: checked } = await this.call("GET", "/v1/check");
    const ifMatch = `"${checked.tag}"`;
    const { status, body } = await this.call("POST", "/v1/publish", {
      ifMatch,
    });
    if (status !== 200) {
      throw new Error(
        `Publish returned status ${status}: ${JSON.stringify(body)}`,
      );
    }
    return body.revision;
  }
}
