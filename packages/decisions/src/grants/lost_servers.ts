/** Servers that all their renewers suspect, and their quarantine. */
import type * as contracts from "@guavatide/contracts";

/** A server that left a grant unanswered gets no new range for this time. */
const QUARANTINE_MIN_MS = 3_000;
/**
 * Quarantine doubles with each loss in a row: a server that reaches the store
 * but not the VMs keeps its entry there.
 */
const QUARANTINE_MAX_MS = 24_000;
/** A loss is forgotten after this time. */
const LOSS_TTL_MS = 60_000;

interface Loss {
  /** When all renewers last suspected it. */
  lastMs: number;
  quarantineMs: number;
}

/** Votes on suspected servers, and the servers lost by them. */
export class LostServers {
  readonly #silentByVm = new Map<contracts.VmId, ReadonlySet<string>>();
  readonly #losses = new Map<contracts.ServerId, Loss>();
  readonly #quarantined = new Set<contracts.ServerId>();

  /** A VM reported which servers leave its grants unanswered. */
  noteUnresponsive(vm: contracts.VmId, servers: readonly string[]): void {
    this.#silentByVm.set(vm, new Set(servers));
  }

  /** Counts the votes. Returns servers that are newly lost. */
  countVotes(
    nowMs: number,
    renewersOf: (server: contracts.ServerId) => readonly contracts.VmId[],
  ): contracts.ServerId[] {
    const newly: contracts.ServerId[] = [];
    const named = new Set(
      [...this.#silentByVm.values()].flatMap((it) => [...it]),
    );
    for (const name of named) {
      const server = name as contracts.ServerId;
      const renewers = renewersOf(server);
      // One slow path is no loss: every renewer has to suspect the server.
      const isSilent = renewers.length > 0 &&
        renewers.every((vm) => this.#silentByVm.get(vm)?.has(name) ?? false);
      if (!isSilent) continue;
      if (!this.#quarantined.has(server)) newly.push(server);
      this.#noteLoss(server, nowMs);
    }
    for (const [server, { lastMs, quarantineMs }] of this.#losses) {
      if (nowMs - lastMs > quarantineMs) this.#quarantined.delete(server);
      if (nowMs - lastMs > LOSS_TTL_MS) this.#losses.delete(server);
    }
    return newly;
  }

  #noteLoss(server: contracts.ServerId, nowMs: number): void {
    const known = this.#losses.get(server);
    const isFirst = known === undefined ||
      nowMs - known.lastMs > LOSS_TTL_MS;
    const quarantineMs = isFirst
      ? QUARANTINE_MIN_MS
      : this.#quarantined.has(server)
      ? known.quarantineMs
      : Math.min(QUARANTINE_MAX_MS, 2 * known.quarantineMs);
    this.#losses.set(server, { lastMs: nowMs, quarantineMs });
    this.#quarantined.add(server);
  }

  /** Whether a server is lost, or was until a short while ago. */
  isQuarantined(server: contracts.ServerId): boolean {
    return this.#quarantined.has(server);
  }
}
