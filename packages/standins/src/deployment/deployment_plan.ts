/**
 * Plans of local deployments: services, their backend servers and the entry
 * VMs, at the full size of a customer's deployment or scaled down.
 */
import type * as contracts from "@guavatide/contracts";
import type { ServiceTime } from "../backend_server/settings.ts";

/** One service and its backend servers. */
export interface PlannedService {
  readonly name: string;
  readonly servers: number;
  readonly slots: number;
  readonly keyed: boolean;
  /** False for servers that do not check fencing tokens. True by default. */
  readonly checksFences?: boolean;
  readonly serviceTimeMs?: ServiceTime;
}

/** The deployment of one customer. */
export interface DeploymentPlan {
  /** Owner of all services. */
  readonly partner: string;
  /** Other partners to create, for example to share costs with. */
  readonly otherPartners?: readonly string[];
  readonly region: string;
  readonly zones: readonly string[];
  readonly entryVms: number;
  readonly services: readonly PlannedService[];
  /** One-way network delay that the backend servers simulate. */
  readonly linkDelayMs: number;
  readonly connectionsPerServer: number;
  readonly imbalanceWeight: number;
  readonly churnWeight: number;
}

/** Kayfa Booths, Dakar, at full size. */
export const KAYFA: DeploymentPlan = {
  partner: "kayfa",
  region: "dakar",
  zones: ["plateau", "almadies", "medina", "yoff"],
  entryVms: 9,
  services: [
    { name: "availability", servers: 10, slots: 3, keyed: true },
    { name: "reservations", servers: 8, slots: 3, keyed: false },
    { name: "catalogue", servers: 10, slots: 3, keyed: false },
  ],
  linkDelayMs: 1,
  connectionsPerServer: 110,
  imbalanceWeight: 2,
  churnWeight: 1,
};

/** Bitácora Metano Anáhuac, central Mexico, at full size. */
export const BITACORA: DeploymentPlan = {
  partner: "bitacora",
  region: "central-mexico",
  zones: ["queretaro", "guanajuato", "aguascalientes"],
  entryVms: 8,
  services: [
    { name: "chromatography", servers: 12, slots: 2, keyed: true },
    { name: "ledger", servers: 6, slots: 2, keyed: false },
    { name: "archive", servers: 10, slots: 2, keyed: false },
  ],
  linkDelayMs: 1.5,
  connectionsPerServer: 110,
  imbalanceWeight: 1,
  churnWeight: 4,
};

/**
 * The plan with `entryVms` entry VMs and at most `maxServersPerService` backend
 * servers for each service.
 */
export function scalePlan(
  plan: DeploymentPlan,
  options: { readonly entryVms: number; readonly maxServersPerService: number },
): DeploymentPlan {
  return {
    ...plan,
    entryVms: options.entryVms,
    services: plan.services.map((service) => ({
      ...service,
      servers: Math.min(service.servers, options.maxServersPerService),
    })),
  };
}

/** The configuration objects that a plan needs. */
export function toConfigObjects(
  plan: DeploymentPlan,
): contracts.ConfigObject[] {
  const partner = plan.partner as contracts.PartnerId;
  const places = plan.zones as readonly contracts.ZoneId[];
  const services = plan.services.map((service): contracts.Service => ({
    kind: "service",
    name: service.name as contracts.ServiceId,
    partner,
    places: [...places],
    keyed: service.keyed,
    slotsPerServer: service.slots,
    connectionsPerServer: plan.connectionsPerServer,
    idempotentMethods: ["GET", "HEAD"],
    timeoutMs: 2_000,
    queueRequests: 64,
    imbalanceWeight: plan.imbalanceWeight,
    churnWeight: plan.churnWeight,
  }));
  return [
    ...places.map((name): contracts.Place => ({
      kind: "place",
      name,
      region: plan.region,
    })),
    ...[plan.partner, ...plan.otherPartners ?? []]
      .map((name): contracts.Partner => ({
        kind: "partner",
        name: name as contracts.PartnerId,
        requestsPerSecond: 5_000,
        burstRequests: 1_000,
      })),
    ...services,
    ...services.map((service): contracts.CostShare => ({
      kind: "cost-share",
      name: `${service.name}-split`,
      service: service.name,
      shares: [{ partner, percent: 100 }],
    })),
  ];
}
