/** The datagram socket of an entry VM, and the handlers of its messages. */
import * as dgram from "node:dgram";
import type * as z from "zod";
import type { LifeCycle } from "../../utils/life_cycle.ts";
import type { Logger } from "../../utils/log.ts";
import { decodeMessage, encodeMessage } from "./peer_codec.ts";

/** Options of {@link PeerChannel}. */
export interface PeerChannelOptions {
  /** IP address and port to listen on. */
  readonly host: string;
  readonly port: number;
  readonly log: Logger;
  /** Called for each datagram sent. */
  readonly onSent: (method: string, bytes: number, to: PeerTarget) => void;
}

/** Where a datagram goes. */
export interface PeerTarget {
  readonly host: string;
  readonly port: number;
  /** Availability zone of the receiver; undefined while it is not known. */
  readonly zone?: string | undefined;
}

/** Sends and receives JSON-RPC 2.0 notifications. */
export class PeerChannel {
  readonly #options: PeerChannelOptions;
  readonly #socket = dgram.createSocket({ type: "udp4", lookup: noLookup });
  readonly #handlers = new Map<string, (params: unknown) => void>();

  constructor(options: PeerChannelOptions) {
    this.#options = options;
    this.#socket.on("message", (bytes) => this.#receive(bytes));
    this.#socket.on(
      "error",
      (error) =>
        options.log.warn("Datagram socket failed.", { error: error.message }),
    );
  }

  /** Starts to listen. Rejects when the port is taken. */
  async listen(lifeCycle: LifeCycle): Promise<void> {
    const { host, port } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(port, host, () => {
        this.#socket.off("error", reject);
        resolve();
      });
    });
    lifeCycle.onStop({
      name: "datagrams to peers",
      timeoutMs: 100,
      run: () => void this.#socket.close(),
    });
  }

  /**
   * Registers the handler of a method; messages that don't match the schema are
   * dropped and logged.
   */
  on<Params>(
    method: string,
    schema: z.ZodType<Params>,
    handler: (params: Params) => void,
  ): void {
    this.#register(method, (params) => schema.safeParse(params).data, handler);
  }

  /**
   * Like `on`, with a type guard: a schema is too slow for frequent messages.
   */
  onGuarded<Params>(
    method: string,
    isParams: (params: unknown) => params is Params,
    handler: (params: Params) => void,
  ): void {
    this.#register(
      method,
      (params) => isParams(params) ? params : undefined,
      handler,
    );
  }

  /**
   * Passes a message to the handler of its method; without one it is dropped.
   */
  dispatch(method: string, params: unknown): void {
    this.#handlers.get(method)?.(params);
  }

  /** Sends one message to several peers. */
  send(method: string, params: object, targets: Iterable<PeerTarget>): void {
    this.sendEncoded(method, encodeMessage(method, params), targets);
  }

  /** Sends an encoded message to several peers. */
  sendEncoded(
    method: string,
    bytes: Uint8Array,
    targets: Iterable<PeerTarget>,
  ): void {
    for (const target of targets) {
      this.#options.onSent(method, bytes.length, target);
      this.#sendBytes(bytes, target);
    }
  }

  /**
   * A datagram that can't be sent counts as lost. Without a callback, Node sends
   * it a third cheaper; failures then go unnoticed.
   */
  #sendBytes(bytes: Uint8Array, { host, port }: PeerTarget): void {
    this.#socket.send(bytes, port, host);
  }

  #register<Params>(
    method: string,
    parse: (params: unknown) => Params | undefined,
    handler: (params: Params) => void,
  ): void {
    this.#handlers.set(method, (params) => {
      const valid = parse(params);
      if (valid !== undefined) handler(valid);
      else this.#options.log.warn("Ignored a malformed datagram.", { method });
    });
  }

  /** A message that can't be handled must not end the process. */
  #receive(bytes: Buffer): void {
    const { log } = this.#options;
    const message = decodeMessage(bytes);
    if (message === undefined) {
      log.warn("Ignored a malformed datagram.", { bytes: bytes.length });
      return;
    }
    const { method, params } = message;
    try {
      this.dispatch(method, params);
    } catch (error) {
      const { stack } = error as Error;
      log.error("Handling a datagram failed.", { method, error: stack });
    }
  }
}

/**
 * Peer addresses are IP addresses, and the system's resolver would take an
 * event loop turn for each datagram.
 */
function noLookup(
  host: string,
  _options: unknown,
  done: (error: null, address: string, family: number) => void,
): void {
  done(null, host, 4);
}
