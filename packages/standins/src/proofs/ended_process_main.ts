/**
 * Sends one call to a port. On SIGUSR2 it exits or throws, as its argument
 * says, without closing its connections.
 */
import { HttpChannel } from "guavatide/platform/http_channel";
import { resetOpenConnections } from "guavatide/utils/reset_connection";

const [port, how] = process.argv.slice(2);
process.once("exit", resetOpenConnections);
const channel = new HttpChannel(`http://127.0.0.1:${port}`);
const call = { method: "POST", path: "/", body: "{}" } as const;
channel.call(call, { timeoutMs: 60_000 }).then(() => {}, () => {});
process.once("SIGUSR2", () => {
  if (how === "throw") throw new Error("Uncaught on purpose");
  process.exit(0);
});
