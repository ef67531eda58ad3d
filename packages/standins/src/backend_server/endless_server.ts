/** A faulty backend server that answers each call with bytes without end. */
import { once } from "node:events";
import * as net from "node:net";
import {
  type EndlessOptions,
  type EndlessTransfer,
  sendWithoutEnd,
} from "./endless_answer.ts";

/** Sends as soon as a call arrives on a connection. */
export class EndlessServer {
  readonly #sockets = new Set<net.Socket>();
  readonly #server: net.Server;
  /** What was sent on each connection, in the order in which they ended. */
  readonly transfers: EndlessTransfer[] = [];

  constructor(options: EndlessOptions) {
    this.#server = net.createServer((socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.once("close", () => this.#sockets.delete(socket));
      socket.once("data", async () => {
        this.transfers.push(await sendWithoutEnd(socket, options));
      });
    });
  }

  /** Starts on a free port of the loopback interface, which it returns. */
  async listen(): Promise<number> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    return (this.#server.address() as net.AddressInfo).port;
  }

  async close(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    await new Promise((resolve) => this.#server.close(resolve));
  }
}
