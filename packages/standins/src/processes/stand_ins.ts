/** Starts the stand-in processes and speaks to their controls. */
import * as url from "node:url";
import * as undici from "undici";
import type { BackendSettings } from "../backend_server/settings.ts";
import { ChildProgram } from "./child_program.ts";

/** The stand-ins that run as processes of their own. */
export type StandInScript =
  | "platform_store/store_main"
  | "vm_list/vm_list_main"
  | "backend_server/backend_main"
  | "relay/relay_main";

/** Settings of a backend server; what is left out has its default. */
export type BackendSettingsInput =
  & Pick<BackendSettings, "server" | "service" | "zone">
  & Partial<BackendSettings>;

/** Starts one stand-in with its JSON argument. */
export function startStandIn(
  kind: StandInScript,
  argument: object,
): Promise<ChildProgram> {
  const script = url.fileURLToPath(
    new URL(`../${kind}.js`, import.meta.url),
  );
  return ChildProgram.start({
    name: kind,
    script,
    args: [JSON.stringify(argument)],
  });
}

/** The address of a stand-in's HTTP side. */
export function originOf(port: number): string {
  return `http://127.0.0.1:${port}`;
}

/** Posts JSON to a stand-in's control. Errors: rejects on another status. */
export async function postJson(url: string, body: object): Promise<unknown> {
  const response = await undici.request(url, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
  return await readAnswer(url, response);
}

/** Gets JSON from a stand-in's control. Errors: rejects on another status. */
export async function getJson(url: string): Promise<unknown> {
  return await readAnswer(url, await undici.request(url));
}

async function readAnswer(
  url: string,
  response: undici.Dispatcher.ResponseData,
): Promise<unknown> {
  const text = await response.body.text();
  if (response.statusCode === 200) return JSON.parse(text);
  throw new Error(`"${url}" answered ${response.statusCode}: ${text}`);
}
