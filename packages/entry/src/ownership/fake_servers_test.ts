/** In-memory backend servers that implement the ownership contract. */
import type * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import type { ServerAddress } from "../contracts/views.ts";
import type { ServerControl } from "./service_context.ts";

/** A server that owns its slices until its lease expires. */
export class FakeServer implements ServerControl {
  readonly address: ServerAddress;
  isUnresponsive = false;
  isDraining = false;
  checksFences = true;
  /** Requests still in flight in each released slice. */
  requestsInFlight = 0;
  commandCount = 0;
  #revision = 0;
  #slices: readonly contracts.LeasedSlice[] = [];
  #releasing: contracts.LeaseCommandReply["releasing"] = [];
  #leaseExpiresMs = 0;

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

  /** Slices whose lease has not expired. */
  get leasedSlices(): readonly contracts.LeasedSlice[] {
    return performance.now() < this.#leaseExpiresMs ? this.#slices : [];
  }

  sendLeaseCommand(
    command: contracts.LeaseCommand,
  ): neverthrow.ResultAsync<
    contracts.LeaseCommandReply,
    contracts.ServerCallError
  > {
    this.commandCount++;
    if (this.isUnresponsive) {
      return neverthrow.errAsync({ kind: "timeout", message: "Silent" });
    }
    const isStale = command.revision < this.#revision;
    const isAccepted = !isStale && command.stampInstance === "run-1";
    if (!isStale) this.#apply(command, isAccepted);
    const releasing = this.#releasing
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

  #apply(command: contracts.LeaseCommand, isAccepted: boolean): void {
    this.#revision = command.revision;
    const names = new Set(command.slices.map(({ slice }) => slice));
    const dropped = this.#slices.filter(({ slice }) => !names.has(slice));
    const released = dropped.map(({ slice }) => ({ slice, inFlight: 0 }));
    this.#releasing = [...this.#releasing, ...released];
    this.#slices = isAccepted
      ? command.slices
      : this.#slices.filter(({ slice }) => names.has(slice));
    const endMs = isAccepted ? command.stampMs! + command.leaseMs : 0;
    this.#leaseExpiresMs = Math.max(this.#leaseExpiresMs, endMs);
  }
}
