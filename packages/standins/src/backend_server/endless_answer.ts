/** Bytes that a faulty backend server sends without end, until its peer closes. */
import type * as net from "node:net";

const REPEATED_BYTES = 65_536;
/** More than any answer that a caller accepts. */
const DECLARED_BYTES = 90_000_000_000;

/** What the bytes look like, and what part of an answer never ends. */
export type EndlessShape =
  | "a header line"
  | "header lines"
  | "interim answers"
  | "empty lines before an answer"
  | "a chunk extension"
  | "trailers"
  | "a chunked body"
  | "a body without length"
  | "a body of declared length"
  | "text that is no answer"
  | "more answers after a whole one";

interface EndlessBytes {
  readonly first: string;
  readonly repeated: string;
}

/** Bytes by their shape; `headers` are the lines of a valid answer's head. */
function createBytes(headers: string): Record<EndlessShape, EndlessBytes> {
  const head = `HTTP/1.1 200 OK\r\n${headers}`;
  const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;
  const whole = `${head}Content-Length: 2\r\n\r\n{}`;
  return {
    "a header line": { first: `${head}X-Long: `, repeated: "a" },
    "header lines": { first: head, repeated: "X-More: a\r\n" },
    "interim answers": {
      first: "",
      repeated: "HTTP/1.1 102 Processing\r\n\r\n",
    },
    "empty lines before an answer": { first: "", repeated: "\r\n" },
    "a chunk extension": { first: `${chunked}2;long=`, repeated: "a" },
    "trailers": {
      first: `${chunked}2\r\n{}\r\n0\r\n`,
      repeated: "X-More: a\r\n",
    },
    "a chunked body": {
      first: chunked,
      repeated: "10\r\n0123456789abcdef\r\n",
    },
    "a body without length": { first: `${head}\r\n`, repeated: "a" },
    "a body of declared length": {
      first: `${head}Content-Length: ${DECLARED_BYTES}\r\n\r\n`,
      repeated: "a",
    },
    "text that is no answer": { first: "", repeated: "not an answer\n" },
    "more answers after a whole one": { first: whole, repeated: whole },
  };
}

/** All shapes. */
export const ENDLESS_SHAPES = Object.keys(createBytes("")) as EndlessShape[];

/** What was sent, and how the peer ended it. */
export interface EndlessTransfer {
  /** Bytes that this process has passed on; some may be in system buffers. */
  readonly sentBytes: number;
  readonly isReset: boolean;
}

/** Options of {@link sendWithoutEnd}. */
export interface EndlessOptions {
  readonly shape: EndlessShape;
  /** Header lines of a valid answer, each with its line end; none by default. */
  readonly headers?: string;
}

/**
 * Sends bytes as fast as the peer takes them in, until the connection ends.
 * Never rejects.
 */
export function sendWithoutEnd(
  socket: net.Socket,
  { shape, headers = "" }: EndlessOptions,
): Promise<EndlessTransfer> {
  const { first, repeated } = createBytes(headers)[shape];
  const block = Buffer.from(
    repeated.repeat(Math.ceil(REPEATED_BYTES / repeated.length)),
  );
  let isReset = false;
  const send = () => {
    // A turn of the event loop between blocks, which others may need.
    if (socket.writable && socket.write(block)) setImmediate(send);
  };
  socket.on("drain", send);
  socket.once("error", ({ code }: NodeJS.ErrnoException) => {
    isReset = code === "ECONNRESET" || code === "EPIPE";
  });
  const ended = new Promise<EndlessTransfer>((resolve) =>
    socket.once(
      "close",
      () => resolve({ sentBytes: socket.bytesWritten, isReset }),
    )
  );
  socket.write(first);
  send();
  return ended;
}
