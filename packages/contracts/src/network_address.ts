/**
 * IP addresses and ports that another program supplies. They are checked where
 * they are decoded: URLs, sockets and datagrams throw on others.
 */
import * as net from "node:net";
import * as z from "zod";

/** Where a program listens. */
export interface NetworkAddress {
  /** IP address. */
  readonly host: string;
  readonly port: number;
}

/**
 * Schema of an IPv4 address and port as text, `10.1.0.18:8381`, which it
 * transforms to a {@link NetworkAddress}.
 */
export const ipv4SocketAddressSchema = z.string().transform(
  (text, context): NetworkAddress => {
    const [host = "", port = "", ...rest] = text.split(":");
    const isValid = rest.length === 0 && /^[0-9]{1,5}$/.test(port) &&
      net.isIPv4(host);
    if (isValid) return { host, port: Number(port) };
    context.addIssue(
      `"${
        text.slice(0, 100)
      }" is not an address; write it as in 10.1.0.18:8381`,
    );
    return z.NEVER;
  },
);
