/** Keeps, takes over and hands back the duty lease of one service. */
import * as ownership from "@guavatide/decisions/ownership/mod";
import type { Logger } from "../utils/log.ts";
import type { ServiceContext } from "./service_context.ts";

/** Part of one VM in the duty of planning one service's moves. */
export class LeaderElectionTask {
  readonly #context: ServiceContext;
  readonly #log: Logger;
  readonly #lease: ownership.LeaderLease;
  readonly #name: string;
  #wasHolding = false;

  constructor(context: ServiceContext) {
    this.#context = context;
    this.#log = context.log.part("duty");
    this.#name = `duty/${context.service}`;
    this.#lease = new ownership.LeaderLease(context.peers.self, {
      ...ownership.DEFAULT_LEADER_LEASE_SETTINGS,
      leaseMs: context.timings.dutyLeaseMs,
      renewMs: context.timings.dutyRenewMs,
    });
  }

  /** Whether this VM holds the duty now. */
  get isLeader(): boolean {
    return this.#lease.isLeader(this.#context.clock.nowMs());
  }

  tick(nowMs: number): void {
    const { peers } = this.#context;
    const effect = this.#lease.tick({
      nowMs,
      rank: () => this.#rank(),
      isLost: (vm, incarnation) => peers.isLost(vm, incarnation),
    });
    if (effect?.kind === "read") void this.#read();
    if (effect?.kind === "write") void this.#write(effect);
    this.#logChange(nowMs);
  }

  /** Hands the duty back, so that the next VM need not wait for its end. */
  async stop(): Promise<void> {
    const effect = this.#lease.resign(this.#context.clock.nowMs());
    if (effect?.kind === "write") await this.#put(effect);
  }

  /** Different VMs come first for different services. */
  #rank(): number {
    const { peers, hasher, service } = this.#context;
    const ranked = ownership.rendezvousOrder(service, peers.live(), { hasher });
    return Math.max(0, ranked.indexOf(peers.self.vm));
  }

  async #read(): Promise<void> {
    const { store, clock, timings, random } = this.#context;
    const result = await store.get(this.#name, {
      timeoutMs: timings.storeTimeoutMs,
    });
    const read = result.match(
      ({ value, version }) => parseLeaderRecord(value, version),
      (error): ownership.LeaderRecordRead => ({
        kind: error.kind === "not-found" ? "absent" : "unavailable",
      }),
    );
    this.#lease.noteRead(read, clock.nowMs(), random);
  }

  async #write(
    effect: Extract<ownership.LeaderLeaseEffect, { kind: "write" }>,
  ): Promise<void> {
    const result = await this.#put(effect);
    const write = result.match(
      (version): ownership.LeaderRecordWrite => ({
        kind: "acknowledged",
        version,
      }),
      (error): ownership.LeaderRecordWrite => ({
        kind: error.kind === "conflict" ? "conflict" : "unavailable",
      }),
    );
    const { clock, random } = this.#context;
    this.#lease.noteWrite(write, clock.nowMs(), random);
  }

  #put(effect: Extract<ownership.LeaderLeaseEffect, { kind: "write" }>) {
    const { store, timings } = this.#context;
    return store.put(this.#name, JSON.stringify(effect.record), {
      timeoutMs: timings.storeTimeoutMs,
      condition: effect.condition,
    });
  }

  #logChange(nowMs: number): void {
    const holds = this.#lease.isLeader(nowMs);
    if (holds === this.#wasHolding) return;
    this.#wasHolding = holds;
    const { service } = this.#context;
    const sentence = holds ? "control duty taken" : "control duty given up";
    this.#log.info(sentence, { service, holder: this.#lease.leader });
  }
}

function parseLeaderRecord(
  value: string,
  version: string,
): ownership.LeaderRecordRead {
  try {
    const record = ownership.leaderRecordSchema.parse(JSON.parse(value));
    return { kind: "found", record, version };
  } catch {
    return { kind: "unavailable" };
  }
}
