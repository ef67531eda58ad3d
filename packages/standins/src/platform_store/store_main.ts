/** Process that stands in for the platform's store. */
import * as z from "zod";
import * as serve from "../http/serve.ts";
import { StoreApp } from "./store_app.ts";

/** Schema of the JSON argument. */
const argumentSchema = z.strictObject({
  /** 0 takes a free port. */
  port: z.number().int().min(0).max(65535).default(0),
});

async function main(): Promise<void> {
  const argument = serve.readArgument(argumentSchema);
  const app = new StoreApp();
  const listening = await serve.listen(app.hono, { port: argument.port });
  serve.stopOnSignal(() => listening.close());
  serve.printReady({ port: listening.port });
}

await main();
