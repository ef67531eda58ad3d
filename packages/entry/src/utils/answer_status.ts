/** Status codes of answers: those of RFC 9110, section 15, and no others. */

const MIN_INTERIM_STATUS = 100;
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** Whether another answer to the same request follows. */
export function isInterimStatus(status: number): boolean {
  return status >= MIN_INTERIM_STATUS && status < MIN_FINAL_STATUS;
}

/** Whether an answer may have the status. HTTP parsers take in any number. */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}

/** A server has sent a status that is none of HTTP. */
export class InvalidStatusError extends Error {
  /** undici fails no request with it but the one that was answered. */
  readonly code = "UND_ERR_SOCKET";

  constructor(status: number) {
    super(`The answer has the status ${status}, which is none of HTTP`);
  }
}
