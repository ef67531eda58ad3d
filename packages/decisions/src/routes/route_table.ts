/** Finds the route of a request and draws its service. */
import type * as contracts from "@guavatide/contracts";

/** Credits of one route's targets, kept while its configuration changes. */
type TargetWeights = Map<contracts.ServiceId, number>;

/** The routes of one configuration, looked up by host and path. */
export class RouteTable {
  readonly #byHost = new Map<string, contracts.Route[]>();
  readonly #credits: Map<string, TargetWeights>;

  /** Takes over the shares already served from an earlier table. */
  constructor(routes: readonly contracts.Route[], earlier?: RouteTable) {
    this.#credits = earlier === undefined
      ? new Map()
      : new Map(earlier.#credits);
    for (const route of routes) {
      const listed = this.#byHost.get(route.host) ?? [];
      listed.push(route);
      this.#byHost.set(route.host, listed);
    }
    // The longest prefix decides, so the first match is the right one.
    for (const listed of this.#byHost.values()) {
      listed.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    const names = new Set(routes.map(({ name }) => name));
    for (const name of this.#credits.keys()) {
      if (!names.has(name)) this.#credits.delete(name);
    }
  }

  /** The route of a request; `host` may carry a port and capitals. */
  find(host: string, path: string): contracts.Route | undefined {
    const listed = this.#byHost.get(hostName(host));
    return listed?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /**
   * The service of the route's next request. Smooth weighted round robin: the
   * shares are exact over any run of requests, where random draws would be
   * several parts in a hundred off over a few hundred.
   */
  pickService(route: contracts.Route): contracts.ServiceId {
    const [only] = route.targets;
    if (route.targets.length === 1) return only!.service;
    const credits = this.#creditsOf(route);
    let best = only!;
    let total = 0;
    for (const target of route.targets) {
      total += target.weight;
      const credit = (credits.get(target.service) ?? 0) + target.weight;
      credits.set(target.service, credit);
      if (credit > (credits.get(best.service) ?? 0)) best = target;
    }
    credits.set(best.service, credits.get(best.service)! - total);
    return best.service;
  }

  #creditsOf(route: contracts.Route): TargetWeights {
    const found = this.#credits.get(route.name);
    if (found !== undefined) return found;
    const created: TargetWeights = new Map();
    this.#credits.set(route.name, created);
    return created;
  }
}

/** The name of a host without port, in lower case. */
function hostName(host: string): string {
  const colon = host.indexOf(":");
  const name = colon < 0 ? host : host.slice(0, colon);
  return name.toLowerCase();
}
