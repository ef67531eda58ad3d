/**
 * Open-loop load generator: sends requests at times drawn in advance, whatever
 * the answers, and writes the outcome of each. A closed loop would slow down
 * with the system and hide its worst latencies (coordinated omission).
 */
import * as contracts from "@guavatide/contracts";
import * as fs from "node:fs";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as undici from "undici";
import { OPERATION_HEADER } from "../backend_server/backend_app.ts";
import * as serve from "../http/serve.ts";
import * as messages from "./bench_messages.ts";

/** Connections to each origin; more than requests are ever in flight. */
const CONNECTIONS = 400;
/** Time that a caller waits beyond the deadline in its request. */
const CALLER_GRACE_MS = 1000;

interface Arrival {
  readonly atMs: number;
  readonly caller: string;
  readonly origin: number;
}

/** Draws the arrivals of all streams as Poisson processes. */
function drawArrivals(
  argument: messages.CallerArgument,
): Arrival[] {
  const random = xoroshiro128plus(argument.seed);
  const arrivals: Arrival[] = [];
  for (const stream of argument.streams) {
    let atMs = stream.fromMs;
    while (true) {
      const drawn = uniformFloat64(random);
      atMs += -Math.log(1 - drawn) * 1000 / stream.requestsPerSecond;
      if (atMs >= stream.toMs) break;
      const origin = Math.floor(
        uniformFloat64(random) * argument.origins.length,
      );
      arrivals.push({ atMs, caller: stream.caller, origin });
    }
  }
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

/** The load of one caller process. */
class CallerLoad {
  readonly #argument: messages.CallerArgument;
  readonly #pools: undici.Pool[];
  readonly #results: messages.OperationResult[] = [];

  constructor(argument: messages.CallerArgument) {
    this.#argument = argument;
    this.#pools = argument.origins.map((origin) =>
      new undici.Pool(origin, {
        connections: CONNECTIONS,
        headersTimeout: 0,
        bodyTimeout: 0,
      })
    );
  }

  async run(): Promise<readonly messages.OperationResult[]> {
    const startMs = performance.now();
    const sent: Promise<void>[] = [];
    for (const [index, arrival] of drawArrivals(this.#argument).entries()) {
      const waitMs = startMs + arrival.atMs - performance.now();
      if (waitMs > 0) await serve.delay(waitMs);
      sent.push(this.#send(arrival, index));
    }
    await Promise.all(sent);
    return this.#results;
  }

  async #send(arrival: Arrival, index: number): Promise<void> {
    const { clientDelayMs, label, warmUpMs } = this.#argument;
    const id = `${label}-${index}`;
    const sentMs = performance.now();
    await serve.delay(clientDelayMs);
    const result = await this.#call(arrival, id);
    await serve.delay(clientDelayMs);
    this.#results.push({
      id,
      caller: arrival.caller,
      isCounted: arrival.atMs >= warmUpMs,
      latencyMs: performance.now() - sentMs,
      sentMs: arrival.atMs,
      ...result,
    });
  }

  async #call(
    arrival: Arrival,
    id: string,
  ): Promise<{ readonly outcome: string; readonly reason: string }> {
    const { path, method, timeoutMs } = this.#argument;
    const headers: Record<string, string> = {
      [OPERATION_HEADER]: id,
      [contracts.TIMEOUT_HEADER]: String(timeoutMs),
      [contracts.CALLER_HEADER]: arrival.caller,
    };
    if (this.#argument.withRequestId) {
      headers[contracts.REQUEST_ID_HEADER] = id;
    }
    try {
      const answer = await this.#pools[arrival.origin]!.request({
        path,
        method: method as undici.Dispatcher.HttpMethod,
        headers,
        signal: AbortSignal.timeout(timeoutMs + CALLER_GRACE_MS),
      });
      await answer.body.text();
      return readOutcome(answer);
    } catch {
      return { outcome: "none", reason: "none" };
    }
  }
}

function readOutcome(answer: undici.Dispatcher.ResponseData): {
  readonly outcome: string;
  readonly reason: string;
} {
  const fallback = answer.statusCode === 200 ? "answered" : "none";
  const outcome = answer.headers[contracts.OUTCOME_HEADER] ?? fallback;
  const reason = answer.headers[contracts.REASON_HEADER] ?? "";
  return { outcome: String(outcome), reason: String(reason) };
}

async function main(): Promise<void> {
  const argument = serve.readArgument(messages.callerArgumentSchema);
  serve.printReady({ port: 0 });
  const results = await new CallerLoad(argument).run();
  fs.writeFileSync(argument.resultFile, JSON.stringify(results));
  process.exit(0);
}

await main();
