import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import {
  ForwardedRequest,
  type ForwardingContext,
} from "./forwarded_request.ts";
import type { FrontAnswer, FrontRequest } from "./front_request.ts";

const TIMEOUT_MS = 20;

/** Guards against a process that ends, and a caller that waits, by a timer that throws. */
test("should answer 502 when the timer of a request fails", async () => {
  const errors: unknown[] = [];
  const context = {
    judged: undefined,
    clock: { nowMs: () => performance.now() },
    queue: {
      cancel: () => {
        throw new RangeError("Too deep");
      },
    },
    noteError: (error: unknown) => void errors.push(error),
    onFinished: () => {
      throw new Error("Not recorded");
    },
  } as unknown as ForwardingContext;
  const request = {
    arrivedMs: performance.now(),
    deadlineMs: TIMEOUT_MS,
    signal: new AbortController().signal,
  } as unknown as FrontRequest;
  const route = {
    timeoutMs: TIMEOUT_MS,
    targetLatencyMs: TIMEOUT_MS,
  } as unknown as contracts.Route;
  const answer = await new Promise<FrontAnswer>((resolve) => {
    new ForwardedRequest(request, route, context, resolve);
  });
  expect((answer as { readonly status?: number }).status).toEqual(502);
  expect(errors.length >= 1).toEqual(true);
});
