import { expect } from "earl";
import { test } from "node:test";
import * as selfsigned from "selfsigned";
import * as z from "zod";
import type { ServerTls } from "../utils/http_server.ts";
import { LifeCycle } from "../utils/life_cycle.ts";
import { PeerServer } from "./peer_server.ts";
import { PeerClient } from "./peer_client.ts";

const HOST = "127.0.0.1";
const SECRET = "secret-of-all-entry-vms";
const TIMEOUT_MS = 5_000;
/** Type number of an IP address in `subjectAltName` (X.509). */
const ALT_NAME_IP = 7;

/** Creates a self-signed certificate for the loopback address. */
function createCertificate(): Required<ServerTls> {
  const pems = selfsigned.generate([{ name: "commonName", value: HOST }], {
    keySize: 2048,
    algorithm: "sha256",
    extensions: [
      { name: "basicConstraints", cA: true },
      { name: "subjectAltName", altNames: [{ type: ALT_NAME_IP, ip: HOST }] },
    ],
  });
  return { cert: pems.cert, key: pems.private, ca: pems.cert };
}

const TRUSTED = createCertificate();
const UNTRUSTED = createCertificate();

interface TlsCase {
  readonly name: string;
  readonly tls: ServerTls | undefined;
  readonly answer: "answered" | "refused";
}

// A process without a certificate of the deployment's CA connects to the port of
// an entry VM. The connection must be refused before the secret or a call is
// read. A peer with such a certificate is served.
const CASES: readonly TlsCase[] = [
  {
    name: "a peer with a trusted certificate",
    tls: TRUSTED,
    answer: "answered",
  },
  { name: "a peer without TLS", tls: undefined, answer: "refused" },
  {
    name: "a peer with an untrusted certificate",
    tls: { ...UNTRUSTED, ca: TRUSTED.ca },
    answer: "refused",
  },
  {
    name: "a peer that trusts another CA",
    tls: { ...TRUSTED, ca: UNTRUSTED.ca },
    answer: "refused",
  },
];

for (const { name, tls, answer } of CASES) {
  test(`should have ${name} ${answer} over TLS`, async () => {
    const lifeCycle = new LifeCycle();
    let calls = 0;
    const server = new PeerServer({
      host: HOST,
      port: 0,
      secret: SECRET,
      tls: TRUSTED,
    });
    server.register("count", z.strictObject({}), () => ++calls);
    const port = await server.listen(lifeCycle);
    const client = new PeerClient({ host: HOST, port }, {
      secret: SECRET,
      tls,
    });
    const result = await client.call("count", {
      params: {},
      schema: z.number(),
      timeoutMs: TIMEOUT_MS,
    });
    await client.close();
    await lifeCycle.stop();
    expect(result.isOk()).toEqual(answer === "answered");
    expect(calls).toEqual(answer === "answered" ? 1 : 0);
  });
}
