/** Paths whose servers lately gave answers without a length. */
import type * as http from "node:http";

/** A server keeps its way of framing answers until another version runs. */
const REMEMBER_MS = 60_000;
const MAX_PATHS = 64;

/** A bounded memory of hosts and first path segments. */
export class UnlengthedPaths {
  /** When each path is forgotten, the oldest first. */
  readonly #untilMs = new Map<string, number>();

  note(incoming: http.IncomingMessage, nowMs: number): void {
    const path = pathOf(incoming);
    this.#untilMs.delete(path);
    this.#untilMs.set(path, nowMs + REMEMBER_MS);
    if (this.#untilMs.size <= MAX_PATHS) return;
    const [oldest] = this.#untilMs.keys();
    this.#untilMs.delete(oldest!);
  }

  has(incoming: http.IncomingMessage, nowMs: number): boolean {
    if (this.#untilMs.size === 0) return false;
    return nowMs < (this.#untilMs.get(pathOf(incoming)) ?? 0);
  }
}

function pathOf({ headers, url }: http.IncomingMessage): string {
  return `${headers.host ?? ""}/${(url ?? "/").split("/", 2)[1] ?? ""}`;
}
