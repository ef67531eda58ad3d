/** Tells a connection that broke from one that its peer has closed. */
import type * as net from "node:net";

/** Whether one connection has broken; created before any bytes are read. */
export class BrokenConnectionMonitor {
  #isBroken = false;

  constructor(socket: net.Socket) {
    socket.once("error", () => this.#isBroken = true);
    socket.once("end", () => {
      // libuv reports a reset that arrives with the last bytes as an end. The
      // system knows no peer then; Node asks it at the first reading only.
      if (socket.remoteAddress === undefined) this.#isBroken = true;
    });
  }

  /**
   * Whether it was reset, or failed otherwise. undici takes that for the end of
   * an answer of which only the end of the connection tells that it is whole.
   */
  get isBroken(): boolean {
    return this.#isBroken;
  }
}
