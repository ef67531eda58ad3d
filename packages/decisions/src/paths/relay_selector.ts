/** Chooses the peer that sends a request to a server this VM doesn't reach. */
import type * as contracts from "@guavatide/contracts";

/** A peer that is up. */
export interface RelayPeer {
  readonly vm: contracts.VmId;
  readonly zone: contracts.ZoneId;
}

/** Options of {@link RelaySelector}. */
export interface RelaySelectorOptions {
  readonly zone: contracts.ZoneId;
  readonly random: contracts.RandomSource;
  /** Whether a peer says that it reaches the server. */
  readonly reaches: (
    vm: contracts.VmId,
    server: contracts.ServerId,
  ) => boolean;
  /** Share of work for others that a VM can take on; the same by default. */
  readonly weightOf?: (vm: contracts.VmId) => number;
}

/** What a peer's answer says of its load. */
interface ReportedLoad {
  /** Requests that it relays, of all VMs. */
  readonly relayed: number;
  /** This VM's requests at the peer when it was reported. */
  readonly own: number;
  readonly atMs: number;
}

/** A peer that declined is not asked again for this time. */
const DECLINE_PAUSE_MS = 150;
/** A peer that didn't answer is not asked again for this time. */
const LOSS_PAUSE_MS = 1_000;
const REPORT_TTL_MS = 500;
/**
 * Requests that a peer of another availability zone must have less than one of
 * the own zone.
 */
const OTHER_ZONE_PENALTY = 8;

/** The peers that relay requests for one VM. */
export class RelaySelector {
  readonly #options: RelaySelectorOptions;
  readonly #inFlight = new Map<contracts.VmId, number>();
  readonly #reports = new Map<contracts.VmId, ReportedLoad>();
  /** Until when a peer, or a peer for one server, is not asked. */
  readonly #avoidedUntilMs = new Map<string, number>();

  constructor(options: RelaySelectorOptions) {
    this.#options = options;
  }

  /** The best of the peers for a server; undefined for none. */
  choose<Peer extends RelayPeer>(
    peers: readonly Peer[],
    server: contracts.ServerId,
    nowMs: number,
  ): Peer | undefined {
    let best: Peer | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    const { weightOf = () => 1 } = this.#options;
    const strongest = Math.max(...peers.map(({ vm }) => weightOf(vm)));
    for (const peer of peers) {
      const { vm, zone } = peer;
      if (this.#isAvoided(vm, server, nowMs)) continue;
      if (!this.#options.reaches(vm, server)) continue;
      const penalty = zone === this.#options.zone ? 0 : OTHER_ZONE_PENALTY;
      // Relayed requests carry bodies, so that each peer gets as many as it
      // has the processor and the bandwidth for.
      const load = this.#load(vm, nowMs) + this.#options.random.next();
      const score = load * strongest / weightOf(vm) + penalty;
      if (score >= bestScore) continue;
      best = peer;
      bestScore = score;
    }
    return best;
  }

  /** A request goes to a peer. The returned function is called at its end. */
  start(vm: contracts.VmId): () => void {
    this.#inFlight.set(vm, this.#own(vm) + 1);
    return () => {
      const left = this.#own(vm) - 1;
      if (left > 0) this.#inFlight.set(vm, left);
      else this.#inFlight.delete(vm);
    };
  }

  /** A peer has said how many requests it relays. */
  noteLoad(vm: contracts.VmId, relayed: number, nowMs: number): void {
    this.#reports.set(vm, { relayed, own: this.#own(vm), atMs: nowMs });
  }

  /** A peer has declined; with a server, only for that one. */
  noteDecline(
    vm: contracts.VmId,
    server: contracts.ServerId | undefined,
    nowMs: number,
  ): void {
    this.#avoid(avoidanceKey(vm, server), nowMs + DECLINE_PAUSE_MS, nowMs);
  }

  /** A peer was not reached or didn't answer. */
  noteLoss(vm: contracts.VmId, nowMs: number): void {
    this.#avoid(avoidanceKey(vm), nowMs + LOSS_PAUSE_MS, nowMs);
  }

  #avoid(key: string, untilMs: number, nowMs: number): void {
    for (const [known, knownUntilMs] of this.#avoidedUntilMs) {
      if (knownUntilMs <= nowMs) this.#avoidedUntilMs.delete(known);
    }
    this.#avoidedUntilMs.set(key, untilMs);
  }

  #isAvoided(
    vm: contracts.VmId,
    server: contracts.ServerId,
    nowMs: number,
  ): boolean {
    if (this.#avoidedUntilMs.size === 0) return false;
    return [avoidanceKey(vm), avoidanceKey(vm, server)].some((key) =>
      nowMs < (this.#avoidedUntilMs.get(key) ?? Number.NEGATIVE_INFINITY)
    );
  }

  #own(vm: contracts.VmId): number {
    return this.#inFlight.get(vm) ?? 0;
  }

  #load(vm: contracts.VmId, nowMs: number): number {
    const report = this.#reports.get(vm);
    if (report === undefined) return this.#own(vm);
    if (nowMs - report.atMs >= REPORT_TTL_MS) {
      this.#reports.delete(vm);
      return this.#own(vm);
    }
    return Math.max(
      this.#own(vm),
      report.relayed + this.#own(vm) - report.own,
    );
  }
}

function avoidanceKey(
  vm: contracts.VmId,
  server?: contracts.ServerId,
): string {
  return server === undefined ? vm : `${vm} ${server}`;
}
