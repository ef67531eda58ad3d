/** HTTP servers, with TLS when a certificate is configured. */
import * as http from "node:http";
import * as https from "node:https";
import type * as net from "node:net";

/** Certificate and private key of one listener, in PEM format. */
export interface ServerTls {
  readonly cert: string;
  readonly key: string;
  /** CA certificates. When set, clients must present a certificate (mTLS). */
  readonly ca?: string;
}

/** Creates a server without starting to listen. */
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

/** Address on which a server listens. */
export interface ListenAddress {
  /** IP address. */
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  /** Length of the accept queue; Node's default when absent. */
  readonly backlog?: number;
}

/** Starts listening and returns the port. Rejects when the address is in use. */
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
