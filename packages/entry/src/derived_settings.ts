/** Turns the settings of the process into the settings of its parts. */
import * as ownership from "@guavatide/decisions/ownership/mod";
import type { OwnershipTimings } from "./ownership/mod.ts";
import * as requests from "./requests/mod.ts";
import type { Settings } from "./settings/mod.ts";

/** Settings of the request path. */
export function toRequestSettings(
  settings: Settings,
): requests.RequestSettings {
  const { limits } = settings;
  return {
    ...requests.REQUEST_DEFAULTS,
    host: settings.host,
    port: settings.ports.callers,
    connectionLimit: limits.connections,
    inFlightLimit: limits.requestsInFlight,
    headerLimitBytes: limits.headerBytes,
    bodyLimitBytes: limits.bodyBytes,
    headersTimeoutMs: limits.headerTimeoutMs,
    requestTimeoutMs: limits.requestTimeoutMs,
    keepAliveTimeoutMs: limits.keepAliveMs,
    drainTimeoutMs: settings.timings.drainMs,
  };
}

/** Times of the ownership tasks. */
export function toOwnershipTimings(
  { timings, platform }: Settings,
): OwnershipTimings {
  return {
    ...ownership.DEFAULT_OWNERSHIP_SETTINGS,
    ...timings,
    storeTimeoutMs: platform.storeTimeoutMs,
  };
}
