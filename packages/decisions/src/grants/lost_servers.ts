/** Detects lost servers by the votes of the VMs that renew their grants. */
import type * as contracts from "@guavatide/contracts";

/** A lost server gets no new range for this time. */
const QUARANTINE_MIN_MS = 3_000;
/**
 * Upper limit of the quarantine, which doubles with each further loss: a server
 * that reaches the store but not the VMs stays registered, and would be
 * assigned keys again and again.
 */
const QUARANTINE_MAX_MS = 24_000;
/** A loss is forgotten after this time. */
const LOSS_TTL_MS = 60_000;

interface Loss {
  /** When all its renewers last reported it as unresponsive. */
  lastMs: number;
  quarantineMs: number;
}

/** Counts the renewers' votes and keeps lost servers in quarantine. */
export class LostServers {
  readonly #unresponsiveByVm = new Map<contracts.VmId, ReadonlySet<string>>();
  readonly #losses = new Map<contracts.ServerId, Loss>();
  readonly #quarantined = new Set<contracts.ServerId>();

  /** Notes the servers that left a VM's grants unanswered. */
  noteUnresponsive(vm: contracts.VmId, servers: readonly string[]): void {
    this.#unresponsiveByVm.set(vm, new Set(servers));
  }

  /** Counts the votes. Returns the servers that are newly lost. */
  countVotes(
    nowMs: number,
    renewersOf: (server: contracts.ServerId) => readonly contracts.VmId[],
  ): contracts.ServerId[] {
    const newlyLost: contracts.ServerId[] = [];
    const reported = new Set(
      [...this.#unresponsiveByVm.values()].flatMap((names) => [...names]),
    );
    for (const name of reported) {
      const server = name as contracts.ServerId;
      const renewers = renewersOf(server);
      // One broken path is no loss: every renewer has to report the server.
      const isUnresponsive = renewers.length > 0 &&
        renewers.every((vm) =>
          this.#unresponsiveByVm.get(vm)?.has(name) ?? false
        );
      if (!isUnresponsive) continue;
      if (!this.#quarantined.has(server)) newlyLost.push(server);
      this.#noteLoss(server, nowMs);
    }
    for (const [server, { lastMs, quarantineMs }] of this.#losses) {
      if (nowMs - lastMs > quarantineMs) this.#quarantined.delete(server);
      if (nowMs - lastMs > LOSS_TTL_MS) this.#losses.delete(server);
    }
    return newlyLost;
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

  /** Whether a server is lost or still in quarantine after a loss. */
  isQuarantined(server: contracts.ServerId): boolean {
    return this.#quarantined.has(server);
  }
}
