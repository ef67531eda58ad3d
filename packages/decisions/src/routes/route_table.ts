/** Finds the route of a request and picks one of its services. */
import type * as contracts from "@guavatide/contracts";

/** Current weights of one route's targets, for smooth weighted round robin. */
type TargetWeights = Map<contracts.ServiceId, number>;

/** Routes of one configuration, looked up by host and path. */
export class RouteTable {
  readonly #byHost = new Map<string, contracts.Route[]>();
  readonly #currentWeights: Map<string, TargetWeights>;

  /**
   * Keeps the current weights of an earlier table, so that the shares stay
   * exact across configuration changes.
   */
  constructor(routes: readonly contracts.Route[], earlier?: RouteTable) {
    this.#currentWeights = earlier === undefined
      ? new Map()
      : new Map(earlier.#currentWeights);
    for (const route of routes) {
      const listed = this.#byHost.get(route.host) ?? [];
      listed.push(route);
      this.#byHost.set(route.host, listed);
    }
    // Sorts by prefix length: the longest matching prefix wins.
    for (const listed of this.#byHost.values()) {
      listed.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    const names = new Set(routes.map(({ name }) => name));
    for (const name of this.#currentWeights.keys()) {
      if (!names.has(name)) this.#currentWeights.delete(name);
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
  pickService(route: contracts.Route): contracts.ServiceId {
    const [first] = route.targets;
    if (route.targets.length === 1) return first!.service;
    const weights = this.#weightsOf(route);
    let best = first!;
    let total = 0;
    for (const target of route.targets) {
      total += target.weight;
      const weight = (weights.get(target.service) ?? 0) + target.weight;
      weights.set(target.service, weight);
      if (weight > (weights.get(best.service) ?? 0)) best = target;
    }
    weights.set(best.service, weights.get(best.service)! - total);
    return best.service;
  }

  #weightsOf(route: contracts.Route): TargetWeights {
    const found = this.#currentWeights.get(route.name);
    if (found !== undefined) return found;
    const created: TargetWeights = new Map();
    this.#currentWeights.set(route.name, created);
    return created;
  }
}

/** The host without its port, in lower case. */
function hostName(host: string): string {
  const colon = host.indexOf(":");
  const name = colon < 0 ? host : host.slice(0, colon);
  return name.toLowerCase();
}
