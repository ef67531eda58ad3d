/**
 * IP addresses and ports that another program supplies. They are checked where
 * they are decoded: URLs, sockets and datagrams throw on others.
 */
import * as net from "node:net";
import * as z from "zod";

/** Schema of a TCP or UDP port that can be connected to. */
export const portSchema = z.number().int().min(1).max(65_535);

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
    const address = { host, port: Number(port) };
    const isValid = rest.length === 0 && /^[0-9]{1,5}$/.test(port) &&
      net.isIPv4(host) && portSchema.safeParse(address.port).success;
    if (isValid) return address;
    context.addIssue(
      `"${
        text.slice(0, 100)
      }" is not an address; write it as in 10.1.0.18:8381`,
    );
    return z.NEVER;
  },
);
