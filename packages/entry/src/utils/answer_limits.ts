/**
 * Limits of what a server may send for an answer. The HTTP parser bounds header
 * fields only: it takes in interim answers, empty lines and chunk extensions for
 * as long as they come.
 */
import type * as net from "node:net";
import { InvalidStatusError } from "./answer_status.ts";

/** Limit of the heads of an answer and its interim ones, and of empty lines. */
const MAX_OVERHEAD_BYTES = 65_536;
/** Framing that a byte of a small body accounts for; a chunk of one has five. */
const SMALL_BODY_FRAMING_PER_BYTE = 8;
const MAX_SMALL_BODY_FRAMING_BYTES = 1_048_576;
/**
 * A body may begin with this many bytes in chunks of any size. Each chunk takes
 * processor time: 180,000 chunks of 16 bytes took up to 0.3 s.
 */
const SMALL_BODY_BYTES = 204_800;
/** The same beyond that; lines of text may come in a chunk of 48 bytes each. */
const FRAMING_PER_BYTE = 1 / 8;
/** Chunks of a few bytes may come at this rate for as long as an answer lasts. */
const FRAMING_BYTES_PER_MS = 64;
/**
 * Bytes that are parsed at a time. In a head that is too long, undici creates an
 * error for each further field: 64 kB took it 100 to 240 ms.
 */
const MAX_READ_BYTES = 4_096;
/** The same for a body that is not small; trailers may follow it. */
const MAX_BODY_READ_BYTES = 16_384;
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
  return isMalformed(error) || isTooLarge(error) ||
    error instanceof InvalidStatusError;
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
  readonly #nowMs: () => number;
  /** Received since the last request was sent, without bytes of bodies. */
  #overheadBytes = 0;
  #bodyBytes = 0;
  /** Part of the overhead that doesn't count towards the limit. */
  #allowedBytes = 0;
  #checkedMs = 0;

  /** `nowMs` is a monotonic time in milliseconds. */
  constructor(nowMs: () => number = () => performance.now()) {
    this.#nowMs = nowMs;
  }

  /**
   * Resets a new connection once the limit is exceeded. undici parses each chunk
   * before it reads the next one, so bytes of a body are known by then.
   */
  watch(socket: net.Socket): void {
    this.startAnswer();
    const read = socket.read.bind(socket);
    socket.read = (size) => {
      if (this.isExceeded()) {
        const message = "The server sends too many bytes that are no body";
        socket.destroy(new AnswerTooLargeError(message));
        return null;
      }
      // The parser goes on to the end of what it was given.
      if (socket.destroyed) return null;
      const maxBytes = this.#bodyBytes > SMALL_BODY_BYTES
        ? MAX_BODY_READ_BYTES
        : MAX_READ_BYTES;
      const chunk = read(socket.readableLength > maxBytes ? maxBytes : size);
      if (chunk !== null) this.addReceived(chunk.length);
      return chunk;
    };
  }

  /** A request is sent, and its answer has limits of its own. */
  startAnswer(): void {
    this.#overheadBytes = 0;
    this.#bodyBytes = 0;
    this.#allowedBytes = 0;
    this.#checkedMs = this.#nowMs();
  }

  /** Bytes were received, of which those of a body are added below. */
  addReceived(bytes: number): void {
    this.#overheadBytes += bytes;
  }

  /** Bytes of a body were received. */
  addBody(bytes: number): void {
    this.#overheadBytes -= bytes;
    this.#bodyBytes += bytes;
  }

  /** Whether all that was received, and parsed, is more than an answer may have. */
  isExceeded(): boolean {
    const nowMs = this.#nowMs();
    const sinceMs = nowMs - this.#checkedMs;
    this.#checkedMs = nowMs;
    if (this.#bodyBytes <= SMALL_BODY_BYTES) {
      this.#allowedBytes = Math.min(
        this.#overheadBytes,
        this.#bodyBytes * SMALL_BODY_FRAMING_PER_BYTE,
        MAX_SMALL_BODY_FRAMING_BYTES,
      );
      return this.#overheadBytes - this.#allowedBytes > MAX_OVERHEAD_BYTES;
    }
    const countedBytes = Math.max(
      0,
      this.#overheadBytes - this.#allowedBytes -
        this.#bodyBytes * FRAMING_PER_BYTE,
    );
    if (countedBytes > MAX_OVERHEAD_BYTES) return true;
    this.#allowedBytes += Math.min(
      countedBytes,
      sinceMs * FRAMING_BYTES_PER_MS,
    );
    return false;
  }
}
