/** Entry point of the process that stands in for the platform's VM list. */
import { MonotonicClock } from "guavatide/utils/clock";
import * as z from "zod";
import * as serve from "../http/serve.ts";
import { VmListApp } from "./vm_list_app.ts";

/** Schema of the JSON argument. */
const argumentSchema = z.strictObject({
  /** 0 picks a free port. */
  port: z.number().int().min(0).max(65535).default(0),
  /** Delay until a change of the list is visible. */
  lagMs: z.number().min(0).default(0),
});

async function main(): Promise<void> {
  const argument = serve.readArgument(argumentSchema);
  const app = new VmListApp(new MonotonicClock(), { lagMs: argument.lagMs });
  const listener = await serve.listen(app.hono, { port: argument.port });
  serve.stopOnSignal(() => listener.close());
  serve.printReady({ port: listener.port });
}

await main();
