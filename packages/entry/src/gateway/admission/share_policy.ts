/** Decides whether callers share what services can do. */
import type * as contracts from "@guavatide/contracts";
import type { GatewaySettings } from "../gateway_settings.ts";

/**
 * Whether VMs give each caller its share and admit requests together. False
 * before the first configuration, unless the settings say always.
 */
export function sharesCapacity(
  policy: GatewaySettings["callerShares"],
  config: Pick<contracts.RouteConfig, "hasFileTransfers"> | undefined,
): boolean {
  switch (policy) {
    case "always":
      return true;
    case "never":
      return false;
    case "file-transfers":
    case undefined:
      return config?.hasFileTransfers ?? false;
  }
}
