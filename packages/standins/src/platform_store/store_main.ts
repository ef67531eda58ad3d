/** Entry point of the process that stands in for the platform's store. */
import * as z from "zod";
import * as serve from "../http/serve.ts";
import { StoreApp } from "./store_app.ts";

/** Schema of the JSON argument. */
const argumentSchema = z.strictObject({
  /** 0 picks a free port. */
  port: z.number().int().min(0).max(65535).default(0),
});

async function main(): Promise<void> {
  const argument = serve.readArgument(argumentSchema);
  const app = new StoreApp();
  const listener = await serve.listen(app.hono, { port: argument.port });
  serve.stopOnSignal(() => listener.close());
  serve.printReady({ port: listener.port });
}

await main();
