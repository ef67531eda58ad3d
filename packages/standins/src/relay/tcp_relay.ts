/**
 * A TCP relay between two ends that can cut, delay or lose what passes. A
 * connection that is muted stays open at both ends, as when something between
 * them has lost track of it.
 */
import * as net from "node:net";
import * as z from "zod";

/** Schema of {@link RelayFaults}. */
export const relayFaultsSchema = z.strictObject({
  /**
   * `pass`: forwards. `cut`: closes connections and refuses new ones.
   * `silent`: present connections forward nothing for good, new ones work.
   * `mute`: no connection forwards anything while it lasts, and what was sent
   * meanwhile is lost. `mute-to-target` and `mute-to-client`: one way only.
   * `hold`: what was sent meanwhile arrives when it ends, unless its sender has
   * reset the connection.
   */
  mode: z.enum([
    "pass",
    "cut",
    "silent",
    "mute",
    "mute-to-target",
    "mute-to-client",
    "hold",
  ]).optional(),
  /** Delay of each piece, each way. */
  delayMs: z.number().min(0).optional(),
});
/** What a link does to its connections. */
export type RelayFaults = z.infer<typeof relayFaultsSchema>;

type Direction = "to-target" | "to-client";

/** Where a link leads. */
export interface RelayTarget {
  readonly host: string;
  readonly port: number;
}

interface RelayedConnection {
  readonly client: net.Socket;
  readonly target: net.Socket;
  /** Once silent or once a piece was lost, for good. */
  readonly blackholed: Set<Direction>;
  /** What waits for the end of a hold, in its order. */
  held: HeldChunk[];
}

interface HeldChunk {
  readonly direction: Direction;
  readonly deliver: () => void;
}

/** One listening port and its connections to one target. */
export class TcpRelay {
  readonly #target: RelayTarget;
  readonly #server: net.Server;
  readonly #connections = new Set<RelayedConnection>();
  #faults: RelayFaults = {};

  constructor(target: RelayTarget) {
    this.#target = target;
    this.#server = net.createServer((client) => this.#accept(client));
  }

  /** Opens the port; 0 takes a free one. Returns it. */
  listen(port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", () => {
        const address = this.#server.address() as net.AddressInfo;
        resolve(address.port);
      });
    });
  }

  /** Connections open now. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Merges new faults into those in force. */
  setFaults(faults: RelayFaults): void {
    this.#faults = { ...this.#faults, ...faults };
    if (faults.mode === "cut") this.#cutAll();
    if (faults.mode === "silent") this.#silenceAll();
    if (this.#faults.mode !== "hold") this.#handOnAll();
  }

  /** Closes the port and every connection. */
  close(): Promise<void> {
    this.#cutAll();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #accept(client: net.Socket): void {
    if (this.#faults.mode === "cut") {
      client.resetAndDestroy();
      return;
    }
    const target = net.connect({ ...this.#target, noDelay: true });
    client.setNoDelay(true);
    const connection: RelayedConnection = {
      client,
      target,
      blackholed: new Set(),
      held: [],
    };
    this.#connections.add(connection);
    this.#forward(connection, "to-target");
    this.#forward(connection, "to-client");
  }

  #forward(connection: RelayedConnection, direction: Direction): void {
    const isToTarget = direction === "to-target";
    const from = isToTarget ? connection.client : connection.target;
    const to = isToTarget ? connection.target : connection.client;
    from.on("data", (piece) => {
      this.#pass(connection, direction, () => to.write(piece));
    });
    from.on("error", () => {
      // A sender that resets its connection has nothing more on the way.
      connection.held = connection.held.filter((it) =>
        it.direction !== direction
      );
    });
    from.on("close", () => {
      this.#pass(connection, direction, () => {
        to.destroy();
        this.#connections.delete(connection);
      });
    });
  }

  /** Loses the piece, or hands it on after the delay. */
  #pass(
    connection: RelayedConnection,
    direction: Direction,
    handOn: () => void,
  ): void {
    if (this.#isMuted(direction)) connection.blackholed.add(direction);
    if (connection.blackholed.has(direction)) return;
    if (this.#faults.mode === "hold") {
      connection.held.push({ direction, deliver: handOn });
      return;
    }
    const delayMs = this.#faults.delayMs ?? 0;
    if (delayMs === 0) handOn();
    else setTimeout(handOn, delayMs);
  }

  #isMuted(direction: Direction): boolean {
    const mode = this.#faults.mode;
    return mode === "mute" || mode === `mute-${direction}`;
  }

  #handOnAll(): void {
    for (const connection of this.#connections) {
      for (const { deliver: handOn } of connection.held.splice(0)) handOn();
    }
  }

  #silenceAll(): void {
    for (const connection of this.#connections) {
      connection.blackholed.add("to-target").add("to-client");
    }
  }

  #cutAll(): void {
    for (const { client, target } of this.#connections) {
      client.resetAndDestroy();
      target.destroy();
    }
    this.#connections.clear();
  }
}
