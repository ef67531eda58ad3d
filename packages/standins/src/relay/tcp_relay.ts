/**
 * TCP relay that can reset connections and delay or discard the data that it
 * forwards. A connection whose data is discarded stays open at both ends, as
 * when a firewall or NAT between them has lost its connection state.
 */
import * as net from "node:net";
import { resetSocket } from "guavatide/utils/reset_socket";
import * as z from "zod";

/** Schema of {@link RelayFaults}. */
export const relayFaultsSchema = z.strictObject({
  /**
   * `pass`: forwards data. `cut`: resets all connections, also new ones.
   * `silent`: open connections discard data permanently, new ones work.
   * `mute`: all connections discard data; one that has discarded some never
   * forwards in that direction again. `mute-to-target` and `mute-to-client`:
   * the same, in one direction. `hold`: buffers data and delivers it when the
   * mode changes, unless the sender has reset the connection.
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
  /** Delay of each chunk, in each direction. */
  delayMs: z.number().min(0).optional(),
});
/** Faults that a relay injects into its connections. */
export type RelayFaults = z.infer<typeof relayFaultsSchema>;

/**
 * What happens to the connections of one client. `reset`: all are reset, also
 * new ones. `hang`: all discard data, also new ones. `refuse-new`: new ones are
 * reset, and open ones forward data.
 */
export type ClientFault = "reset" | "hang" | "refuse-new";

const DIRECTIONS = ["to-target", "to-client"] as const;
type Direction = typeof DIRECTIONS[number];

/** Address to which a relay connects. */
export interface RelayTarget {
  readonly host: string;
  readonly port: number;
}

interface RelayedConnection {
  readonly client: net.Socket;
  readonly clientAddress: string;
  readonly target: net.Socket;
  /** Directions in which all further data is discarded. */
  readonly blackholed: Set<Direction>;
  /** Chunks buffered during `hold`, in order of arrival. */
  held: HeldChunk[];
}

interface HeldChunk {
  readonly direction: Direction;
  readonly deliver: () => void;
}

/** One listening port whose connections are relayed to one target. */
export class TcpRelay {
  readonly #target: RelayTarget;
  readonly #server: net.Server;
  readonly #connections = new Set<RelayedConnection>();
  #faults: RelayFaults = {};
  /** By the client's address. */
  readonly #clientFaults = new Map<string, ClientFault>();
  readonly #chunksToTarget = new Map<string, number>();

  constructor(target: RelayTarget) {
    this.#target = target;
    this.#server = net.createServer((client) => this.#accept(client));
  }

  /** Opens the port and returns it; 0 picks a free one. Errors: rejects. */
  listen(port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", () => {
        const address = this.#server.address() as net.AddressInfo;
        resolve(address.port);
      });
    });
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Merges new faults into the active ones. */
  setFaults(faults: RelayFaults): void {
    this.#faults = { ...this.#faults, ...faults };
    if (faults.mode === "cut") this.#resetAll();
    if (faults.mode === "silent") this.#blackholeAll();
    if (this.#faults.mode !== "hold") this.#deliverHeld();
  }

  /** Sets what happens to one client's connections; undefined for nothing. */
  setClientFault(address: string, fault: ClientFault | undefined): void {
    if (fault === undefined) this.#clientFaults.delete(address);
    else this.#clientFaults.set(address, fault);
    for (const connection of this.#connections) {
      if (connection.clientAddress !== address) continue;
      if (fault === "reset") this.#reset(connection);
      if (fault === "hang") {
        connection.blackholed.add("to-target").add("to-client");
      }
    }
  }

  /** Number of chunks of data that the target got from a client. */
  chunksFrom(address: string): number {
    return this.#chunksToTarget.get(address) ?? 0;
  }

  /** Closes the port and resets all connections. */
  close(): Promise<void> {
    this.#resetAll();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #accept(client: net.Socket): void {
    const clientAddress = client.remoteAddress ?? "";
    const fault = this.#clientFaults.get(clientAddress);
    const isRefused = fault === "reset" || fault === "refuse-new";
    if (this.#faults.mode === "cut" || isRefused) {
      resetSocket(client);
      return;
    }
    const target = net.connect({ ...this.#target, noDelay: true });
    client.setNoDelay(true);
    const connection: RelayedConnection = {
      client,
      clientAddress,
      target,
      blackholed: new Set(fault === "hang" ? DIRECTIONS : []),
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
    from.on("data", (chunk) => {
      this.#deliverOrDiscard(connection, direction, () => {
        to.write(chunk);
        if (isToTarget) this.#countChunk(connection);
      });
    });
    from.on("error", () => {
      // A reset discards the sender's data that has not been delivered.
      connection.held = connection.held.filter((chunk) =>
        chunk.direction !== direction
      );
    });
    from.on("close", () => {
      this.#deliverOrDiscard(connection, direction, () => {
        to.destroy();
        this.#connections.delete(connection);
      });
    });
  }

  /** Discards the chunk, buffers it or delivers it after the delay. */
  #deliverOrDiscard(
    connection: RelayedConnection,
    direction: Direction,
    deliver: () => void,
  ): void {
    if (this.#isDiscarding(direction)) connection.blackholed.add(direction);
    if (connection.blackholed.has(direction)) return;
    if (this.#faults.mode === "hold") {
      connection.held.push({ direction, deliver });
      return;
    }
    const delayMs = this.#faults.delayMs ?? 0;
    if (delayMs === 0) deliver();
    else setTimeout(deliver, delayMs);
  }

  #isDiscarding(direction: Direction): boolean {
    const mode = this.#faults.mode;
    return mode === "mute" || mode === `mute-${direction}`;
  }

  #deliverHeld(): void {
    for (const connection of this.#connections) {
      for (const { deliver } of connection.held.splice(0)) deliver();
    }
  }

  #blackholeAll(): void {
    for (const connection of this.#connections) {
      connection.blackholed.add("to-target").add("to-client");
    }
  }

  #countChunk({ clientAddress }: RelayedConnection): void {
    const count = this.chunksFrom(clientAddress);
    this.#chunksToTarget.set(clientAddress, count + 1);
  }

  #resetAll(): void {
    for (const connection of this.#connections) this.#reset(connection);
  }

  #reset(connection: RelayedConnection): void {
    resetSocket(connection.client);
    connection.target.destroy();
    this.#connections.delete(connection);
  }
}
