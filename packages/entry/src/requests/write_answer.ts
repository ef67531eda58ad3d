/** Writes the answer to a request as an HTTP response. */
import * as contracts from "@guavatide/contracts";
import * as http from "node:http";
import type { CallerAnswer, ServerAnswer } from "./caller_request.ts";

/** HTTP status for each reason why a request was not run. */
const NOT_RUN_STATUS: Readonly<Record<contracts.NotRunReason, number>> = {
  "unknown-service": 404,
  "bad-request": 400,
  "no-owner": 503,
  "no-server": 503,
  "queue-full": 503,
  "caller-limit": 429,
  "deadline-before-send": 503,
  "refused-by-server": 503,
  "not-connected": 503,
  "retry-budget": 503,
  "crashes-servers": 503,
  "shutting-down": 503,
};

/** HTTP status for each reason why a request's outcome is unknown. */
const UNKNOWN_STATUS: Readonly<Record<contracts.UnknownReason, number>> = {
  "timeout-after-send": 504,
  "connection-lost": 502,
  "bad-answer": 502,
};

/** Options of {@link writeAnswer}. */
export interface WriteAnswerOptions {
  /** Whether to close the connection after this answer. */
  readonly mustClose: boolean;
}

/** Writes the answer and ends the response. */
export function writeAnswer(
  response: http.ServerResponse,
  answer: CallerAnswer,
  options: WriteAnswerOptions,
): void {
  if (options.mustClose) response.shouldKeepAlive = false;
  if (answer.kind === "answered") {
    writeServerAnswer(response, answer.answer);
    return;
  }
  const isNotRun = answer.kind === "not-run";
  const headers: http.OutgoingHttpHeaders = {
    "content-type": "application/json",
    [contracts.OUTCOME_HEADER]: answer.kind,
    [contracts.REASON_HEADER]: answer.reason,
  };
  if (isNotRun) {
    headers["retry-after"] = String(Math.ceil(answer.retryAfterMs / 1000));
  }
  const status = isNotRun
    ? answer.status ?? NOT_RUN_STATUS[answer.reason]
    : UNKNOWN_STATUS[answer.reason];
  const { kind: outcome, reason, message } = answer;
  const body = JSON.stringify({ outcome, reason, message });
  headers["content-length"] = Buffer.byteLength(body);
  response.writeHead(status, headers).end(body);
}

function writeServerAnswer(
  response: http.ServerResponse,
  answer: ServerAnswer,
): void {
  const headers = [...answer.headers, contracts.OUTCOME_HEADER, "answered"];
  const hasBody = answer.status !== 204 && answer.status !== 304;
  if (hasBody) headers.push("content-length", String(answer.body.length));
  response.writeHead(answer.status, headers).end(answer.body);
}

/** Serializes an empty HTTP response to a request that could not be parsed. */
export function rawErrorResponse(
  status: number,
  headers: Readonly<Record<string, string>>,
): string {
  const lines = [`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`];
  for (const [name, value] of Object.entries(headers)) {
    lines.push(`${name}: ${value}`);
  }
  lines.push("Content-Length: 0", "Connection: close", "", "");
  return lines.join("\r\n");
}
