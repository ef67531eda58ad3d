/** Process that relays TCP connections and can cut, mute and delay them. */
import * as z from "zod";
import * as serve from "../http/serve.ts";
import { RelayApp } from "./relay_app.ts";

/** Schema of the JSON argument. */
const argumentSchema = z.strictObject({
  /** Port of the control; 0 takes a free one. */
  port: z.number().int().min(0).max(65535).default(0),
});

async function main(): Promise<void> {
  const argument = serve.readArgument(argumentSchema);
  const app = new RelayApp();
  const listening = await serve.listen(app.hono, { port: argument.port });
  serve.stopOnSignal(async () => {
    await app.close();
    await listening.close();
  });
  serve.printReady({ port: listening.port });
}

await main();
