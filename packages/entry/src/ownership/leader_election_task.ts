/** Acquires, renews and releases the leader lease of one service. */
import * as contracts from "@guavatide/contracts";
import * as ownership from "@guavatide/decisions/ownership/mod";
import type { Logger } from "../utils/log.ts";
import type { ServiceContext } from "./service_context.ts";

/** One VM's part in electing the leader that plans a service's handovers. */
export class LeaderElectionTask {
  readonly #context: ServiceContext;
  readonly #log: Logger;
  readonly #leaderLease: ownership.LeaderLease;
  readonly #recordName: string;
  #wasLeader = false;

  constructor(context: ServiceContext) {
    this.#context = context;
    this.#log = context.log.part("duty");
    this.#recordName = `duty/${context.service}`;
    this.#leaderLease = new ownership.LeaderLease(context.peers.self, {
      ...ownership.DEFAULT_LEADER_LEASE_SETTINGS,
      leaseMs: context.timings.dutyLeaseMs,
      renewMs: context.timings.dutyRenewMs,
    });
  }

  /** Whether this VM is the leader now. */
  get isLeader(): boolean {
    return this.#leaderLease.isLeader(this.#context.clock.nowMs());
  }

  tick(nowMs: number): void {
    const { peers } = this.#context;
    const effect = this.#leaderLease.tick({
      nowMs,
      rank: () => this.#rank(),
      isLost: (vm, incarnation) => peers.isLost(vm, incarnation),
    });
    if (effect?.kind === "read") void this.#read();
    if (effect?.kind === "write") void this.#write(effect);
    this.#logChange(nowMs);
  }

  /** Resigns, so that the next leader need not wait for the lease to expire. */
  async stop(): Promise<void> {
    const effect = this.#leaderLease.resign(this.#context.clock.nowMs());
    if (effect?.kind === "write") await this.#putRecord(effect);
  }

  /** Position in the takeover order, which differs from service to service. */
  #rank(): number {
    const { peers, hasher, service } = this.#context;
    const order = ownership.rendezvousOrder(service, peers.live(), { hasher });
    return Math.max(0, order.indexOf(peers.self.vm));
  }

  async #read(): Promise<void> {
    const { store, clock, timings, random } = this.#context;
    const result = await store.get(this.#recordName, {
      timeoutMs: timings.storeTimeoutMs,
    });
    const recordRead = result.match(
      ({ value, version }) => parseLeaderRecord(value, version),
      (error): ownership.LeaderRecordRead => ({
        kind: error.kind === "not-found" ? "absent" : "unavailable",
      }),
    );
    this.#leaderLease.noteRead(recordRead, clock.nowMs(), random);
  }

  async #write(
    effect: Extract<ownership.LeaderLeaseEffect, { kind: "write" }>,
  ): Promise<void> {
    const result = await this.#putRecord(effect);
    const recordWrite = result.match(
      (version): ownership.LeaderRecordWrite => ({
        kind: "acknowledged",
        version,
      }),
      (error): ownership.LeaderRecordWrite => ({
        kind: error.kind === "conflict" ? "conflict" : "unavailable",
      }),
    );
    const { clock, random } = this.#context;
    this.#leaderLease.noteWrite(recordWrite, clock.nowMs(), random);
  }

  #putRecord(effect: Extract<ownership.LeaderLeaseEffect, { kind: "write" }>) {
    const { store, timings } = this.#context;
    return store.put(this.#recordName, JSON.stringify(effect.record), {
      timeoutMs: timings.storeTimeoutMs,
      condition: effect.condition,
    });
  }

  #logChange(nowMs: number): void {
    const isLeader = this.#leaderLease.isLeader(nowMs);
    if (isLeader === this.#wasLeader) return;
    this.#wasLeader = isLeader;
    const { service } = this.#context;
    const sentence = isLeader ? "leader lease acquired" : "leader lease ended";
    this.#log.info(sentence, { service, holder: this.#leaderLease.leader });
  }
}

function parseLeaderRecord(
  value: string,
  version: string,
): ownership.LeaderRecordRead {
  const record = contracts.decodeJson(value, ownership.leaderRecordSchema);
  return record.isOk()
    ? { kind: "found", record: record.value, version }
    : { kind: "unavailable" };
}
