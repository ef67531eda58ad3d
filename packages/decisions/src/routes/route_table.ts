/** Finds the route of a request and picks one of its services. */
import type * as contracts from "@guavatide/contracts";

/** State of one route's smooth weighted round robin. */
interface RouteRotation {
  /** Sum of the targets' weights: the unit of one request. */
  readonly totalWeight: number;
  /** How much of a request each service is owed, in the same unit. */
  readonly owed: Map<contracts.ServiceId, number>;
}

/** Routes of one configuration, looked up by host and path. */
export class RouteTable {
  readonly #byHost = new Map<string, contracts.Route[]>();
  /** By name of the route; only of routes with several targets. */
  readonly #rotations = new Map<string, RouteRotation>();

  /**
   * Takes on what an earlier table's targets are owed, so that the shares stay
   * exact across configuration changes.
   */
  constructor(routes: readonly contracts.Route[], earlier?: RouteTable) {
    const rotationsBefore = earlier === undefined
      ? new Map<string, RouteRotation>()
      : earlier.#rotations;
    for (const route of routes) {
      if (route.targets.length > 1) {
        const { name, targets } = route;
        const rotation = createRotation(targets, rotationsBefore.get(name));
        this.#rotations.set(name, rotation);
      }
      const listed = this.#byHost.get(route.host) ?? [];
      listed.push(route);
      this.#byHost.set(route.host, listed);
    }
    // Sorts by prefix length: the longest matching prefix wins.
    for (const listed of this.#byHost.values()) {
      listed.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** The route of a request; `host` may have a port and upper-case letters. */
  find(host: string, path: string): contracts.Route | undefined {
    const listed = this.#byHost.get(hostName(host));
    return listed?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /**
   * Picks the service of the route's next request by smooth weighted round
   * robin. The shares are exact over any run of requests, where random picks
   * would be off by several percent over a few hundred.
   */
  pickService({ name, targets }: contracts.Route): contracts.ServiceId {
    const rotation = this.#rotations.get(name);
    if (rotation === undefined) return targets[0]!.service;
    const { totalWeight, owed } = rotation;
    // A service without a weight gets nothing, whatever it was owed.
    let best: contracts.ServiceId | undefined;
    for (const { service, weight } of targets) {
      if (weight === 0) continue;
      owed.set(service, (owed.get(service) ?? 0) + weight);
      if (best === undefined || owed.get(service)! > owed.get(best)!) {
        best = service;
      }
    }
    if (best === undefined) return targets[0]!.service;
    owed.set(best, owed.get(best)! - totalWeight);
    return best;
  }
}

/**
 * Weights have no fixed scale, so what targets are owed is converted to the new
 * total. What services without a weight were owed is dropped.
 */
function createRotation(
  targets: readonly contracts.RouteTarget[],
  earlier: RouteRotation | undefined,
): RouteRotation {
  const weights = targets.map(({ weight }) => weight);
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  const scale = earlier === undefined || earlier.totalWeight === 0
    ? 0
    : totalWeight / earlier.totalWeight;
  const owed = new Map<contracts.ServiceId, number>();
  for (const { service, weight } of targets) {
    const owedBefore = earlier?.owed.get(service);
    if (weight === 0 || owedBefore === undefined) continue;
    owed.set(service, owedBefore * scale);
  }
  return { totalWeight, owed };
}

/** The host without its port, in lower case. */
function hostName(host: string): string {
  const colon = host.indexOf(":");
  const name = colon < 0 ? host : host.slice(0, colon);
  return name.toLowerCase();
}
