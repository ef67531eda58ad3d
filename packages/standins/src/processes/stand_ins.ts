/** Starts stand-in processes and calls their HTTP APIs. */
import * as url from "node:url";
import * as undici from "undici";
import type { BackendSettings } from "../backend_server/settings.ts";
import { ChildProgram } from "./child_program.ts";

/** Script paths, relative to `src`, of the stand-ins that are processes. */
export type StandInScript =
  | "platform_store/store_main"
  | "vm_list/vm_list_main"
  | "backend_server/backend_main"
  | "relay/relay_main";

/** Settings of a backend server; omitted fields take their defaults. */
export type BackendSettingsInput =
  & Pick<BackendSettings, "server" | "service" | "zone">
  & Partial<BackendSettings>;

/** Starts a stand-in process with its JSON argument. Errors: rejects. */
export function startStandIn(
  script: StandInScript,
  argument: object,
): Promise<ChildProgram> {
  const scriptPath = url.fileURLToPath(
    new URL(`../${script}.js`, import.meta.url),
  );
  return ChildProgram.start({
    name: script,
    script: scriptPath,
    args: [JSON.stringify(argument)],
  });
}

/** The HTTP origin of a local port. */
export function originOf(port: number): string {
  return `http://127.0.0.1:${port}`;
}

/** Posts JSON to a stand-in. Errors: rejects unless the status is 200. */
export async function postJson(url: string, body: object): Promise<unknown> {
  const response = await undici.request(url, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
  return await readJson(url, response);
}

/** Gets JSON from a stand-in. Errors: rejects unless the status is 200. */
export async function getJson(url: string): Promise<unknown> {
  return await readJson(url, await undici.request(url));
}

async function readJson(
  url: string,
  response: undici.Dispatcher.ResponseData,
): Promise<unknown> {
  const text = await response.body.text();
  if (response.statusCode === 200) return JSON.parse(text);
  throw new Error(`"${url}" answered ${response.statusCode}: ${text}`);
}
