/** Draining servers and returning them to service: `/v1/drains`. */
import type * as contracts from "@guavatide/contracts";
import * as hono from "hono";
import * as neverthrow from "neverthrow";
import * as z from "zod";
import * as api from "./api_context.ts";
import { type ApiError, badRequest, errorResponse } from "./api_error.ts";
import { highestKnownRevision } from "./publish_routes.ts";

const drainBodySchema = z.strictObject({
  reason: z.string().max(200).default(""),
});

/** Routes under `/v1/drains`. */
export function createDrainRoutes(
  parts: api.ApiDependencies,
): hono.Hono<api.ApiEnv> {
  const app = new hono.Hono<api.ApiEnv>();
  app.get("/", (context) => context.json({ drains: parts.config.drains() }));
  app.put("/:server", async (context) => {
    const reason = await parseReason(context);
    if (reason.isErr()) return errorResponse(context, reason.error);
    return await setDrain(parts, context, reason.value);
  });
  app.delete("/:server", (context) => setDrain(parts, context, undefined));
  return app;
}

/** Drains when a reason is given; returns to service otherwise. */
async function setDrain(
  parts: api.ApiDependencies,
  context: api.ApiContext,
  reason: string | undefined,
): Promise<Response> {
  const server = context.req.param("server") as contracts.ServerId;
  const isDrained = reason !== undefined;
  const allowed = checkDrainAllowed(parts, context, server);
  const written = allowed.isErr()
    ? neverthrow.err(allowed.error)
    : await parts.publisher.setDrain({
      operator: context.get("operator").name,
      server,
      isDrained,
      reason: reason ?? "",
      knownRevision: highestKnownRevision(parts),
    });
  if (written.isOk()) parts.config.notePublished(written.value);
  api.auditChange(parts, context, {
    action: isDrained ? "drain" : "return",
    object: `server/${server}`,
    ...written.match(
      (config) => ({ result: "done" as const, detail: `${config.revision}` }),
      api.auditResultOfError,
    ),
  });
  return written.match(
    ({ revision, drains }) => context.json({ revision, drains: drains ?? [] }),
    (error) => errorResponse(context, error),
  );
}

function checkDrainAllowed(
  parts: api.ApiDependencies,
  context: api.ApiContext,
  server: contracts.ServerId,
): neverthrow.Result<void, ApiError> {
  const operator = context.get("operator");
  const address = parts.servers.server(server);
  const isKnown = address !== undefined ||
    parts.config.drains().some((drain) => drain.server === server);
  if (!isKnown) {
    const message = `No server "${server}" is on the VM list: see /v1/servers`;
    return neverthrow.err({ kind: "not-found", message });
  }
  const service = address && parts.config.service(address.service);
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
  try {
    return neverthrow.ok(drainBodySchema.parse(JSON.parse(text)).reason);
  } catch {
    return neverthrow.err(
      badRequest('Send {"reason": "why"} as body, or no body'),
    );
  }
}
