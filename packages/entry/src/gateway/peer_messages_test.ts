import { expect } from "earl";
import { test } from "node:test";
import * as messages from "./peer_messages.ts";

const WORD = {
  vm: "vm1",
  incarnation: "r1",
  sequence: 3,
  standsMs: 1_600,
  maps: { s: [4, true] },
};
const STATUS = {
  ...WORD,
  host: "10.0.0.1",
  port: 7_200,
  zone: "z1",
  processorCores: 0.27,
  hasStore: true,
  isLeaving: false,
  configVersion: -1,
  configCursor: 5,
  serversCursor: 6,
  loads: { a: 1 },
  waiting: {},
};
const KEEPER = {
  ...WORD,
  echo: ["r2", 9],
  lifeMs: 12.5,
  grantAgesMs: { a: [0, null], b: [10, 5.5] },
  silentServers: ["a"],
};

/** Guards against messages that a guard and its schema judge differently. */
for (
  const [name, isMessage, schema, good] of [
    ["status", messages.isPeerStatus, messages.peerStatusSchema, STATUS],
    ["keeper", messages.isVoterStatus, messages.voterStatusSchema, KEEPER],
  ] as const
) {
  test(`should take a whole ${name} and none with a field that is wrong`, () => {
    expect(isMessage(good)).toEqual(true);
    for (const field of Object.keys(good)) {
      for (const wrong of [undefined, "x", -0.5, [], [7], { a: "x" }]) {
        const changed = { ...good, [field]: wrong };
        const isRefused = !schema.safeParse(changed).success;
        if (isRefused) expect(isMessage(changed)).toEqual(false);
      }
    }
    expect(isMessage(null)).toEqual(false);
    expect(isMessage([])).toEqual(false);
  });
}
