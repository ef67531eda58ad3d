/** Process that stands in for the platform's VM list. */
import { MonotonicClock } from "guavatide/utils/clock";
import * as z from "zod";
import * as serve from "../http/serve.ts";
import { VmListApp } from "./vm_list_app.ts";

/** Schema of the JSON argument. */
const argumentSchema = z.strictObject({
  /** 0 takes a free port. */
  port: z.number().int().min(0).max(65535).default(0),
  /** How far the list lies behind. */
  lagMs: z.number().min(0).default(0),
});

async function main(): Promise<void> {
  const argument = serve.readArgument(argumentSchema);
  const app = new VmListApp(new MonotonicClock(), { lagMs: argument.lagMs });
  const listening = await serve.listen(app.hono, { port: argument.port });
  serve.stopOnSignal(() => listening.close());
  serve.printReady({ port: listening.port });
}

await main();
