/** Error responses of the administration API, with one HTTP status per kind. */
import type * as hono from "hono";
import type * as httpStatus from "hono/utils/http-status";

/** Any typed error that a component behind the API returns. */
export interface ApiError {
  readonly kind: string;
  /** Cause and remedy, for the operator. */
  readonly message: string;
}

/** Value of `retry-after` while the store is unavailable or the API overloaded. */
const RETRY_AFTER_SECONDS = 2;

const STATUS_BY_KIND: Readonly<
  Record<string, httpStatus.ContentfulStatusCode>
> = {
  "bad-request": 400,
  "refused": 400,
  "unauthorized": 401,
  "forbidden": 403,
  "not-found": 404,
  "nothing-changed": 409,
  "conflict": 412,
  "drafts-changed": 412,
  "exists": 412,
  "too-large": 413,
  "findings": 422,
  "precondition-required": 428,
  "unreadable": 500,
  "unavailable": 503,
  "overloaded": 503,
  // The change may have taken effect, so unlike 503 it must not be retried blindly.
  "unknown": 504,
};

/** Builds the response for an error, with all fields of the error in its body. */
export function errorResponse(
  context: hono.Context,
  error: ApiError,
): Response {
  const status = STATUS_BY_KIND[error.kind] ?? 500;
  if (status === 503) {
    context.header("retry-after", String(RETRY_AFTER_SECONDS));
  }
  return context.json({ error }, status);
}

/** Creates the error for a malformed request; status 400. */
export function badRequest(message: string): ApiError {
  return { kind: "bad-request", message };
}
