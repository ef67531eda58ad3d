import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { RouteTable } from "./mod.ts";

function route(
  name: string,
  pathPrefix: string,
  targets: Record<string, number>,
): contracts.Route {
  return {
    name,
    host: "booths.example",
    pathPrefix,
    isIdempotent: true,
    attemptLimit: 2,
    timeoutMs: 1000,
    targetLatencyMs: 300,
    priority: 0,
    targets: Object.entries(targets).map(([service, weight]) => ({
      service: service as contracts.ServiceId,
      weight,
    })),
  };
}

test("should match the longest prefix of the path", () => {
  const table = new RouteTable([
    route("all", "/", { a: 1 }),
    route("deep", "/x/y/", { b: 1 }),
    route("middle", "/x/", { c: 1 }),
  ]);
  expect(table.find("Booths.example:80", "/x/y/z")?.name).toEqual("deep");
  expect(table.find("booths.example", "/x/z")?.name).toEqual("middle");
  expect(table.find("booths.example", "/x")?.name).toEqual("all");
  expect(table.find("other.example", "/x/")).toEqual(undefined);
});

test("should keep the shares of a split exact over a few hundred requests", () => {
  const split = route("split", "/", { a: 90, b: 10 });
  const table = new RouteTable([split]);
  const counts = new Map<string, number>();
  for (let index = 0; index < 300; index++) {
    const service = table.pickService(split);
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  expect(counts.get("a")).toEqual(270);
  expect(counts.get("b")).toEqual(30);
});

/** Guards against shares that start again with each configuration. */
test("should keep shares across quick changes of the configuration", () => {
  const split = route("split", "/", { a: 3, b: 1 });
  let table = new RouteTable([split]);
  let small = 0;
  for (let index = 0; index < 40; index++) {
    table = new RouteTable([split], table);
    if (table.pickService(split) === "b") small++;
  }
  expect(small).toEqual(10);
});

/** Services of the next requests of a route, by their number. */
function pick(
  table: RouteTable,
  picked: contracts.Route,
  requests: number,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (let index = 0; index < requests; index++) {
    const service = table.pickService(picked);
    counts[service] = (counts[service] ?? 0) + 1;
  }
  return counts;
}

/**
 * Guards against a service that gets requests after its weight has become 0:
 * what it was owed is in units of the old weights.
 */
for (const [kept, taken] of [[1, 0], [1_000, 0], [0.001, 0]] as const) {
  test(`should send nothing to a service whose weight falls to 0 beside ${kept}`, () => {
    const before = route("split", "/", { a: 1, b: 999 });
    const after = route("split", "/", { a: taken, b: kept });
    for (let requests = 0; requests <= 1_000; requests += 50) {
      const table = new RouteTable([before]);
      pick(table, before, requests);
      expect(pick(new RouteTable([after], table), after, 100))
        .toEqual({ b: 100 });
    }
  });
}

/** Guards against shares that are off for long after weights of another scale. */
test("should keep the shares when weights change their scale", () => {
  const scales = [
    { a: 1, b: 999 },
    { a: 1, b: 1 },
    { a: 500_000, b: 500_000 },
    { a: 0.3, b: 0.1 },
  ].map((targets) => route("split", "/", targets));
  for (const before of scales) {
    for (const after of scales) {
      for (let requests = 0; requests <= 1_000; requests += 50) {
        const table = new RouteTable([before]);
        pick(table, before, requests);
        const counts = pick(new RouteTable([after], table), after, 200);
        const [{ weight: first }, { weight: second }] = after.targets as [
          contracts.RouteTarget,
          contracts.RouteTarget,
        ];
        const expected = 200 * first / (first + second);
        expect(Math.abs((counts["a"] ?? 0) - expected) <= 2).toEqual(true);
      }
    }
  }
});

/** Guards against what is owed from before a time without a split. */
test("should begin anew after a route had a single service", () => {
  const split = route("split", "/", { a: 1, b: 999 });
  const single = route("split", "/", { b: 1 });
  const first = new RouteTable([split]);
  pick(first, split, 499);
  const last = new RouteTable([split], new RouteTable([single], first));
  expect(pick(last, split, 400)).toEqual({ b: 400 });
});
