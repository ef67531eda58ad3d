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
/**
 * All VMs start together: a second look finds those that registered after the
 * first. Later ones tell of themselves in datagrams.
 */
const SECOND_LOOK_MS = 700;

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
    const isListed = await this.#retry(signal, () => this.#list());
    if (!isListed) return;
    await this.#retry(signal, () => this.#register());
    await timers.setTimeout(SECOND_LOOK_MS);
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

  async #register(): Promise<boolean> {
    const { store, self, health } = this.#options;
    const { host, port } = self;
    const result = await store.put(
      `${PREFIX}${self.vm}`,
      JSON.stringify({ host, port }),
      { timeoutMs: CALL_TIMEOUT_MS, condition: { kind: "any" } },
    );
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
