import { expect } from "earl";
import { test } from "node:test";
import { sharesCapacity } from "./share_policy.ts";

/** Deployments that ask for no shares must be served as before. */
test("should share capacity by default only where files are transferred", () => {
  expect(sharesCapacity(undefined, undefined)).toEqual(false);
  expect(sharesCapacity(undefined, { hasFileTransfers: false })).toEqual(false);
  expect(sharesCapacity(undefined, { hasFileTransfers: true })).toEqual(true);
});

test("should follow settings that share capacity always or never", () => {
  expect(sharesCapacity("always", undefined)).toEqual(true);
  expect(sharesCapacity("never", { hasFileTransfers: true })).toEqual(false);
});
