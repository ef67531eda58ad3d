/** Read-only routes: configuration, VMs, servers, owners and journals. */
import * as contracts from "@guavatide/contracts";
import * as hono from "hono";
import * as api from "./api_context.ts";
import { badRequest, errorResponse } from "./api_error.ts";

const DEFAULT_LINE_LIMIT = 100;
const MAX_LINE_LIMIT = 2000;

/**
 * Creates the routes `/v1/config`, `/v1/vms`, `/v1/servers`, `/v1/owners`,
 * `/v1/moves` and `/v1/audit`. All but the journals answer from this VM's
 * memory.
 */
export function createStateRoutes(
  deps: api.ApiDependencies,
): hono.Hono<api.ApiEnv> {
  const app = new hono.Hono<api.ApiEnv>();
  app.get("/config", (context) => context.json(deps.config.config ?? null));
  app.get("/vms", (context) => listVms(deps, context));
  app.get("/servers", (context) => listServers(deps, context));
  app.get("/owners/:service", (context) => getOwners(deps, context));
  app.get("/moves", (context) => readLines(context, deps.moves));
  app.get("/audit", (context) => readLines(context, deps.audit));
  return app;
}

function listVms(deps: api.ApiDependencies, context: api.ApiContext): Response {
  const { config } = deps;
  const confirmedAgeMs = config.confirmedAgeMs === undefined
    ? null
    : Math.round(config.confirmedAgeMs);
  return context.json({
    vm: deps.vm,
    isWatcher: config.isWatcher,
    confirmedAgeMs,
    vms: config.revisions(),
  });
}

function listServers(
  deps: api.ApiDependencies,
  context: api.ApiContext,
): Response {
  const drains = new Map(
    deps.config.drains().map((drain) => [drain.server, drain]),
  );
  const found = deps.config.services()
    .flatMap((service) => deps.servers.servers(service.name))
    .map((server) => ({ ...server, drain: drains.get(server.server) ?? null }));
  return context.json({ servers: found });
}

function getOwners(
  deps: api.ApiDependencies,
  context: api.ApiContext,
): Response {
  const service = context.req.param("service") as contracts.ServiceId;
  const key = context.req.query("key");
  if (deps.config.service(service) === undefined) {
    const message = `Service "${service}" is not in force: publish it first`;
    return errorResponse(context, { kind: "not-found", message });
  }
  if (key !== undefined) {
    const keyHash = deps.ownership.hashKey(key);
    const owner = deps.owners.lookup(service, keyHash);
    return context.json({ service, key, keyHash, owner });
  }
  const assignment = deps.ownership.assignment(service);
  if (assignment === undefined) {
    const message = `No assignment of "${service}" is known here: the ` +
      "service is not keyed, or its servers have not been seen yet";
    return errorResponse(context, { kind: "not-found", message });
  }
  const { revision, slices } = assignment;
  return context.json({
    service,
    revision,
    slices: slices.map((slice) => ({
      ...slice,
      id: contracts.sliceIdOf(slice),
    })),
  });
}

/** Read access to either journal. */
interface ReadableJournal {
  read(
    limit: number,
  ): ReturnType<api.ApiDependencies["audit" | "moves"]["read"]>;
}

async function readLines(
  context: api.ApiContext,
  journal: ReadableJournal,
): Promise<Response> {
  const limit = Number(context.req.query("limit") ?? DEFAULT_LINE_LIMIT);
  if (!Number.isInteger(limit) || limit < 1 || limit > MAX_LINE_LIMIT) {
    const message = `limit: use a whole number from 1 to ${MAX_LINE_LIMIT}`;
    return errorResponse(context, badRequest(message));
  }
  const read = await journal.read(limit);
  if (read.isErr()) return errorResponse(context, read.error);
  return context.json({ lines: read.value });
}
