/**
 * One client connection: runs several of its requests at once, and writes their
 * answers in the order of the requests.
 */
import type * as http from "node:http";
import type * as net from "node:net";
import { resetSocket } from "../../utils/reset_socket.ts";
import type { FrontAnswer } from "./front_request.ts";

/** A request of a connection, from its headers to the end of its answer. */
export interface OpenRequest {
  readonly incoming: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly readMs: number;
  /** Whether it is the first one of its connection. */
  readonly isFirst: boolean;
  /** Aborted when the caller disconnects. */
  readonly abort: AbortController;
  /**
   * Aborted when the rest of the body can't be read, with {@link STALLED} as
   * the reason when the client has stopped sending.
   */
  readonly bodyAbort: AbortController;
  /** Notes that bytes of the body or of the answer have moved. */
  readonly noteProgress: () => void;
}

/** Reason why a body is given up: its client has stopped sending. */
export const STALLED = "stalled";

/** Decisions of a connection that are counted. */
export type ConnectionEvent =
  /** A request behind an answer that closes was not forwarded. */
  | "request-not-read"
  /** An answer without a length was replaced, as others followed it. */
  | "unlengthed-answer"
  /** A body waited for room before it was read. */
  | "body-waited"
  /** A request was refused before its body was read, for lack of room. */
  | "body-refused"
  /** A connection was closed: its client did not read its answers. */
  | "slow-reader"
  /** A request was refused: its client did not send its body. */
  | "slow-sender";

/** Options of {@link FrontConnection}. */
export interface FrontConnectionOptions {
  readonly nowMs: () => number;
  readonly isStopping: () => boolean;
  /** Whether requests to this path may get answers without a length. */
  readonly isUnlengthed: (incoming: http.IncomingMessage) => boolean;
  readonly noteUnlengthed: (incoming: http.IncomingMessage) => void;
  readonly run: (request: OpenRequest) => Promise<FrontAnswer>;
  readonly write: (
    request: OpenRequest,
    answer: FrontAnswer,
    mustClose: boolean,
  ) => void;
  /** Counts bytes of answers that are not written yet. */
  readonly addAnswerBytes: (bytes: number) => void;
  /** With more bytes than this to be written, no further request begins. */
  readonly unwrittenLimitBytes: number;
  /** A request was read. */
  readonly onOpen: () => void;
  /** It was answered, dropped, or its caller has gone. */
  readonly onEnd: () => void;
  readonly onDisconnect: (request: OpenRequest) => void;
  readonly onError: (error: unknown) => void;
  readonly count: (event: ConnectionEvent) => void;
}

interface Entry extends OpenRequest {
  isBegun: boolean;
  isWritten: boolean;
  answer: FrontAnswer | undefined;
  /** Bytes of the answer's body. */
  answerBytes: number;
}

/**
 * Requests of one connection that are handled at once; the rest waits. Clients
 * pipeline a few requests; more would occupy servers that others need.
 */
const MAX_BEGUN = 8;
/** With more requests than this, the connection is not read. */
const MAX_OPEN = 16;
/**
 * Time for which a closing connection reads and discards what the client still
 * sends: closing with unread data resets the connection, which destroys answers
 * that the client has not read yet.
 */
const LINGER_MS = 2_000;

/** The requests of one client connection. */
export class FrontConnection {
  readonly #socket: net.Socket;
  readonly #options: FrontConnectionOptions;
  /** Requests that are read and not answered; those that began come first. */
  readonly #open: Entry[] = [];
  /** Nothing begins any more; the last answer closes the connection. */
  #isClosing = false;
  #isLingering = false;
  #isGone = false;
  #isPaused = false;
  /** Whether a request was read. */
  #hasRead = false;
  /** Whether an answer without a length is being written. */
  #isOpenEnded = false;
  /** Whether bytes have come that are no request. */
  #isBroken = false;
  /** When bytes of a body or of an answer last moved. */
  #progressMs = Number.NEGATIVE_INFINITY;
  /** False once the client has sent all that it announced. */
  #maySendMore = true;

