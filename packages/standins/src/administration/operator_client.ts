/** An operator who calls the administration API, for trials on this machine. */
import * as crypto from "node:crypto";

/** Token settings of an operator with all rights for the given partners. */
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

/** The bearer token of an operator of a trial. */
export function tokenOf(operator: string): string {
  return `token-of-${operator}`;
}

/** What the API answered. */
export interface ApiResponse {
  readonly status: number;
  readonly etag: string | undefined;
  // deno-lint-ignore no-explicit-any
  readonly body: any;
}

/** Options of {@link OperatorClient.call}. */
export interface OperatorCallOptions {
  readonly body?: unknown;
  /** Value of If-Match, quotes included. */
  readonly ifMatch?: string;
  /** Only create. */
  readonly onlyIfAbsent?: boolean;
}

/** One operator at one entry VM's administration port. */
export class OperatorClient {
  readonly name: string;
  readonly #origin: string;

  constructor(name: string, origin: string) {
    this.name = name;
    this.#origin = origin;
  }

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
    const answer = await fetch(`${this.#origin}${path}`, {
      method,
      headers,
      body: options.body === undefined
        ? undefined
        : JSON.stringify(options.body),
    });
    const text = await answer.text();
    return {
      status: answer.status,
      etag: answer.headers.get("etag") ?? undefined,
      body: text === "" ? undefined : JSON.parse(text),
    };
  }

  /** Publishes the drafts as they stand; returns the new revision. */
  async publish(): Promise<number> {
    const { body: checked } = await this.call("GET", "/v1/check");
    const ifMatch = `"${checked.tag}"`;
    const { status, body } = await this.call("POST", "/v1/publish", {
      ifMatch,
    });
    if (status !== 200) {
      throw new Error(`Publish answered ${status}: ${JSON.stringify(body)}`);
    }
    return body.revision;
  }
}
