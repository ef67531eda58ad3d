/**
 * Limits of what a server may send for an answer. The HTTP parser bounds header
 * fields only: it takes in interim answers, empty lines and chunk extensions for
 * as long as they come.
 */
import type * as net from "node:net";

/** Limit of the heads of an answer and its interim ones, and of empty lines. */
const MAX_OVERHEAD_BYTES = 65_536;
/** Framing that a byte of a body accounts for; a chunk of one byte has five. */
const FRAMING_PER_BODY_BYTE = 8;
/**
 * Limit of the framing of a body. Each chunk takes processor time: 8 MB in
 * chunks of 16 bytes took up to a second.
 */
const MAX_FRAMING_BYTES = 1_048_576;
const TOO_LARGE_CODES: ReadonlySet<unknown> = new Set([
  "UND_ERR_HEADERS_OVERFLOW",
  "UND_ERR_RES_EXCEEDED_MAX_SIZE",
]);
/** Name of the parser's errors; the bundle leaves out their class. */
const PARSER_ERROR = "HTTPParserError";
/** How the parser describes the end of a connection within an answer. */
const TRUNCATED_ANSWER = /EOF/;
/** How undici describes an answer while no call was waiting for one. */
const UNREQUESTED_ANSWER = "bad response";

/** A server has sent more than an answer may have. */
export class AnswerTooLargeError extends Error {
  /** undici fails no request with it but the one that was answered. */
  readonly code = "UND_ERR_SOCKET";
}

/** Whether a request failed because its answer exceeds a limit. */
export function isTooLarge(error: Error): boolean {
  return error instanceof AnswerTooLargeError ||
    TOO_LARGE_CODES.has((error as NodeJS.ErrnoException).code);
}

/** Whether a request failed because the bytes received are no answer. */
export function isBadAnswer(error: Error): boolean {
  return isMalformed(error) || isTooLarge(error);
}

/**
 * Whether a connection ended for what the server sent: bytes that are no answer
 * or too many, or an answer while no call was waiting for one.
 */
export function isUnexpectedBytes(error: Error): boolean {
  return isBadAnswer(error) || error.message === UNREQUESTED_ANSWER;
}

function isMalformed({ name, message }: Error): boolean {
  return name === PARSER_ERROR && !TRUNCATED_ANSWER.test(message);
}

/**
 * Limits what a connection receives besides the bodies of its answers. It goes
 * on with the next connection of the same client.
 */
export class OverheadLimit {
  /** Received since the last request was sent, without bytes of bodies. */
  #overheadBytes = 0;
  #bodyBytes = 0;

  /**
   * Resets a new connection once the limit is exceeded. undici parses each chunk
   * before it reads the next one, so bytes of a body are known by then.
   */
  watch(socket: net.Socket): void {
    this.startAnswer();
    const read = socket.read.bind(socket);
    socket.read = (size) => {
      if (this.#isExceeded) {
        const message = "The server sends too many bytes that are no body";
        socket.destroy(new AnswerTooLargeError(message));
        return null;
      }
      const chunk = read(size);
      if (chunk !== null) this.#overheadBytes += chunk.length;
      return chunk;
    };
  }

  /** A request is sent, and its answer has limits of its own. */
  startAnswer(): void {
    this.#overheadBytes = 0;
    this.#bodyBytes = 0;
  }

  /** Bytes of a body were received. */
  addBody(bytes: number): void {
    this.#overheadBytes -= bytes;
    this.#bodyBytes += bytes;
  }

  get #isExceeded(): boolean {
    if (this.#overheadBytes <= MAX_OVERHEAD_BYTES) return false;
    const framingBytes = Math.min(
      this.#bodyBytes * FRAMING_PER_BODY_BYTE,
      MAX_FRAMING_BYTES,
    );
    return this.#overheadBytes > MAX_OVERHEAD_BYTES + framingBytes;
  }
}
