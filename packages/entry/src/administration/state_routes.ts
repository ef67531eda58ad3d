/** What is in force and who owns what, as this entry VM knows it. */
import * as contracts from "@guavatide/contracts";
import * as hono from "hono";
import * as api from "./api_context.ts";
import { answerError, badRequest } from "./api_error.ts";

const DEFAULT_LINES = 100;
const MOST_LINES = 2000;

/** Routes `/v1/config`, `/v1/vms`, `/v1/servers`, owners, moves, audit. */
export function createStateRoutes(parts: api.ApiParts): hono.Hono<api.ApiEnv> {
  const app = new hono.Hono<api.ApiEnv>();
  app.get("/config", (context) => context.json(parts.config.config ?? null));
  app.get("/vms", (context) => vms(parts, context));
  app.get("/servers", (context) => servers(parts, context));
  app.get("/owners/:service", (context) => owners(parts, context));
  app.get("/moves", (context) => lines(context, parts.moves));
  app.get("/audit", (context) => lines(context, parts.audit));
  return app;
}

function vms(parts: api.ApiParts, context: api.ApiContext): Response {
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

function servers(parts: api.ApiParts, context: api.ApiContext): Response {
  const drains = new Map(
    parts.config.drains().map((drain) => [drain.server, drain]),
  );
  const found = parts.config.services()
    .flatMap((service) => parts.servers.servers(service.name))
    .map((server) => ({ ...server, drain: drains.get(server.server) ?? null }));
  return context.json({ servers: found });
}

function owners(parts: api.ApiParts, context: api.ApiContext): Response {
  const service = context.req.param("service") as contracts.ServiceId;
  const key = context.req.query("key");
  if (parts.config.service(service) === undefined) {
    const message = `Service "${service}" is not in force: publish it first`;
    return answerError(context, { kind: "not-found", message });
  }
  if (key !== undefined) {
    const keyHash = parts.ownership.hashOf(key);
    const owner = parts.owners.lookup(service, keyHash);
    return context.json({ service, key, keyHash, owner });
  }
  const assignment = parts.ownership.assignment(service);
  if (assignment === undefined) {
    const message = `No assignment of "${service}" is known here: the ` +
      "service is not keyed, or its servers have not been seen yet";
    return answerError(context, { kind: "not-found", message });
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
  ): ReturnType<api.ApiParts["audit" | "moves"]["read"]>;
}

async function lines(
  context: api.ApiContext,
  journal: ReadableJournal,
): Promise<Response> {
  const limit = Number(context.req.query("limit") ?? DEFAULT_LINES);
  if (!Number.isInteger(limit) || limit < 1 || limit > MOST_LINES) {
    const message = `limit: use a whole number from 1 to ${MOST_LINES}`;
    return answerError(context, badRequest(message));
  }
  const read = await journal.read(limit);
  if (read.isErr()) return answerError(context, read.error);
  return context.json({ lines: read.value });
}
