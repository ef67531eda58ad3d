import type * as net from "node:net";

/**
 * Resets a connection, or closes it if its own end is being sent: libuv rejects
 * a reset then, and Node never closes that socket and never ends its process.
 */
export function resetSocket(socket: net.Socket): net.Socket {
  const isEnding = socket.writableEnded && !socket.writableFinished;
  return isEnding ? socket.destroy() : socket.resetAndDestroy();
}
