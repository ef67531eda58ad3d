import { expect } from "earl";
import { test } from "node:test";
import * as messages from "./peer_messages.ts";

const COMMON_FIELDS = {
  vm: "vm1",
  incarnation: "r1",
  sequence: 3,
  standsMs: 1_600,
  maps: { s: [4, true] },
};
const STATUS = {
  ...COMMON_FIELDS,
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
const VOTER_STATUS = {
  ...COMMON_FIELDS,
  echo: ["r2", 9],
  lifeMs: 12.5,
  grantAgesMs: { a: [0, null], b: [10, 5.5] },
  silentServers: ["a"],
};

/** Guards against a type guard that accepts what its schema rejects. */
for (
  const [name, isMessage, schema, good] of [
    ["status", messages.isPeerStatus, messages.peerStatusSchema, STATUS],
    [
      "voter status",
      messages.isVoterStatus,
      messages.voterStatusSchema,
      VOTER_STATUS,
    ],
  ] as const
) {
  test(`should accept a valid ${name} and none with a wrong field`, () => {
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

/** VMs of a version without the bandwidth, or with it, must be understood. */
test("should accept statuses with and without a bandwidth", () => {
  for (const linkMbps of [undefined, 7, 8.4]) {
    const status = { ...STATUS, linkMbps };
    expect(messages.isPeerStatus(status)).toEqual(true);
    expect(messages.peerStatusSchema.safeParse(status).success).toEqual(true);
  }
  const wrong = { ...STATUS, linkMbps: "7" };
  expect(messages.isPeerStatus(wrong)).toEqual(false);
});
