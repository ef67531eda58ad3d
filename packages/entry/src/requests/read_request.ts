/** Reads a caller's request and refuses what can't be routed. */
import * as contracts from "@guavatide/contracts";
import { err, ok, type Result } from "neverthrow";
import type * as http from "node:http";
import { requestHeaders } from "../links/header_list.ts";
import * as bodies from "../utils/read_body.ts";
import {
  type CallerAnswer,
  type CallerRequest,
  notRun,
} from "./caller_request.ts";

/** What the head of a request tells. */
export type RequestHead = Omit<CallerRequest, "body" | "arrivedMs" | "signal">;

/** Path under which callers address services. */
const SERVICE_PATH = "/s/";
/** Longest key, caller name. */
const MAX_NAME_LENGTH = 512;

/** Reads the head. Errors: the final answer, always "not run". */
export function readHead(
  incoming: http.IncomingMessage,
): Result<RequestHead, CallerAnswer> {
  const url = incoming.url ?? "";
  if (!url.startsWith(SERVICE_PATH)) {
    return err(badRequest("The path must begin with /s/<service>/"));
  }
  const slash = url.indexOf("/", SERVICE_PATH.length);
  const end = slash < 0 ? url.length : slash;
  const name = url.slice(SERVICE_PATH.length, end);
  const service = contracts.serviceIdSchema.safeParse(name);
  if (!service.success) {
    return err(badRequest("The service in the path is not a valid name"));
  }
  if (hasDotSegment(url)) {
    return err(badRequest('The path must not contain "." or ".." as a part'));
  }
  const key = singleHeader(incoming, contracts.KEY_HEADER);
  const caller = singleHeader(incoming, contracts.CALLER_HEADER) ?? "";
  if (key === "" || isTooLong(key) || isTooLong(caller)) {
    return err(badRequest(
      `Keys and caller names have 1 to ${MAX_NAME_LENGTH} characters`,
    ));
  }
  const timeout = readTimeout(singleHeader(incoming, contracts.TIMEOUT_HEADER));
  if (timeout.isErr()) return err(timeout.error);
  return ok({
    service: service.data,
    method: incoming.method ?? "GET",
    rest: slash < 0 ? "" : url.slice(slash + 1),
    headers: requestHeaders(incoming.rawHeaders),
    key,
    caller,
    timeoutMs: timeout.value,
  });
}

/** Reads the body whole. Errors: the final answer, always "not run". */
export async function readBody(
  incoming: http.IncomingMessage,
  limitBytes: number,
): Promise<Result<Uint8Array | undefined, CallerAnswer>> {
  const read = await bodies.readBody(incoming, limitBytes);
  if (read.kind === "whole") return ok(read.body);
  return err(
    read.kind === "too-large"
      ? bodyTooLarge(limitBytes)
      : badRequest("The body broke off"),
  );
}

function singleHeader(
  incoming: http.IncomingMessage,
  name: string,
): string | undefined {
  return incoming.headers[name] as string | undefined;
}

/**
 * Whether a part of the path is `.` or `..`. A server that resolves these
 * would let a caller out of `/serve/` and into the server's control side.
 */
function hasDotSegment(url: string): boolean {
  const [path] = url.split("?", 1);
  return path!.split(/[/\\]|%2f|%5c/i).some((part) =>
    /^(\.|%2e){1,2}$/i.test(part)
  );
}

function isTooLong(text: string | undefined): boolean {
  return text !== undefined && text.length > MAX_NAME_LENGTH;
}

function readTimeout(
  text: string | undefined,
): Result<number | undefined, CallerAnswer> {
  if (text === undefined) return ok(undefined);
  const timeoutMs = Number(text);
  if (Number.isFinite(timeoutMs) && timeoutMs > 0) return ok(timeoutMs);
  return err(badRequest(
    "guavatide-timeout-ms must be a number of milliseconds above 0",
  ));
}

function badRequest(message: string): CallerAnswer {
  return notRun("bad-request", { message });
}

function bodyTooLarge(limitBytes: number): CallerAnswer {
  return notRun("bad-request", {
    message: `The body is larger than ${limitBytes} bytes`,
    status: 413,
  });
}
