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
/** `subjectAltName` of kind IP, as X.509 numbers them. */
const ALT_NAME_IP = 7;

/** A certificate that is its own authority, for the loopback address. */
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

// A process without a certificate of our authority reaches the port of an
// entry VM. The connection must end before the secret or a call is read; a
// peer with a certificate is served.
const CASES: readonly TlsCase[] = [
  { name: "a peer with our certificate", tls: TRUSTED, answer: "answered" },
  { name: "a peer without TLS", tls: undefined, answer: "refused" },
  {
    name: "a peer that shows a stranger's certificate",
    tls: { ...UNTRUSTED, ca: TRUSTED.ca },
    answer: "refused",
  },
  {
    name: "a peer that trusts another authority",
    tls: { ...TRUSTED, ca: UNTRUSTED.ca },
    answer: "refused",
  },
];

for (const { name, tls, answer } of CASES) {
  test(`should leave ${name} ${answer} over TLS`, async () => {
    const lifeCycle = new LifeCycle();
    let calls = 0;
    const door = new PeerServer({
      host: HOST,
      port: 0,
      secret: SECRET,
      tls: TRUSTED,
    });
    door.register("count", z.strictObject({}), () => ++calls);
    const port = await door.listen(lifeCycle);
    const link = new PeerClient({ host: HOST, port }, { secret: SECRET, tls });
    const result = await link.call("count", {
      params: {},
      schema: z.number(),
      timeoutMs: TIMEOUT_MS,
    });
    await link.close();
    await lifeCycle.stop();
    expect(result.isOk()).toEqual(answer === "answered");
    expect(calls).toEqual(answer === "answered" ? 1 : 0);
  });
}
