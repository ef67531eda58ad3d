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

/** Whether a value is an IPv4 address in text form. */
export function isIpv4Address(value: unknown): value is string {
  return typeof value === "string" && net.isIPv4(value);
}

/** Whether a value is a TCP or UDP port that can be connected to. */
export function isPort(value: unknown): value is number {
  return typeof value === "number" && Number.isInteger(value) &&
    value >= 1 && value <= 65_535;
}

/** Schema of an IP address in text form; without a zone, which no URL has. */
export const ipAddressSchema = z.string().refine(
  (text) => net.isIP(text) !== 0 && !text.includes("%"),
  { error: "Not an IP address; write it as in 10.1.0.18" },
);

/** Schema of an IPv4 address in text form. */
export const ipv4AddressSchema = z.string().refine(isIpv4Address, {
  error: "Not an IPv4 address; write it as in 10.1.0.18",
});

/** Schema of a TCP or UDP port that can be connected to. */
export const portSchema = z.number().refine(isPort, {
  error: "Not a port; it is a whole number from 1 to 65535",
});

/**
 * Schema of an IP address and port as text, `10.1.0.18:8381`, which it transforms
 * to a {@link NetworkAddress}.
 */
export const socketAddressSchema = z.string().transform(
  (text, context): NetworkAddress => {
    const colon = text.lastIndexOf(":");
    const address = {
      host: text.slice(0, colon),
      port: Number(text.slice(colon + 1)),
    };
    if (net.isIP(address.host) !== 0 && isPort(address.port)) return address;
    context.addIssue(noSocketAddress(text));
    return z.NEVER;
  },
);

/** The same of an IPv4 address; the port has digits only. */
export const ipv4SocketAddressSchema = z.string()
  .regex(/^[0-9.]+:[0-9]{1,5}$/, {
    error: ({ input }) => noSocketAddress(String(input)),
  })
  .pipe(socketAddressSchema);

function noSocketAddress(text: string): string {
  const shown = text.slice(0, 100);
  return `"${shown}" is not an address; write it as in 10.1.0.18:8381`;
}

/** The origin of URLs of an address; `scheme` is `http` by default. */
export function originOf(
  { host, port }: NetworkAddress,
  scheme: "http" | "https" = "http",
): string {
  const hostInUrl = net.isIPv6(host) ? `[${host}]` : host;
  return `${scheme}://${hostInUrl}:${port}`;
}
