/**
 * Entry point of the process that relays TCP connections and injects network
 * faults: resets, packet loss and delay.
 */
import * as z from "zod";
import * as serve from "../http/serve.ts";
import { RelayApp } from "./relay_app.ts";

/** Schema of the JSON argument. */
const argumentSchema = z.strictObject({
  /** Port of the HTTP API; 0 picks a free port. */
  port: z.number().int().min(0).max(65535).default(0),
});

async function main(): Promise<void> {
  const argument = serve.readArgument(argumentSchema);
  const app = new RelayApp();
  const listener = await serve.listen(app.hono, { port: argument.port });
  serve.stopOnSignal(async () => {
    await app.close();
    await listener.close();
  });
  serve.printReady({ port: listener.port });
}

await main();
