/** How the end of an answer is told. */

/** Only this coding, as the last one, gives a body an end of its own. */
const CHUNKED_LAST = /(?:^|[,\s])chunked\s*$/i;

/** What tells the end of an answer's body. */
export interface AnswerFraming {
  readonly method: string;
  readonly status: number;
  /** Value of the last Transfer-Encoding header. */
  readonly transferEncoding: string | undefined;
  readonly contentLength: string | undefined;
}

/**
 * Whether a truncated body would have been detected: a close-delimited one
 * looks complete when the connection breaks.
 */
export function hasKnownEnd(
  { method, status, transferEncoding, contentLength }: AnswerFraming,
): boolean {
  const hasNoBody = method === "HEAD" || status === 204 || status === 304;
  if (hasNoBody) return true;
  return transferEncoding === undefined
    ? contentLength !== undefined
    : CHUNKED_LAST.test(transferEncoding);
}
