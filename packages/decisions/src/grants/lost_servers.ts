/** Servers that all who renew them find silent. */
import type * as contracts from "@guavatide/contracts";

/** A server that left a grant unanswered gets no new range for a while. */
const REST_MS = 3_000;

/** Votes on silent servers, and those lost by them. */
export class LostServers {
  readonly #told = new Map<contracts.VmId, ReadonlySet<string>>();
  readonly #lostMs = new Map<contracts.ServerId, number>();

  /** A VM told which servers leave its grants unanswered. */
  noteSilent(vm: contracts.VmId, servers: readonly string[]): void {
    this.#told.set(vm, new Set(servers));
  }

  /** Counts the votes. Returns servers that are newly lost. */
  count(
    nowMs: number,
    renewersOf: (server: contracts.ServerId) => readonly contracts.VmId[],
  ): contracts.ServerId[] {
    const newly: contracts.ServerId[] = [];
    const named = new Set([...this.#told.values()].flatMap((it) => [...it]));
    for (const name of named) {
      const server = name as contracts.ServerId;
      const renewers = renewersOf(server);
      // One slow way moves nothing: every renewer has to find it silent.
      const isSilent = renewers.length > 0 &&
        renewers.every((vm) => this.#told.get(vm)?.has(name) ?? false);
      if (!isSilent) continue;
      if (!this.#lostMs.has(server)) newly.push(server);
      this.#lostMs.set(server, nowMs);
    }
    for (const [server, lostMs] of this.#lostMs) {
      if (nowMs - lostMs > REST_MS) this.#lostMs.delete(server);
    }
    return newly;
  }

  /** Whether a server is lost, or was until a short while ago. */
  has(server: contracts.ServerId): boolean {
    return this.#lostMs.has(server);
  }
}
