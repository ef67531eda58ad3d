/** Entry VMs find one another through objects of their own in the store. */
import * as contracts from "@guavatide/contracts";
import * as timers from "node:timers/promises";
import * as z from "zod";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PartLog } from "../utils/log.ts";
import type { GossipIdentity, PeerGossip } from "./peer_gossip.ts";
import type { StoreHealth } from "./store_health.ts";

/** Options of {@link VmDirectory}. */
export interface VmDirectoryOptions {
  readonly self: GossipIdentity;
  readonly store: contracts.PlatformStore;
  readonly health: StoreHealth;
  readonly gossip: PeerGossip;
  readonly log: PartLog;
}

const PREFIX = "entryvms/";
const CALL_TIMEOUT_MS = 1_000;
const RETRY_MS = 400;

const vmObjectSchema = z.object({ host: z.string(), port: z.number().int() });

/** Registers this VM and reads who else is there. */
export class VmDirectory {
  readonly #options: VmDirectoryOptions;

  constructor(options: VmDirectoryOptions) {
    this.#options = options;
  }

  /** Starts the task; it ends when the others are known. */
  start(lifeCycle: LifeCycle): void {
    this.#run(lifeCycle.signal).catch((error) =>
      this.#options.log.error("Finding peers failed.", { error: String(error) })
    );
  }

  async #run(signal: AbortSignal): Promise<void> {
    // Of two VMs that start together the later to register finds the other in
    // its list, and tells it of itself in a datagram.
    await this.#retry(signal, () => this.#register());
    await this.#retry(signal, () => this.#list());
  }

  async #retry(
    signal: AbortSignal,
    step: () => Promise<boolean>,
  ): Promise<boolean> {
    while (!signal.aborted) {
      if (await step()) return true;
      await timers.setTimeout(RETRY_MS);
    }
    return false;
  }

  /** One call, or two for a name whose address has changed. */
  async #register(): Promise<boolean> {
    const { store, self, health } = this.#options;
    const { host, port } = self;
    const name = `${PREFIX}${self.vm}`;
    const value = JSON.stringify({ host, port });
    const timeoutMs = CALL_TIMEOUT_MS;
    const created = await store.put(name, value, {
      timeoutMs,
      condition: { kind: "absent" },
    });
    const isThere = created.isErr() && created.error.kind === "conflict";
    const result = isThere
      ? await store.put(name, value, { timeoutMs, condition: { kind: "any" } })
      : created;
    if (result.isErr()) health.noteFailure(result.error);
    else health.noteAnswer();
    return result.isOk();
  }

  async #list(): Promise<boolean> {
    const { store, health, gossip, log } = this.#options;
    const result = await store.list(PREFIX, { timeoutMs: CALL_TIMEOUT_MS });
    if (result.isErr()) {
      health.noteFailure(result.error);
      return false;
    }
    health.noteAnswer();
    for (const { name, value } of result.value.objects) {
      const address = parse(value);
      if (address === undefined) {
        log.warn("Ignores an entry VM's object.", { name });
        continue;
      }
      const vm = name.slice(PREFIX.length) as contracts.VmId;
      gossip.addPeer(vm, address.host, address.port);
    }
    return true;
  }
}

function parse(value: string): z.infer<typeof vmObjectSchema> | undefined {
  try {
    return vmObjectSchema.safeParse(JSON.parse(value)).data;
  } catch {
    // Not JSON; the caller writes the log line.
    return undefined;
  }
}
