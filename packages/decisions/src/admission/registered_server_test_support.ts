/** Servers as they are registered, for tests. */
import type * as contracts from "@guavatide/contracts";

/** A server with one slot, and what `options` override. */
export function registeredServer(
  name: string,
  options: Partial<contracts.RegisteredServer> = {},
): contracts.RegisteredServer {
  return {
    server: name as contracts.ServerId,
    bornMs: 1,
    service: "availability" as contracts.ServiceId,
    host: "10.0.0.1",
    port: 80,
    zone: "z1" as contracts.ZoneId,
    slots: 1,
    isDraining: false,
    warmUpLeftMs: 0,
    ...options,
  };
}
