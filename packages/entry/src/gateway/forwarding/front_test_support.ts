/** A listener for clients with a fake forwarder, for tests. */
import * as admission from "@guavatide/decisions/admission/mod";
import * as net from "node:net";
import { SystemClock } from "../../utils/clock.ts";
import { LifeCycle } from "../../utils/life_cycle.ts";
import { RequestScheduler } from "../../utils/request_scheduler.ts";
import { FrontListener, type FrontListenerOptions } from "./front_listener.ts";
import type { FrontAnswer, FrontRequest } from "./front_request.ts";

const SILENT_LOG = { debug() {}, info() {}, warn() {}, error() {} };
const HEADERS = {
  requestId: "x-id",
  deadlineMs: "x-deadline-ms",
  expectedServer: "x-server",
  key: "x-key",
};

/** A listener on a free port with a fake forwarder. */
export class FrontFixture {
  readonly lifeCycle = new LifeCycle();
  readonly requests: FrontRequest[] = [];
  readonly #forward: (request: FrontRequest) => Promise<FrontAnswer>;
  #port = 0;

  readonly #options: Partial<FrontListenerOptions>;

  constructor(
    forward: (request: FrontRequest) => Promise<FrontAnswer>,
    options: Partial<FrontListenerOptions> = {},
  ) {
    this.#forward = forward;
    this.#options = options;
  }

  async start(graceMs = 200): Promise<void> {
    const probe = net.createServer();
    await new Promise<void>((resolve) =>
      probe.listen(0, "127.0.0.1", () => resolve())
    );
    this.#port = (probe.address() as net.AddressInfo).port;
    await new Promise((resolve) => probe.close(resolve));
    const listener = new FrontListener({
      host: "127.0.0.1",
      port: this.#port,
      headers: HEADERS,
      limits: () => undefined,
      clock: new SystemClock(),
      random: { next: () => 0.5 },
      scheduler: new RequestScheduler({
        clock: new SystemClock(),
        log: SILENT_LOG,
      }),
      lifeCycle: this.lifeCycle,
      log: SILENT_LOG,
      connectionLimit: 10,
      graceMs,
      heldBytes: new admission.HeldBytes({
        limitBytes: Number.POSITIVE_INFINITY,
        random: { next: () => 0.5 },
      }),
      forward: (request) => {
        this.requests.push(request);
        return this.#forward(request);
      },
      ...this.#options,
    });
    await listener.listen();
  }

  /** Sends bytes on a new connection. */
  connect(text: string): net.Socket {
    const socket = net.connect(this.#port, "127.0.0.1");
    socket.on("error", () => {});
    socket.write(text);
    return socket;
  }

  /** Sends bytes and returns all that came until the connection ended. */
  async exchange(text: string): Promise<string> {
    const socket = this.connect(text);
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    await new Promise((resolve) => socket.once("close", resolve));
    return received;
  }
}

/** Request line and some headers of a request, without the empty line. */
export const GET =
  "GET /a/b?c=1 HTTP/1.1\r\nHost: booths.example\r\nX-Id: 7\r\n" +
  "X-Deadline-Ms: 800\r\nX-Key: 42\r\nX-Other: kept\r\n";
