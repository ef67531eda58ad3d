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

test("should take the longest prefix that begins the path", () => {
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

/** Guards against shares that begin anew with each configuration. */
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