  constructor(socket: net.Socket, options: FrontConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    socket.once("end", () => this.#onDisconnect());
    socket.once("close", () => this.#onDisconnect());
    const destroy = socket.destroy.bind(socket);
    // A close would look like the end of an answer without a length.
    socket.destroy = (error) => {
      if (!this.#isOpenEnded) return destroy(error);
      this.#isOpenEnded = false;
      return resetSocket(socket);
    };
    const destroySoon = socket.destroySoon.bind(socket);
    // Node's server calls this after an answer that closes the connection.
    socket.destroySoon = () => {
      if (this.#maySendMore) this.#linger();
      else destroySoon();
    };
  }

  /** Adds a request whose headers were read. */
  add(incoming: http.IncomingMessage, response: http.ServerResponse): void {
    if (this.#isClosing || this.#isGone) return this.#drop(incoming);
    this.#open.push({
      incoming,
      response,
      readMs: this.#options.nowMs(),
      isFirst: !this.#hasRead,
      abort: new AbortController(),
      bodyAbort: new AbortController(),
      noteProgress: () => this.#progressMs = this.#options.nowMs(),
      isBegun: false,
      isWritten: false,
      answer: undefined,
      answerBytes: 0,
    });
    this.#hasRead = true;
    this.#options.onOpen();
    this.#beginNext();
    if (this.#open.length < MAX_OPEN) return;
    this.#isPaused = true;
    this.#socket.pause();
  }

  /**
   * Nothing more can be read. Answers what was forwarded, then closes; closes
   * at once if there is nothing.
   */
  breakOff(): void {
    this.#isBroken = true;
    const last = this.#open.at(-1);
    if (last?.incoming.complete === false) last.bodyAbort.abort();
    if (this.#isClosing) return;
    this.#stopBeginning();
    if (this.#open.length === 0) this.#socket.destroy();
  }

  /** Closes the connection if it has no request. */
  closeIfIdle(): void {
    if (this.#open.length > 0 || this.#isGone) return;
    this.#isClosing = true;
    this.#linger();
  }

  /**
   * Gives up what the client has neither read nor sent since `sinceMs`, which
   * frees the bytes that are held for it.
   */
  endStalled(sinceMs: number): void {
    if (this.#open.length === 0 || this.#progressMs > sinceMs) return;
    if (this.#open[0]!.isWritten) {
      this.#options.count("slow-reader");
      this.#socket.destroy();
      return;
    }
    const last = this.#open.at(-1)!;
    const isSending = last.isBegun && last.answer === undefined &&
      !last.incoming.complete && !last.bodyAbort.signal.aborted;
    if (!isSending) return;
    this.#options.count("slow-sender");
    last.bodyAbort.abort(STALLED);
  }

  #beginNext(): void {
    let begun = 0;
    let unwrittenBytes = 0;
    let last: Entry | undefined;
    for (const entry of [...this.#open]) {
      if (!entry.isBegun) {
        const mayFollow = last === undefined ||
          (begun < MAX_BEGUN &&
            unwrittenBytes < this.#options.unwrittenLimitBytes &&
            !this.#options.isUnlengthed(last.incoming));
        if (!mayFollow) return;
        // One more request would delay the end of the connection.
        if (begun > 0 && this.#options.isStopping()) {
          return this.#stopBeginning();
        }
        this.#begin(entry);
      }
      begun++;
      unwrittenBytes += entry.answerBytes;
      last = entry;
    }
  }

  #begin(entry: Entry): void {
    entry.isBegun = true;
    this.#options.run(entry).then((answer) => {
      entry.answer = answer;
      this.#holdAnswer(entry, answer);
      this.#writeNext();
    }).catch((error) => {
      this.#options.onError(error);
      this.#socket.destroy();
    });
  }

  #holdAnswer(entry: Entry, answer: FrontAnswer): void {
    if (answer.kind !== "passed-on" || this.#isGone) return;
    entry.answerBytes = answer.answer.body.length;
    this.#options.addAnswerBytes(entry.answerBytes);
  }

  #endEntry({ answerBytes }: Entry): void {
    this.#options.onEnd();
    if (answerBytes > 0) this.#options.addAnswerBytes(-answerBytes);
  }

  /** Drops what has not begun: the client takes it for not read. */
  #stopBeginning(): void {
    this.#isClosing = true;
    while (this.#open.at(-1)?.isBegun === false) {
      const dropped = this.#open.pop()!;
      this.#drop(dropped.incoming);
      this.#endEntry(dropped);
    }
  }

  #drop(incoming: http.IncomingMessage): void {
    if (!this.#isGone) this.#options.count("request-not-read");
    incoming.resume();
  }

  /** Writes the answer of the first request, if it is there. */
  #writeNext(): void {
    const first = this.#open[0];
    if (first?.answer === undefined || first.isWritten || this.#isGone) return;
    first.isWritten = true;
    const { incoming, response } = first;
    const answer = this.#deliverable(first, first.answer);
    const mustClose = this.#options.isStopping() || !incoming.complete ||
      !response.shouldKeepAlive || endsWithConnection(answer);
    if (mustClose) this.#stopBeginning();
    const isLast = this.#isClosing && this.#open.length === 1;
    this.#maySendMore = this.#isBroken || response.shouldKeepAlive ||
      !incoming.complete;
    this.#isOpenEnded = endsWithConnection(answer);
    response.once("finish", () => this.#finish());
    first.noteProgress();
    this.#options.write(first, answer, isLast);
  }

  /**
   * An answer that only the end of the connection delimits can't be passed on
   * while others have been forwarded behind its request.
   */
  #deliverable({ incoming }: Entry, answer: FrontAnswer): FrontAnswer {
    if (!endsWithConnection(answer)) return answer;
    this.#options.noteUnlengthed(incoming);
    if (this.#open[1]?.isBegun !== true) return answer;
    this.#options.count("unlengthed-answer");
    return {
      kind: "own",
      status: 502,
      message: "The answer has no length, and others follow on the connection",
    };
  }

  /** The answer of the first request has been written. */
  #finish(): void {
    this.#isOpenEnded = false;
    if (this.#isGone) return;
    const finished = this.#open.shift()!;
    const { incoming } = finished;
    this.#endEntry(finished);
    if (!incoming.complete) incoming.removeAllListeners("data").resume();
    if (this.#isClosing && this.#open.length === 0) return this.#linger();
    if (this.#isPaused && this.#open.length < MAX_OPEN) {
      this.#isPaused = false;
      this.#socket.resume();
    }
    if (!this.#isClosing) this.#beginNext();
    this.#writeNext();
  }

  /** Ends the connection, and discards what the client still sends. */
  #linger(): void {
    if (this.#isLingering || this.#isGone) return;
    this.#isLingering = true;
    const socket = this.#socket;
    socket.end();
    socket.resume();
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    timer.unref();
    socket.once("close", () => clearTimeout(timer));
  }

  #onDisconnect(): void {
    if (this.#isGone) return;
    this.#isGone = true;
    if (this.#isLingering) this.#socket.destroy();
    for (const entry of this.#open.splice(0)) {
      entry.abort.abort();
      this.#options.onDisconnect(entry);
      this.#endEntry(entry);
    }
  }
}

function endsWithConnection(answer: FrontAnswer): boolean {
  return answer.kind === "passed-on" &&
    answer.answer.endsWithConnection === true;
}
