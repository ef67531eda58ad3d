/** What is in force and who owns what, as this entry VM knows it. */
import * as contracts from "@guavatide/contracts";
import * as hono from "hono";
import * as api from "./api_context.ts";
import { badRequest, errorResponse } from "./api_error.ts";

const DEFAULT_LINE_LIMIT = 100;
const MAX_LINE_LIMIT = 2000;

/** Routes `/v1/config`, `/v1/vms`, `/v1/servers`, owners, moves, audit. */
export function createStateRoutes(
  parts: api.ApiDependencies,
): hono.Hono<api.ApiEnv> {
  const app = new hono.Hono<api.ApiEnv>();
  app.get("/config", (context) => context.json(parts.config.config ?? null));
  app.get("/vms", (context) => listVms(parts, context));
  app.get("/servers", (context) => listServers(parts, context));
  app.get("/owners/:service", (context) => getOwners(parts, context));
  app.get("/moves", (context) => readLines(context, parts.moves));
  app.get("/audit", (context) => readLines(context, parts.audit));
  return app;
}

function listVms(
  parts: api.ApiDependencies,
  context: api.ApiContext,
): Response {
  const { config } = parts;
  const confirmedAgeMs = config.confirmedAgeMs === undefined
    ? null
    : Math.round(config.confirmedAgeMs);
  return context.json({
    vm: parts.vm,
    isWatcher: config.isWatcher,
    confirmedAgeMs,
    vms: config.revisions(),
  });
}

function listServers(
  parts: api.ApiDependencies,
  context: api.ApiContext,
): Response {
  const drains = new Map(
    parts.config.drains().map((drain) => [drain.server, drain]),
  );
  const found = parts.config.services()
    .flatMap((service) => parts.servers.servers(service.name))
    .map((server) => ({ ...server, drain: drains.get(server.server) ?? null }));
  return context.json({ servers: found });
}

function getOwners(
  parts: api.ApiDependencies,
  context: api.ApiContext,
): Response {
  const service = context.req.param("service") as contracts.ServiceId;
  const key = context.req.query("key");
  if (parts.config.service(service) === undefined) {
    const message = `Service "${service}" is not in force: publish it first`;
    return errorResponse(context, { kind: "not-found", message });
  }
  if (key !== undefined) {
    const keyHash = parts.ownership.hashKey(key);
    const owner = parts.owners.lookup(service, keyHash);
    return context.json({ service, key, keyHash, owner });
  }
  const assignment = parts.ownership.assignment(service);
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

/** The part of a journal that these routes read. */
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
