/** How undici describes an answer while no call was waiting for one. */
const UNASKED_ANSWER = "bad response";
/** Name of the errors of its parser; the bundle leaves out their class. */
const PARSER_ERROR = "HTTPParserError";
/** How the parser describes the end of a connection within an answer. */
const TRUNCATED_ANSWER = /EOF/;

/**
 * Whether undici ended a connection for what the server sent: bytes that are no
 * answer, or an answer while no call was waiting for one.
 */
export function isUnexpectedBytes({ name, message }: Error): boolean {
  return name === PARSER_ERROR
    ? !TRUNCATED_ANSWER.test(message)
    : message === UNASKED_ANSWER;
}
