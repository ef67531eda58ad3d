/** Registry entries of backend servers for tests of grants. */
import type * as contracts from "@guavatide/contracts";

/** The keyed service in these tests. */
export const KEYED_SERVICE = "keyed" as contracts.ServiceId;

/** The registry entry of a server in its first incarnation. */
export function serverEntryOf(
  server: contracts.ServerId,
): contracts.RegisteredServer {
  return {
    server,
    bornMs: 1,
    service: KEYED_SERVICE,
    host: "10.0.0.1",
    port: 80,
    zone: "z1" as contracts.ZoneId,
    slots: 2,
    isDraining: false,
    warmUpLeftMs: 0,
  };
}
