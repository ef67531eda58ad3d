/**
 * The configuration by which an entry VM forwards requests of a platform's
 * clients: routes by host and path, services, and limits on callers. Adapters
 * decode a platform's own document into these types.
 */
import type { RegionId, ServiceId } from "./ids.ts";

/** One service that a route sends requests to. */
export interface RouteTarget {
  readonly service: ServiceId;
  /** Part of the route's requests, relative to the other targets' weights. */
  readonly weight: number;
}

/** A rule that sends requests of one host and path prefix to services. */
export interface Route {
  readonly name: string;
  /** Host that requests name, in lower case. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean;
  /** Backend servers that one request may be sent to. */
  readonly attemptLimit: number;
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Time within which an answer has its full worth to the caller. */
  readonly targetLatencyMs: number;
  /** Rank among the routes of a service; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Regions whose servers may run its requests; undefined for any. */
  readonly homeRegions?: ReadonlySet<RegionId> | undefined;
}

/** What the backend servers of a service bear while they are cold. */
export interface ColdStart {
  /** How long a server is cold after its start. */
  readonly warmUpMs: number;
  /** Requests a second, from all entry VMs together. */
  readonly requestsPerSecond: number;
}

/** A service as configured on the platform. */
export interface RoutedService {
  readonly name: ServiceId;
  /** Whether each key belongs to one backend server. */
  readonly isKeyed: boolean;
  /** Connections that one backend server takes from all entry VMs. */
  readonly connectionLimit: number;
  /** Undefined for a service whose cold servers bear any load. */
  readonly coldStart?: ColdStart | undefined;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time within which a request's headers must have arrived. */
  readonly headerTimeoutMs: number;
  /** Time after which an idle connection may be closed. */
  readonly idleTimeoutMs: number;
}

/** A whole configuration. */
export interface RouteConfig {
  /** Rises with each change; never taken over downwards. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, RoutedService>;
  readonly limits: CallerLimits;
}
