/** Process that stands in for one backend server. */
import { MonotonicClock } from "guavatide/utils/clock";
import * as crypto from "node:crypto";
import * as serve from "../http/serve.ts";
import { BackendApp } from "./backend_app.ts";
import { backendSettingsSchema } from "./settings.ts";

const IDLE_CHECK_MS = 20;

async function main(): Promise<void> {
  const settings = serve.readArgument(backendSettingsSchema);
  const app = new BackendApp(settings, {
    clock: new MonotonicClock(),
    instance: crypto.randomUUID(),
  });
  const listening = await serve.listen(app.hono, {
    port: settings.port,
    host: settings.host,
  });
  listening.server.maxConnections = settings.connectionLimit;
  serve.stopOnSignal(async () => {
    app.setDraining(true);
    await serve.delay(settings.drainGraceMs);
    while (app.inFlight > 0) await serve.delay(IDLE_CHECK_MS);
    // The last answer leaves before the connections are closed.
    await serve.delay(settings.linkDelayMs + IDLE_CHECK_MS);
    await listening.close();
  });
  serve.printReady({ port: listening.port });
}

await main();
