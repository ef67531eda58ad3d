/** Errors of the administration API: one shape, one status for each kind. */
import type * as hono from "hono";
import type * as httpStatus from "hono/utils/http-status";

/** Any typed error of the parts behind the API. */
export interface ApiError {
  readonly kind: string;
  /** What was seen and what to do. */
  readonly message: string;
}

/** Seconds after which an operator may ask again when the store is away. */
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
  // The change may have taken effect: unlike 503, not a reason to repeat it.
  "unknown": 504,
};

/** Answers with an error, with its own fields besides kind and message. */
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

/** A request that the API does not understand. */
export function badRequest(message: string): ApiError {
  return { kind: "bad-request", message };
}
