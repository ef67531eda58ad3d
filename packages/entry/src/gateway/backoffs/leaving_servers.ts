/**
 * Servers that say in their answers that they leave: their registrations may
 * say so late or never, and VMs that get no answers have to hear of it.
 */
import type * as contracts from "@guavatide/contracts";
import type { LifeCycle } from "../../utils/life_cycle.ts";
import type { PeerGossip } from "../peers/peer_gossip.ts";
import { LEAVING_METHOD, leavingNewsSchema } from "../peers/peer_messages.ts";
import { RepeatedBroadcast } from "../peers/repeated_broadcast.ts";
import type { ServerRegistry } from "../servers/server_registry.ts";

/** Options of {@link LeavingServers}. */
export interface LeavingServersOptions {
  readonly registry: Pick<ServerRegistry, "noteLeaving" | "leaving">;
  readonly gossip: Pick<PeerGossip, "on" | "broadcast">;
  readonly clock: contracts.Clock;
}

const REPEAT_NEWS_MS = 200;
/** VMs that have started since are told when nobody has for this long. */
const CONFIRM_INTERVAL_MS = 1_000;

/** Tells the registry and all peers which servers leave. */
export class LeavingServers {
  readonly #options: LeavingServersOptions;
  readonly #news = new RepeatedBroadcast(REPEAT_NEWS_MS);
  #toldAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: LeavingServersOptions) {
    this.#options = options;
    options.gossip.on(LEAVING_METHOD, leavingNewsSchema, ({ servers }) => {
      const { registry } = options;
      const leaving = registry.leaving();
      const isWhole = leaving.every(({ server }) =>
        servers.some((told) => told.server === server)
      );
      if (isWhole) this.#toldAtMs = options.clock.nowMs();
      for (const owner of servers) registry.noteLeaving(owner);
    });
  }

  /** Starts the periodic work. */
  start(lifeCycle: LifeCycle): void {
    this.#news.start(lifeCycle, "news of leaving servers");
    lifeCycle.every(
      CONFIRM_INTERVAL_MS,
      () => this.#confirm(),
      "leaving servers",
    );
  }

  /** Records what an answer of a server says. */
  noteAnswer(
    { server, bornMs }: contracts.RangeOwner,
    { isLeaving }: contracts.ServerNotices,
  ): void {
    if (!isLeaving) return;
    const isNew = this.#options.registry.noteLeaving({ server, bornMs });
    if (isNew) this.#news.send(() => this.#broadcast());
  }

  #confirm(): void {
    const agoMs = this.#options.clock.nowMs() - this.#toldAtMs;
    if (agoMs >= CONFIRM_INTERVAL_MS) this.#broadcast();
  }

  #broadcast(): void {
    const { registry, gossip, clock } = this.#options;
    const servers = registry.leaving();
    if (servers.length === 0) return;
    this.#toldAtMs = clock.nowMs();
    gossip.broadcast(LEAVING_METHOD, { servers });
  }
}
