/**
 * What a local deployment consists of: services, their backend servers and
 * the entry VMs, in the brief's sizes or a scaled choice of them.
 */
import type * as contracts from "@guavatide/contracts";
import type { ServiceTime } from "../backend_server/settings.ts";

/** One service and its backend servers. */
export interface PlannedService {
  readonly name: string;
  readonly servers: number;
  readonly slots: number;
  readonly keyed: boolean;
  /** False for servers that do not check who orders them. */
  readonly checksFences?: boolean;
  readonly serviceTimeMs?: ServiceTime;
}

/** One customer's deployment. */
export interface DeploymentPlan {
  /** Owner of every service. */
  readonly partner: string;
  /** Partners who may take a share of the costs. */
  readonly otherPartners?: readonly string[];
  readonly region: string;
  readonly zones: readonly string[];
  readonly entryVms: number;
  readonly services: readonly PlannedService[];
  /** One way, between any two processes that the stand-ins delay. */
  readonly linkDelayMs: number;
  readonly connectionsPerServer: number;
  readonly imbalanceWeight: number;
  readonly churnWeight: number;
}

/** Kayfa Booths, Dakar, in the brief's sizes. */
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

/** Bitácora Metano Anáhuac, central Mexico, in the brief's sizes. */
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

/** The same plan with fewer entry VMs and servers. */
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

/** The configuration objects that a plan stands for. */
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
