import { expect } from "earl";
import { test } from "node:test";
import * as settings from "./mod.ts";

interface RejectionCase {
  readonly name: string;
  readonly change: (file: ReturnType<typeof exampleFile>) => void;
  readonly kind: settings.SettingsProblemKind;
  readonly path: string;
  readonly remedy: RegExp;
}

// deno-lint-ignore no-explicit-any
function exampleFile(): any {
  return JSON.parse(settings.printDefaults());
}

const REJECTIONS: readonly RejectionCase[] = [
  {
    name: "an unknown field",
    change: (file) => file.colour = "green",
    kind: "unknown-field",
    path: "colour",
    remedy: /Remove it; known fields here are vm, zone/,
  },
  {
    name: "a field name with another unit",
    change: (file) => file.timings.leaseSeconds = 1.2,
    kind: "wrong-unit",
    path: "timings.leaseSeconds",
    remedy: /"leaseMs" and give it in milliseconds/,
  },
  {
    name: "a unit inside the value",
    change: (file) => file.timings.leaseMs = "1200ms",
    kind: "wrong-unit",
    path: "timings.leaseMs",
    remedy: /whole number of milliseconds/,
  },
  {
    name: "a fractional number of milliseconds",
    change: (file) => file.timings.heartbeatMs = 0.25,
    kind: "wrong-unit",
    path: "timings.heartbeatMs",
    remedy: /whole number of milliseconds/,
  },
  {
    name: "a host name",
    change: (file) => file.host = "entry-1.example",
    kind: "bad-address",
    path: "host",
    remedy: /IP address/,
  },
  {
    name: "a store address without a scheme",
    change: (file) => file.platform.storeUrl = "10.0.0.2:7300",
    kind: "bad-address",
    path: "platform.storeUrl",
    remedy: /full URL/,
  },
  {
    name: "two listeners on one port",
    change: (file) => file.ports.peers = file.ports.callers,
    kind: "port-clash",
    path: "ports.peers",
    remedy: /"ports.callers"/,
  },
  {
    name: "a port above 65535",
    change: (file) => file.ports.peers = 70_000,
    kind: "out-of-range",
    path: "ports.peers",
    remedy: /at most 65535/,
  },
  {
    name: "a lease too short for its renewals",
    change: (file) => {
      file.timings.renewMs = 300;
      file.timings.leaseMs = 400;
    },
    kind: "contradiction",
    path: "timings.leaseMs",
    remedy: /at least 900/,
  },
  {
    name: "confirmation that expires before the next heartbeat",
    change: (file) => file.timings.evidenceMs = 300,
    kind: "contradiction",
    path: "timings.evidenceMs",
    remedy: /at least 500/,
  },
  {
    name: "a missing availability zone",
    change: (file) => delete file.zone,
    kind: "missing",
    path: "zone",
    remedy: /Add the field/,
  },
  {
    name: "a missing peer secret",
    change: (file) => delete file.peerSecret,
    kind: "missing",
    path: "peerSecret",
    remedy: /peerSecretFile/,
  },
  {
    name: "an unknown log format",
    change: (file) => file.log.format = "xml",
    kind: "bad-value",
    path: "log.format",
    remedy: /text, json/,
  },
];

for (const rejection of REJECTIONS) {
  test(`should reject ${rejection.name}, with path and remedy`, () => {
    const file = exampleFile();
    rejection.change(file);
    const error = settings.loadSettings(JSON.stringify(file))
      ._unsafeUnwrapErr();
    expect(error.problems.map(({ kind, path }) => ({ kind, path })))
      .toEqual([{ kind: rejection.kind, path: rejection.path }]);
    expect(error.problems[0]!.remedy).toEqual(
      expect.regex(rejection.remedy),
    );
  });
}

test("should load the printed defaults unchanged", () => {
  const loaded = settings.loadSettings(settings.printDefaults());
  expect(loaded._unsafeUnwrap()).toEqual(settings.defaultSettings());
});

test("should allow port 0 for several listeners", () => {
  const file = exampleFile();
  file.ports = { callers: 0, peers: 0, administration: 0, metrics: 0 };
  expect(settings.loadSettings(JSON.stringify(file)).isOk()).toEqual(true);
});

test("should report a file that is not JSON", () => {
  const error = settings.loadSettings("{")._unsafeUnwrapErr();
  expect(error.kind).toEqual("not-json");
});

test("should not include an invalid secret in the message", () => {
  const file = exampleFile();
  file.peerSecret = "short";
  const error = settings.loadSettings(JSON.stringify(file))._unsafeUnwrapErr();
  expect(error.message.includes("short")).toEqual(false);
});
