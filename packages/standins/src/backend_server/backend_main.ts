/** Entry point of the process that stands in for one backend server. */
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
  const listener = await serve.listen(app.hono, {
    port: settings.port,
    host: settings.host,
  });
  listener.server.maxConnections = settings.connectionLimit;
  serve.stopOnSignal(async () => {
    app.setDraining(true);
    await serve.delay(settings.drainGraceMs);
    while (app.inFlight > 0) await serve.delay(IDLE_CHECK_MS);
    // Leaves time to send the last response before closing the connections.
    await serve.delay(settings.linkDelayMs + IDLE_CHECK_MS);
    await listener.close();
  });
  serve.printReady({ port: listener.port });
}

await main();
