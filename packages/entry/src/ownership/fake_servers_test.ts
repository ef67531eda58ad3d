/** Backend servers in memory that follow the ownership contract. */
import type * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import type { ServerAddress } from "../contracts/views.ts";
import type { ServerControl } from "./service_context.ts";

/** One server; it holds slices for as long as its lease lasts. */
export class FakeServer implements ServerControl {
  readonly address: ServerAddress;
  isUnresponsive = false;
  isDraining = false;
  checksFences = true;
  /** Requests that still run in slices that were let go. */
  requestsInFlight = 0;
  commandCount = 0;
  #revision = 0;
  #slices: readonly contracts.LeasedSlice[] = [];
  #released: contracts.LeaseCommandReply["releasing"] = [];
  #leaseEndMs = 0;

  constructor(name: string, service: contracts.ServiceId) {
    this.address = {
      server: name as contracts.ServerId,
      service,
      zone: "zone-1" as contracts.ZoneId,
      host: "127.0.0.1",
      port: 1,
      state: "live",
    };
  }

  /** Slices held under a lease that has not ended. */
  get leasedSlices(): readonly contracts.LeasedSlice[] {
    return performance.now() < this.#leaseEndMs ? this.#slices : [];
  }

  sendLeaseCommand(
    order: contracts.LeaseCommand,
  ): neverthrow.ResultAsync<
    contracts.LeaseCommandReply,
    contracts.ServerCallError
  > {
    this.commandCount++;
    if (this.isUnresponsive) {
      return neverthrow.errAsync({ kind: "timeout", message: "Silent" });
    }
    const isStale = order.revision < this.#revision;
    const isAccepted = !isStale && order.stampInstance === "run-1";
    if (!isStale) this.#apply(order, isAccepted);
    const releasing = this.#released
      .map(({ slice }) => ({ slice, inFlight: this.requestsInFlight }))
      .filter(({ inFlight }) => inFlight > 0);
    return neverthrow.okAsync({
      instance: "run-1",
      stampMs: performance.now(),
      revision: this.#revision,
      accepted: isAccepted,
      releasing,
      draining: this.isDraining,
      checksFences: this.checksFences,
    });
  }

  load(): neverthrow.ResultAsync<
    contracts.LoadReport,
    contracts.ServerCallError
  > {
    return neverthrow.errAsync({ kind: "timeout", message: "Not used" });
  }

  async close(): Promise<void> {}

  #apply(order: contracts.LeaseCommand, isAccepted: boolean): void {
    this.#revision = order.revision;
    const names = new Set(order.slices.map(({ slice }) => slice));
    const letGo = this.#slices.filter(({ slice }) => !names.has(slice));
    const gone = letGo.map(({ slice }) => ({ slice, inFlight: 0 }));
    this.#released = [...this.#released, ...gone];
    this.#slices = isAccepted
      ? order.slices
      : this.#slices.filter(({ slice }) => names.has(slice));
    const endMs = isAccepted ? order.stampMs! + order.leaseMs : 0;
    this.#leaseEndMs = Math.max(this.#leaseEndMs, endMs);
  }
}
