/** Base class and file helpers of the commands that call the admin API. */
import * as contracts from "@guavatide/contracts";
import * as clipanion from "clipanion";
import * as neverthrow from "neverthrow";
import * as fs from "node:fs";
import type * as z from "zod";
import { type ApiCall, ApiClient, type ClientTls } from "../api_client.ts";
import { type CtlError, EXIT_CODES, usageError } from "../ctl_error.ts";

const DEFAULT_URL = "http://127.0.0.1:7402";
const DEFAULT_TIMEOUT_MS = 10_000;
const STDIN_FILE_DESCRIPTOR = 0;

/** What a successful command prints, and its exit code. */
export interface CommandOutput {
  /** The response body, printed with `--json`. */
  readonly json: unknown;
  /** Text printed without `--json`. */
  readonly text: string;
  /** Defaults to 0. */
  readonly exitCode?: number;
}

/** Resolves to a command's output, or to the error that ends it. */
export type CommandResult = Promise<
  neverthrow.Result<CommandOutput, CtlError>
>;

/**
 * A command that calls the admin API. Provides the options for the connection
 * and the output format, and prints the command's result.
 */
export abstract class ApiCommand extends clipanion.Command {
  url = clipanion.Option.String("--url", {
    env: "GUAVATIDE_URL",
    description: `URL of any entry VM's admin API (default: ${DEFAULT_URL})`,
  });
  tokenFile = clipanion.Option.String("--token-file", {
    env: "GUAVATIDE_TOKEN_FILE",
    description:
      "File with the bearer token; without it, GUAVATIDE_TOKEN is used",
  });
  caFile = clipanion.Option.String("--ca-file", {
    env: "GUAVATIDE_CA_FILE",
    description: "PEM file with the CA certificates to verify the server with",
  });
  certFile = clipanion.Option.String("--cert-file", {
    description: "PEM file with the client certificate, for mutual TLS",
  });
  keyFile = clipanion.Option.String("--key-file", {
    description: "PEM file with the client certificate's private key",
  });
  timeoutMs = clipanion.Option.String("--timeout-ms", {
    description: `Timeout per request in ms (default: ${DEFAULT_TIMEOUT_MS})`,
  });
  isJson = clipanion.Option.Boolean("--json", false, {
    description: "Print the response, or the error, as a JSON object",
  });

  #client: ApiClient | undefined;

  /** Runs the command; {@link execute} prints what it returns. */
  protected abstract run(): CommandResult;

  /** Sends one request; only for use in {@link run}. */
  protected call<Schema extends z.ZodType>(
    call: ApiCall<Schema>,
  ): Promise<neverthrow.Result<z.infer<Schema>, CtlError>> {
    return this.#client!.call(call);
  }

  override async execute(): Promise<number> {
    const client = this.#createClient();
    if (client.isErr()) return this.#writeError(client.error);
    this.#client = client.value;
    const result = await this.run();
    await this.#client.close();
    if (result.isErr()) return this.#writeError(result.error);
    const { json, text, exitCode } = result.value;
    this.context.stdout.write(
      this.isJson ? `${JSON.stringify(json)}\n` : text,
    );
    return exitCode ?? EXIT_CODES.ok;
  }

  #createClient(): neverthrow.Result<ApiClient, CtlError> {
    const timeoutMs = Number(this.timeoutMs ?? DEFAULT_TIMEOUT_MS);
    if (!Number.isInteger(timeoutMs) || timeoutMs < 1) {
      const message =
        `Invalid --timeout-ms "${this.timeoutMs}": use a whole number from 1`;
      return neverthrow.err(usageError(message));
    }
    const url = this.url ?? DEFAULT_URL;
    if (!URL.canParse(url)) {
      const message =
        `Invalid --url "${url}": use an absolute URL like ${DEFAULT_URL}`;
      return neverthrow.err(usageError(message));
    }
    return this.#readToken().andThen((token) =>
      this.#readTls().map((tls) =>
        new ApiClient({ url, token, timeoutMs, tls })
      )
    );
  }

  /** The token itself is no option, because process listings show arguments. */
  #readToken(): neverthrow.Result<string, CtlError> {
    const token = process.env.GUAVATIDE_TOKEN;
    if (this.tokenFile !== undefined) {
      return readFile(this.tokenFile).map((text) => text.trim());
    }
    if (token !== undefined && token !== "") return neverthrow.ok(token);
    return neverthrow.err(
      usageError("Token is missing: set GUAVATIDE_TOKEN or use --token-file"),
    );
  }

  #readTls(): neverthrow.Result<ClientTls, CtlError> {
    return neverthrow.Result.combine([
      readOptionalFile(this.caFile),
      readOptionalFile(this.certFile),
      readOptionalFile(this.keyFile),
    ]).map(([ca, cert, key]) => ({ ca, cert, key }));
  }

  #writeError(error: CtlError): number {
    const { kind, message, exitCode, details } = error;
    this.context.stderr.write(
      this.isJson
        ? `${JSON.stringify({ error: details ?? { kind, message } })}\n`
        : `guavatidectl: ${message}\n`,
    );
    return exitCode;
  }
}

/** Reads a UTF-8 file, or standard input for `-`; a usage error on failure. */
export function readFile(path: string): neverthrow.Result<string, CtlError> {
  try {
    const source = path === "-" ? STDIN_FILE_DESCRIPTOR : path;
    return neverthrow.ok(fs.readFileSync(source, "utf8"));
  } catch (error) {
    const message = `Cannot read "${path}" (${String(error)}): check the path`;
    return neverthrow.err(usageError(message));
  }
}

/** Like {@link readFile}, and parses JSON; a usage error when it is invalid. */
export function readJsonFile(
  path: string,
): neverthrow.Result<unknown, CtlError> {
  return readFile(path).andThen((text) =>
    contracts.parseJson(text).mapErr(({ message }) =>
      usageError(`"${path}" is not valid JSON (${message}): correct it`)
    )
  );
}

function readOptionalFile(
  path: string | undefined,
): neverthrow.Result<string | undefined, CtlError> {
  return path === undefined ? neverthrow.ok(undefined) : readFile(path);
}
