/** Routes under `/v1/drains`: drain backend servers and return them to service. */
import * as contracts from "@guavatide/contracts";
import * as hono from "hono";
import * as neverthrow from "neverthrow";
import * as z from "zod";
import * as api from "./api_context.ts";
import { type ApiError, badRequest, errorResponse } from "./api_error.ts";
import { highestKnownRevision } from "./publish_routes.ts";

const drainBodySchema = z.strictObject({
  reason: z.string().max(200).default(""),
});

/** Creates the routes under `/v1/drains`. */
export function createDrainRoutes(
  deps: api.ApiDependencies,
): hono.Hono<api.ApiEnv> {
  const app = new hono.Hono<api.ApiEnv>();
  app.get("/", (context) => context.json({ drains: deps.config.drains() }));
  app.put("/:server", async (context) => {
    const reason = await parseReason(context);
    if (reason.isErr()) return errorResponse(context, reason.error);
    return await setDrain(deps, context, reason.value);
  });
  app.delete("/:server", (context) => setDrain(deps, context, undefined));
  return app;
}

/** Drains the server; without a reason returns it to service. */
async function setDrain(
  deps: api.ApiDependencies,
  context: api.ApiContext,
  reason: string | undefined,
): Promise<Response> {
  const server = context.req.param("server") as contracts.ServerId;
  const isDrained = reason !== undefined;
  const allowed = checkDrainAllowed(deps, context, server);
  const published = allowed.isErr()
    ? neverthrow.err(allowed.error)
    : await deps.publisher.setDrain({
      operator: context.get("operator").name,
      server,
      isDrained,
      reason: reason ?? "",
      knownRevision: highestKnownRevision(deps),
    });
  if (published.isOk()) deps.config.notePublished(published.value);
  api.auditChange(deps, context, {
    action: isDrained ? "drain" : "return",
    object: `server/${server}`,
    ...published.match(
      (config) => ({ result: "done" as const, detail: `${config.revision}` }),
      api.auditResultOfError,
    ),
  });
  return published.match(
    ({ revision, drains }) => context.json({ revision, drains: drains ?? [] }),
    (error) => errorResponse(context, error),
  );
}

function checkDrainAllowed(
  deps: api.ApiDependencies,
  context: api.ApiContext,
  server: contracts.ServerId,
): neverthrow.Result<void, ApiError> {
  const operator = context.get("operator");
  const address = deps.servers.server(server);
  const isKnown = address !== undefined ||
    deps.config.drains().some((drain) => drain.server === server);
  if (!isKnown) {
    const message = `No server "${server}" is on the VM list: see /v1/servers`;
    return neverthrow.err({ kind: "not-found", message });
  }
  const service = address && deps.config.service(address.service);
  const isAllowed = service === undefined
    // A server without a known service belongs to no single partner.
    ? operator.canAccessAllPartners
    : operator.mayChange(service);
  if (isAllowed) return neverthrow.ok(undefined);
  const message = `Your token has no rights for server "${server}": ask an ` +
    "operator of its service's partner";
  return neverthrow.err({ kind: "forbidden", message });
}

async function parseReason(
  context: api.ApiContext,
): Promise<neverthrow.Result<string, ApiError>> {
  const text = await context.req.text();
  if (text === "") return neverthrow.ok("");
  return contracts.decodeJson(text, drainBodySchema)
    .map(({ reason }) => reason)
    .mapErr(() => badRequest('Send {"reason": "why"} as body, or no body'));
}
