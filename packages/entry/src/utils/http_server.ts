/** Creates the server of a door: plain HTTP, or TLS when it has files for it. */
import * as http from "node:http";
import * as https from "node:https";
import type * as net from "node:net";

/** PEM texts of one door's certificate. */
export interface ServerTls {
  readonly cert: string;
  readonly key: string;
  /** Authorities; when given, the other side must show a certificate. */
  readonly ca?: string;
}

/** Creates a server that does not listen yet. */
export function createHttpServer(
  options: http.ServerOptions,
  tls: ServerTls | undefined,
): http.Server {
  if (tls === undefined) return http.createServer(options);
  return https.createServer({
    ...options,
    cert: tls.cert,
    key: tls.key,
    ca: tls.ca,
    requestCert: tls.ca !== undefined,
    rejectUnauthorized: tls.ca !== undefined,
  });
}

/** Where a server listens. */
export interface ListenAddress {
  /** IP number. */
  readonly host: string;
  /** 0 takes any free port. */
  readonly port: number;
  /** Connections that may wait to be accepted; the system's default if absent. */
  readonly backlog?: number;
}

/** Starts listening and returns the port. Errors: the address is taken. */
export async function listenOn(
  server: http.Server,
  { host, port, backlog }: ListenAddress,
): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen({ port, host, backlog }, () => {
      server.off("error", reject);
      resolve();
    });
  });
  return (server.address() as net.AddressInfo).port;
}
