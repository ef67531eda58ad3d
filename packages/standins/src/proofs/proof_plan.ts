/** What the deployments of the proofs consist of. */
import * as crypto from "node:crypto";
import type { DeploymentPlan } from "../deployment/deployment_plan.ts";

/** The keyed service of every proof. */
export const KEYED = "availability";
/** The unkeyed service of every proof. */
export const UNKEYED = "reservations";
/** Keys that the callers use. */
export const KEYS: readonly string[] = Array.from(
  { length: 24 },
  (_, index) => `booth-${index + 1}`,
);

/** Bearer token with all rights at each entry VM's administration. */
export const OPERATOR_TOKEN = "operator-of-the-proofs";

/** How the deployment of a proof differs from the usual one. */
export interface ProofClusterOptions {
  readonly entryVms?: number;
  readonly keyedServers?: number;
  readonly checksFences?: boolean;
  readonly serviceTimeMs?: number;
  /** Whether entry VMs reach servers through relays. */
  readonly relaysServers?: boolean;
  /** Whether entry VMs reach the store through relays. */
  readonly relaysStore?: boolean;
}

/** Access of the operator whose token is {@link OPERATOR_TOKEN}. */
export function operatorAccess(): object {
  return {
    tokenSha256: crypto.createHash("sha256").update(OPERATOR_TOKEN)
      .digest("hex"),
    operator: "proofs",
    partners: "*",
    rights: ["read", "edit", "publish", "drain"],
  };
}

/** The deployment of a proof. */
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
