/** Answers that end before they are whole, for tests of their receivers. */
import * as net from "node:net";

/** How an answer's end is told, and what comes before it. */
export type AnswerShape =
  | "declared length"
  | "declared length, then close"
  | "chunks"
  | "chunks and trailers"
  | "chunks, then close"
  | "HTTP/1.0 with length"
  | "interim answer first"
  | "two interim answers first"
  | "end of the connection"
  | "end of the connection, unannounced"
  | "HTTP/1.0 without length"
  | "interim answer, then end of the connection"
  | "transfer coding identity"
  | "transfer coding gzip"
  | "transfer coding chunked before gzip"
  | "empty transfer coding";

/** How a server ends a connection. */
export type ConnectionEnd =
  | "close"
  | "reset"
  /** Both arrive before the receiver reads: its event loop gets one event. */
  | "reset with the last bytes"
  /** It sends no more and goes on reading. */
  | "half close"
  | "silence, then close";

/** All ways of {@link ConnectionEnd}. */
export const CONNECTION_ENDS: readonly ConnectionEnd[] = [
  "close",
  "reset",
  "reset with the last bytes",
  "half close",
  "silence, then close",
];

/** Longer than bytes take to arrive over loopback; a reset discards them. */
const RESET_DELAY_MS = 4;
const SILENCE_MS = 20;
/** Head of a request; its body may come as separate bytes. */
const REQUEST_HEAD = /^(?:GET|PUT|POST|DELETE) /;

/** Parts of a whole answer. */
export interface AnswerParts {
  /** Header lines, each with its line end; none by default. */
  readonly headers?: string;
  readonly body: string;
  /** Status code and reason; `200 OK` by default. */
  readonly status?: string;
}

/** Whole answers with the same content, by shape. */
export function createAnswers(
  { headers = "", body, status = "200 OK" }: AnswerParts,
): Record<AnswerShape, string> {
  const lines = `${status}\r\n${headers}`;
  const head = `HTTP/1.1 ${lines}`;
  const length = `content-length: ${Buffer.byteLength(body)}\r\n`;
  const half = Math.ceil(body.length / 2);
  const parts = [body.slice(0, half), body.slice(half)]
    .filter((part) => part !== "");
  const chunks = parts
    .map((part) => `${Buffer.byteLength(part).toString(16)}\r\n${part}\r\n`)
    .join("");
  const chunked = "transfer-encoding: chunked\r\n";
  const interim = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
  const coded = (coding: string) =>
    `${head}transfer-encoding: ${coding}\r\n\r\n${body}`;
  return {
    "declared length": `${head}${length}\r\n${body}`,
    "declared length, then close":
      `${head}connection: close\r\n${length}\r\n${body}`,
    "chunks": `${head}${chunked}\r\n${chunks}0\r\n\r\n`,
    "chunks and trailers":
      `${head}${chunked}trailer: x-end\r\n\r\n${chunks}0\r\nx-end: 1\r\n\r\n`,
    "chunks, then close":
      `${head}connection: close\r\n${chunked}\r\n${chunks}0\r\n\r\n`,
    "HTTP/1.0 with length": `HTTP/1.0 ${lines}${length}\r\n${body}`,
    "interim answer first": `${interim}${head}${length}\r\n${body}`,
    "two interim answers first":
      `HTTP/1.1 102 Processing\r\n\r\n${interim}${head}${chunked}\r\n` +
      `${chunks}0\r\n\r\n`,
    "end of the connection": `${head}connection: close\r\n\r\n${body}`,
    "end of the connection, unannounced": `${head}\r\n${body}`,
    "HTTP/1.0 without length": `HTTP/1.0 ${lines}\r\n${body}`,
    "interim answer, then end of the connection":
      `${interim}${head}connection: close\r\n\r\n${body}`,
    "transfer coding identity": coded("identity"),
    "transfer coding gzip": coded("gzip"),
    "transfer coding chunked before gzip": coded("chunked, gzip"),
    "empty transfer coding": coded(""),
  };
}

/** All shapes. */
export const ANSWER_SHAPES = Object.keys(
  createAnswers({ body: "" }),
) as AnswerShape[];

/** Shapes of which only the end of the connection tells that they are whole. */
export const UNLENGTHED_SHAPES: ReadonlySet<AnswerShape> = new Set(
  ANSWER_SHAPES.slice(ANSWER_SHAPES.indexOf("end of the connection")),
);

/** One answer that ends early. */
export interface AnswerCut {
  readonly shape: AnswerShape;
  /** The bytes that are sent. */
  readonly text: string;
  readonly end: ConnectionEnd;
  /** Whether the connection has carried a whole answer before. */
  readonly isReused: boolean;
  readonly isWhole: boolean;
  /**
   * Whether its head is whole and its body has no end of its own: a close after
   * any part of it looks like a whole answer.
   */
  readonly isOpenEnded: boolean;
}

