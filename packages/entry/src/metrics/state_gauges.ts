/** Gauges of the configuration, ownership, membership and connections. */
import type * as contracts from "@guavatide/contracts";
import type * as decisions from "@guavatide/decisions";
import type { ConfigTask } from "../configuration/mod.ts";
import type { ConnectionPools } from "../links/connection_pools.ts";
import type { LoadTask } from "../loads/load_task.ts";
import type { OwnershipTask } from "../ownership/mod.ts";
import type { Metrics } from "./metrics.ts";

/** Components whose state the gauges show. */
export interface StateSources {
  readonly config: ConfigTask;
  readonly owners: OwnershipTask;
  readonly membership: decisions.Membership;
  readonly loads: LoadTask;
  readonly connections: ConnectionPools;
}

/** Registers the gauges, which read the state at each scrape. */
export function registerStateGauges(
  metrics: Metrics,
  sources: StateSources,
): void {
  const { config, owners, membership, loads, connections } = sources;
  metrics.registerGauge(
    "guavatide_config_revision",
    "Revision of the configuration in force",
    (result) => result.observe(config.revision),
  );
  metrics.registerGauge(
    "guavatide_config_confirmed_age_ms",
    "Time since the store last confirmed the revision in force",
    (result) => {
      if (config.confirmedAgeMs !== undefined) {
        result.observe(config.confirmedAgeMs);
      }
    },
  );
  metrics.registerGauge(
    "guavatide_entry_vms",
    "Other entry VMs by state",
    (result) => {
      for (const [state, count] of countStates(membership)) {
        result.observe(count, { state });
      }
    },
  );
  metrics.registerGauge(
    "guavatide_slices",
    "Slices of each keyed service by state and owner",
    (result) => {
      for (const { name, keyed } of config.services()) {
        if (!keyed) continue;
        observeSlices(
          owners.assignment(name),
          (count, labels) =>
            result.observe(count, { service: name, ...labels }),
        );
      }
    },
  );
  metrics.registerGauge(
    "guavatide_evidence_age_ms",
    "Age of the evidence by which leases are renewed",
    (result) => {
      for (const { name } of config.services()) {
        const ageMs = owners.confirmationAgeMs(name);
        if (ageMs !== undefined) result.observe(ageMs, { service: name });
      }
    },
  );
  metrics.registerGauge(
    "guavatide_imbalance",
    "Largest load of a server over the mean, at the holder of control duty",
    (result) => {
      for (const { name } of config.services()) {
        const imbalance = loads.imbalance(name);
        if (imbalance !== undefined) {
          result.observe(imbalance, { service: name });
        }
      }
    },
  );
  metrics.registerGauge(
    "guavatide_links",
    "Connections to each server; a busy one takes a slot of the server",
    (result) => {
      for (const [server, { idle, busy }] of connections.counts()) {
        result.observe(idle, { server, state: "idle" });
        result.observe(busy, { server, state: "busy" });
      }
    },
  );
  metrics.registerGauge(
    "guavatide_duties_held",
    "Services whose moves this VM plans",
    (result) => result.observe(owners.heldDuties().length),
  );
}

function countStates(membership: decisions.Membership): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { state } of membership.members(performance.now())) {
    counts.set(state, (counts.get(state) ?? 0) + 1);
  }
  return counts;
}

function observeSlices(
  assignment: contracts.Assignment | undefined,
  observe: (count: number, labels: { server: string; state: string }) => void,
): void {
  const counts = new Map<string, number>();
  for (const { server, state } of assignment?.slices ?? []) {
    const name = `${state} ${server}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  for (const [name, count] of counts) {
    const [state, server] = name.split(" ");
    observe(count, { server: server!, state: state! });
  }
}
