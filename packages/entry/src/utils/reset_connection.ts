/** Connections on which nothing arrives once this side has given them up. */
import type * as net from "node:net";
import * as tls from "node:tls";
import * as undici from "undici";

const openSockets = new Set<net.Socket>();

/** Resets what is open, for a process that ends without closing it. */
export function resetOpenConnections(): void {
  for (const socket of openSockets) socket.destroy();
}

/**
 * Connects for undici. A close would still deliver what waits in the send
 * buffer, also seconds later when a cut link heals, and the call would take
 * effect after its sender counts it as over. A reset drops it.
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
 * Makes a connection end with a reset whoever destroys it: undici does so on
 * its own, before its caller hears of it.
 */
function resetOnDestroy(socket: net.Socket): void {
  // Node resets TCP connections only.
  if (socket instanceof tls.TLSSocket) return;
  openSockets.add(socket);
  socket.once("close", () => openSockets.delete(socket));
  const destroy = socket.destroy.bind(socket);
  socket.destroy = (error) => {
    socket.destroy = () => destroy(error);
    // The library under Node refuses a reset while a close is under way.
    const isClosing = socket.writableEnded && !socket.writableFinished;
    return socket.destroyed || isClosing
      ? destroy(error)
      : socket.resetAndDestroy();
  };
}
