/** Tries whether an address accepts a connection. */
import * as net from "node:net";

/**
 * `accepted`: it did and kept the connection open. `refused`: nothing listens
 * there. `broken`: the connection was reset, or could not be begun. `silent`: no
 * reply in time.
 */
export type ProbeOutcome = "accepted" | "refused" | "broken" | "silent";

/** Options of {@link probeConnection}. */
export interface ProbeOptions {
  readonly timeoutMs: number;
  /** How long the connection has to stay open; 0 by default. */
  readonly stayMs?: number;
}

/**
 * Turns of the event loop that the connection has to stay open for besides: on a
 * loaded machine a reset may wait to be read when the time is over.
 */
const STAY_TURNS = 8;

/** Opens a connection and closes it again. Never rejects. */
export function probeConnection(
  target: net.TcpNetConnectOpts,
  { timeoutMs, stayMs = 0 }: ProbeOptions,
): Promise<ProbeOutcome> {
  return new Promise((resolve) => {
    let socket: net.Socket;
    try {
      socket = net.connect(target);
    } catch {
      // Not an address that a socket accepts.
      return resolve("broken");
    }
    let stay: NodeJS.Timeout | undefined;
    const end = (outcome: ProbeOutcome) => {
      clearTimeout(stay);
      resolve(outcome);
      socket.destroy();
    };
    const endIfKept = (turnsLeft: number) => {
      if (turnsLeft === 0) return end("accepted");
      setImmediate(() => endIfKept(turnsLeft - 1));
    };
    // After a stall of this process, a reply may wait to be read.
    socket.setTimeout(
      timeoutMs,
      () => setImmediate(() => setImmediate(() => end("silent"))),
    );
    socket.once("connect", () => {
      socket.setTimeout(0);
      if (stayMs === 0) return end("accepted");
      stay = setTimeout(() => endIfKept(STAY_TURNS), stayMs);
    });
    socket.once("close", () => end("broken"));
    socket.once(
      "error",
      ({ code }: NodeJS.ErrnoException) =>
        end(code === "ECONNREFUSED" ? "refused" : "broken"),
    );
  });
}
