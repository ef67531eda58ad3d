import * as undici from "undici";

/** How undici describes an answer while no call was waiting for one. */
const UNASKED_ANSWER = "bad response";
/** How its parser describes the end of a connection within an answer. */
const TRUNCATED_ANSWER = /EOF/;

/**
 * Whether undici ended a connection for what the server sent: bytes that are no
 * answer, or an answer while no call was waiting for one.
 */
export function isUnexpectedBytes(error: Error): boolean {
  return error instanceof undici.errors.HTTPParserError
    ? !TRUNCATED_ANSWER.test(error.message)
    : error.message === UNASKED_ANSWER;
}