/** Options of {@link createCuts}. */
export interface CutOptions {
  /** All shapes by default. */
  readonly shapes?: readonly AnswerShape[];
  /** Cuts after each so many bytes, and beside line ends and digits; 1 by default. */
  readonly strideBytes?: number;
}

/** Answers cut after their bytes, ended in each way, on new and used connections. */
export function createCuts(
  parts: AnswerParts,
  { shapes = ANSWER_SHAPES, strideBytes = 1 }: CutOptions = {},
): AnswerCut[] {
  const answers = createAnswers(parts);
  const cuts: AnswerCut[] = [];
  for (const shape of shapes) {
    const whole = answers[shape];
    const finalHead = whole.lastIndexOf("HTTP/1.");
    const headEnd = whole.indexOf("\r\n\r\n", finalHead) + 4;
    for (let bytes = 0; bytes <= whole.length; bytes++) {
      const isBoundary = /[\r\n\d]/.test(whole.slice(bytes - 1, bytes + 1));
      const isWhole = bytes === whole.length;
      if (bytes % strideBytes !== 0 && !isBoundary && !isWhole) continue;
      for (const end of CONNECTION_ENDS) {
        for (const isReused of [false, true]) {
          cuts.push({
            shape,
            text: whole.slice(0, bytes),
            end,
            isReused,
            isWhole,
            isOpenEnded: UNLENGTHED_SHAPES.has(shape) && bytes >= headEnd &&
              !isReset(end),
          });
        }
      }
    }
  }
  return cuts;
}

/** Whether a receiver may lose bytes that were sent before. */
export function isReset(end: ConnectionEnd): boolean {
  return end === "reset" || end === "reset with the last bytes";
}

/** Sends part of an answer and ends the connection. */
export function sendCut(
  socket: net.Socket,
  { text, end }: Pick<AnswerCut, "text" | "end">,
): void {
  if (text !== "") socket.write(text, "latin1");
  switch (end) {
    case "close":
      return socket.destroySoon();
    case "reset":
      setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
      return;
    case "reset with the last bytes":
      socket.resetAndDestroy();
      return;
    case "half close":
      socket.end();
      return;
    case "silence, then close":
      setTimeout(() => socket.destroySoon(), SILENCE_MS);
      return;
  }
}

/** A server that answers by a function, and keeps half-closed connections. */
export class RawServer {
  readonly #sockets = new Set<net.Socket>();
  readonly #server: net.Server;

  /** `answer` gets the bytes of each request's head, counted by connection. */
  constructor(
    answer: (socket: net.Socket, head: string, requestsBefore: number) => void,
  ) {
    this.#server = net.createServer({ allowHalfOpen: true }, (socket) => {
      let requests = 0;
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
      socket.on("error", () => {});
      socket.on("end", () => socket.end());
      socket.on("data", (bytes) => {
        const head = bytes.toString("latin1");
        if (REQUEST_HEAD.test(head)) answer(socket, head, requests++);
      });
    });
  }

  /** Listens on a free port of the loopback address, and returns it. */
  async listen(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return (this.#server.address() as net.AddressInfo).port;
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}

/** Starts a server that cuts its answer off, after a whole one where asked for. */
export async function withCutServer<Result>(
  cut: AnswerCut,
  whole: AnswerParts,
  run: (port: number) => Promise<Result>,
): Promise<Result> {
  const first = createAnswers(whole)["declared length"];
  const server = new RawServer((socket, _head, requestsBefore) => {
    if (cut.isReused && requestsBefore === 0) socket.write(first, "latin1");
    else sendCut(socket, cut);
  });
  const port = await server.listen();
  try {
    return await run(port);
  } finally {
    server.close();
  }
}

const CONCURRENT_CUTS = 24;

/** Tries all cuts; `receive` tells what is wrong with an outcome, if anything. */
export async function findFaults(
  cuts: readonly AnswerCut[],
  receive: (cut: AnswerCut) => Promise<string | undefined>,
): Promise<string[]> {
  const faults: string[] = [];
  const left = [...cuts];
  const work = async () => {
    for (let cut = left.pop(); cut !== undefined; cut = left.pop()) {
      const fault = await receive(cut);
      if (fault !== undefined) faults.push(`${describeCut(cut)}: ${fault}`);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CUTS }, work));
  return faults.sort();
}

function describeCut({ shape, text, end, isReused }: AnswerCut): string {
  const connection = isReused ? "used" : "new";
  return `${shape}, ${end} on a ${connection} connection after ${
    JSON.stringify(text.slice(-30))
  } (${text.length} bytes)`;
}
