/** Deployment plan that the failure proofs use. */
import * as crypto from "node:crypto";
import type { DeploymentPlan } from "../deployment/deployment_plan.ts";

/** The keyed service of every proof. */
export const KEYED = "availability";
/** The unkeyed service of every proof. */
export const UNKEYED = "reservations";
/** Keys that the callers send. */
export const KEYS: readonly string[] = Array.from(
  { length: 24 },
  (_, index) => `booth-${index + 1}`,
);

/** Bearer token with all rights for the admin API of each entry VM. */
export const OPERATOR_TOKEN = "operator-of-the-proofs";

/** Changes of one proof to the default deployment. */
export interface ProofClusterOptions {
  readonly entryVms?: number;
  readonly keyedServers?: number;
  readonly checksFences?: boolean;
  readonly serviceTimeMs?: number;
  /** Whether entry VMs connect to servers through fault-injecting relays. */
  readonly relaysServers?: boolean;
  /** Whether entry VMs connect to the store through such relays. */
  readonly relaysStore?: boolean;
}

/** Admin API access of the operator whose token is {@link OPERATOR_TOKEN}. */
export function operatorAccess(): object {
  return {
    tokenSha256: crypto.createHash("sha256").update(OPERATOR_TOKEN)
      .digest("hex"),
    operator: "proofs",
    partners: "*",
    rights: ["read", "edit", "publish", "drain"],
  };
}

/** The deployment plan of a proof. */
export function planOf(options: ProofClusterOptions): DeploymentPlan {
  const serviceTimeMs = {
    kind: "fixed",
    ms: options.serviceTimeMs ?? 5,
  } as const;
  return {
    partner: "kayfa",
    region: "dakar",
    zones: ["plateau", "almadies", "medina"],
    entryVms: options.entryVms ?? 3,
    services: [
      {
        name: KEYED,
        servers: options.keyedServers ?? 4,
        slots: 3,
        keyed: true,
        checksFences: options.checksFences ?? true,
        serviceTimeMs,
      },
      { name: UNKEYED, servers: 2, slots: 3, keyed: false, serviceTimeMs },
    ],
    linkDelayMs: 0,
    connectionsPerServer: 110,
    imbalanceWeight: 1,
    churnWeight: 1,
  };
}
