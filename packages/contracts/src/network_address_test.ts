import { expect } from "earl";
import { test } from "node:test";
import * as contracts from "./mod.ts";

/** Guards against calls to an IPv6 address that fail as their URL is invalid. */
test("should return origins that URLs accept", () => {
  for (const host of ["10.0.0.1", "::1", "2001:db8::9"]) {
    expect(contracts.ipAddressSchema.safeParse(host).success).toEqual(true);
    const origin = contracts.originOf({ host, port: 7_401 }, "https");
    expect(new URL(origin).origin).toEqual(origin);
  }
  expect(contracts.ipAddressSchema.safeParse("fe80::1%eth0").success)
    .toEqual(false);
});
