/**
 * Connections that end with a TCP reset, so that the peer receives nothing after
 * this process has abandoned them.
 */
import type * as net from "node:net";
import type * as tls from "node:tls";
import * as undici from "undici";
import { resetSocket } from "./reset_socket.ts";

const openSockets = new Set<net.Socket>();

/** Resets all open connections, for a process that exits without closing them. */
export function resetOpenConnections(): void {
  for (const socket of openSockets) socket.destroy();
}

/**
 * Builds an undici connector whose connections end with a reset. A normal close
 * still delivers the send buffer, even seconds later when a network partition
 * heals, and the request would take effect after its sender has given it up. A
 * reset discards the buffer.
 */
export function buildResettingConnector(
  options: undici.buildConnector.BuildOptions,
): undici.buildConnector.connector {
  const connect = undici.buildConnector(options);
  return (target, callback) =>
    connect(target, (...result) => {
      const [error, socket] = result;
      if (error === null) resetOnDestroy(socket);
      callback(...result);
    });
}

/**
 * Makes every `destroy` of the socket a reset: undici destroys sockets itself,
 * before its caller learns of it.
 */
function resetOnDestroy(socket: net.Socket): void {
  // Node can reset plain TCP sockets only.
  if ((socket as Partial<tls.TLSSocket>).encrypted === true) return;
  openSockets.add(socket);
  socket.once("close", () => openSockets.delete(socket));
  const destroy = socket.destroy.bind(socket);
  socket.destroy = (error) => {
    socket.destroy = () => destroy(error);
    return socket.destroyed ? destroy(error) : resetSocket(socket);
  };
}
