/** Gauges read at each scrape: configuration, ownership, membership. */
import type * as contracts from "@guavatide/contracts";
import type * as decisions from "@guavatide/decisions";
import type { ConfigTask } from "../configuration/mod.ts";
import type { OwnershipTask } from "../ownership/mod.ts";
import type { Metrics } from "./metrics.ts";

/** Parts whose state is shown. */
export interface ObservedParts {
  readonly config: ConfigTask;
  readonly owners: OwnershipTask;
  readonly membership: decisions.Membership;
}

/** Registers the gauges. */
export function observeState(metrics: Metrics, parts: ObservedParts): void {
  const { config, owners, membership } = parts;
  metrics.observe(
    "guavatide_config_revision",
    "Revision of the configuration in force",
    (result) => result.observe(config.revision),
  );
  metrics.observe(
    "guavatide_config_confirmed_age_ms",
    "Time since the store last confirmed the revision in force",
    (result) => {
      if (config.confirmedAgeMs !== undefined) {
        result.observe(config.confirmedAgeMs);
      }
    },
  );
  metrics.observe(
    "guavatide_entry_vms",
    "Other entry VMs by state",
    (result) => {
      for (const [state, count] of countStates(membership)) {
        result.observe(count, { state });
      }
    },
  );
  metrics.observe(
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
  metrics.observe(
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
