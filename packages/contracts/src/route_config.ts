/**
 * The configuration by which an entry VM forwards client requests: routes by
 * host and path, services, and limits on callers. Adapters decode a platform's
 * own document into these types.
 */
import type { RegionId, ServiceId } from "./ids.ts";

/** One service that a route sends requests to. */
export interface RouteTarget {
  readonly service: ServiceId;
  /** Share of the route's requests, relative to the other targets' weights. */
  readonly weight: number;
}

/** A rule that sends requests of one host and path prefix to services. */
export interface Route {
  readonly name: string;
  /** Host of the requests, in lower case. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may be run more than once. */
  readonly isIdempotent: boolean;
  /** Largest number of backend servers that one request is sent to. */
  readonly attemptLimit: number;
  /** Longest time that a caller waits, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Latency, in milliseconds, up to which an answer has its full value to the
   * caller.
   */
  readonly targetLatencyMs: number;
  /** Priority among the routes of a service; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Regions whose servers may run the requests; undefined for any. */
  readonly homeRegions?: ReadonlySet<RegionId> | undefined;
}

/** Capacity of a service's backend servers during their slow start. */
export interface ColdStart {
  /** Duration of the slow start of a server, in milliseconds. */
  readonly warmUpMs: number;
  /** Requests per second, from all entry VMs together. */
  readonly requestsPerSecond: number;
}

/** A service as configured on the platform. */
export interface RoutedService {
  readonly name: ServiceId;
  /** Whether each key is owned by one backend server. */
  readonly isKeyed: boolean;
  /** Connections that one backend server accepts from all entry VMs. */
  readonly connectionLimit: number;
  /** Undefined for a service whose servers need no slow start. */
  readonly coldStart?: ColdStart | undefined;
}

/** Limits on a caller's requests and connections. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time in milliseconds within which a request's headers must arrive. */
  readonly headerTimeoutMs: number;
  /** Time in milliseconds after which an idle connection may be closed. */
  readonly idleTimeoutMs: number;
}

/** A complete configuration. */
export interface RouteConfig {
  /** Rises with each change; a lower version is never applied. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, RoutedService>;
  readonly limits: CallerLimits;
  /**
   * Whether some route transfers files, so that a few requests of one caller can
   * hold the slots of a service for long.
   */
  readonly hasFileTransfers: boolean;
}
