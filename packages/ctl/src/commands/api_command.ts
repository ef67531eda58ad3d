/** What all commands that call the administration API share. */
import * as clipanion from "clipanion";
import * as neverthrow from "neverthrow";
import * as fs from "node:fs";
import type * as z from "zod";
import { type ApiCall, ApiClient, type ClientTls } from "../api_client.ts";
import { type CtlError, EXIT_CODES, usageError } from "../ctl_error.ts";

const DEFAULT_URL = "http://127.0.0.1:7402";
const DEFAULT_TIMEOUT_MS = 10_000;
const STDIN_FILE_DESCRIPTOR = 0;

/** Result of a command's work: what to print. */
export interface CommandOutput {
  /** The API's answer, for `--json`. */
  readonly json: unknown;
  /** The same for people. */
  readonly text: string;
  /** 0 unless given. */
  readonly exitCode?: number;
}

/** Outcome of a command's work. */
export type CommandResult = Promise<
  neverthrow.Result<CommandOutput, CtlError>
>;

/** A command that calls the administration API. */
export abstract class ApiCommand extends clipanion.Command {
  url = clipanion.Option.String("--url", {
    env: "GUAVATIDE_URL",
    description: `Administration API of any entry VM (${DEFAULT_URL})`,
  });
  tokenFile = clipanion.Option.String("--token-file", {
    env: "GUAVATIDE_TOKEN_FILE",
    description: "File with the bearer token; or set GUAVATIDE_TOKEN",
  });
  caFile = clipanion.Option.String("--ca-file", {
    env: "GUAVATIDE_CA_FILE",
    description: "PEM file with the authorities that sign the API",
  });
  certFile = clipanion.Option.String("--cert-file", {
    description: "PEM file with your certificate, when the API asks for one",
  });
  keyFile = clipanion.Option.String("--key-file", {
    description: "PEM file with its key",
  });
  timeoutMs = clipanion.Option.String("--timeout-ms", {
    description: `Time for one call in milliseconds (${DEFAULT_TIMEOUT_MS})`,
  });
  isJson = clipanion.Option.Boolean("--json", false, {
    description: "Print the answer, or the error, as one JSON object",
  });

  #client: ApiClient | undefined;

  /** Does the command's work. */
  protected abstract run(): CommandResult;

  /** Makes one call. */
  protected call<Schema extends z.ZodType>(
    call: ApiCall<Schema>,
  ): Promise<neverthrow.Result<z.infer<Schema>, CtlError>> {
    return this.#client!.call(call);
  }

  override async execute(): Promise<number> {
    const client = this.#createClient();
    if (client.isErr()) return this.#fail(client.error);
    this.#client = client.value;
    const result = await this.run();
    await this.#client.close();
    if (result.isErr()) return this.#fail(result.error);
    const { json, text, exitCode } = result.value;
    this.context.stdout.write(
      this.isJson ? `${JSON.stringify(json)}\n` : text,
    );
    return exitCode ?? EXIT_CODES.ok;
  }

  #createClient(): neverthrow.Result<ApiClient, CtlError> {
    const timeoutMs = Number(this.timeoutMs ?? DEFAULT_TIMEOUT_MS);
    if (!Number.isInteger(timeoutMs) || timeoutMs < 1) {
      const message = `--timeout-ms "${this.timeoutMs}": use a whole number`;
      return neverthrow.err(usageError(message));
    }
    const url = this.url ?? DEFAULT_URL;
    if (!URL.canParse(url)) {
      const message = `--url "${url}": use a whole URL, such as ${DEFAULT_URL}`;
      return neverthrow.err(usageError(message));
    }
    return this.#readToken().andThen((token) =>
      this.#readTls().map((tls) =>
        new ApiClient({ url, token, timeoutMs, tls })
      )
    );
  }

  /** Not an option of its own: a process listing would show it to everyone. */
  #readToken(): neverthrow.Result<string, CtlError> {
    const token = process.env.GUAVATIDE_TOKEN;
    if (this.tokenFile !== undefined) {
      return readFile(this.tokenFile).map((text) => text.trim());
    }
    if (token !== undefined && token !== "") return neverthrow.ok(token);
    return neverthrow.err(
      usageError("No token: set GUAVATIDE_TOKEN or use --token-file"),
    );
  }

  #readTls(): neverthrow.Result<ClientTls, CtlError> {
    return neverthrow.Result.combine([
      readOptionalFile(this.caFile),
      readOptionalFile(this.certFile),
      readOptionalFile(this.keyFile),
    ]).map(([ca, cert, key]) => ({ ca, cert, key }));
  }

  #fail(error: CtlError): number {
    const { kind, message, exitCode, details } = error;
    this.context.stderr.write(
      this.isJson
        ? `${JSON.stringify({ error: details ?? { kind, message } })}\n`
        : `guavatidectl: ${message}\n`,
    );
    return exitCode;
  }
}

/** Reads a file, or standard input for `-`. */
export function readFile(path: string): neverthrow.Result<string, CtlError> {
  try {
    const source = path === "-" ? STDIN_FILE_DESCRIPTOR : path;
    return neverthrow.ok(fs.readFileSync(source, "utf8"));
  } catch (error) {
    const message = `Cannot read "${path}" (${String(error)}): check the path`;
    return neverthrow.err(usageError(message));
  }
}

/** Reads JSON from a file, or from standard input for `-`. */
export function readJsonFile(
  path: string,
): neverthrow.Result<unknown, CtlError> {
  return readFile(path).andThen((text) => {
    try {
      return neverthrow.ok(JSON.parse(text) as unknown);
    } catch (error) {
      const message = `"${path}" is not JSON (${String(error)}): mend it`;
      return neverthrow.err(usageError(message));
    }
  });
}

function readOptionalFile(
  path: string | undefined,
): neverthrow.Result<string | undefined, CtlError> {
  return path === undefined ? neverthrow.ok(undefined) : readFile(path);
}
