/** Checking, comparing and publishing the whole set. */
import type * as decisions from "@guavatide/decisions";
import * as hono from "hono";
import type { Operator } from "./operator_authenticator.ts";
import * as api from "./api_context.ts";
import { errorResponse } from "./api_error.ts";

/** Routes `/v1/check`, `/v1/diff`, `/v1/publish` and `/v1/history`. */
export function createPublishRoutes(
  parts: api.ApiDependencies,
): hono.Hono<api.ApiEnv> {
  const app = new hono.Hono<api.ApiEnv>();
  app.get("/check", (context) => check(parts, context));
  app.get("/diff", (context) => diff(parts, context));
  app.post("/publish", (context) => publish(parts, context));
  app.get("/history", async (context) => {
    const history = await parts.publisher.history();
    return history.match(
      (entries) => context.json({ history: [...entries].reverse() }),
      (error) => errorResponse(context, error),
    );
  });
  return app;
}

async function check(
  parts: api.ApiDependencies,
  context: api.ApiContext,
): Promise<Response> {
  const plan = await parts.publisher.plan();
  return plan.match(
    ({ findings, tag, currentRevision }) =>
      context.json({ findings, tag, currentRevision }),
    (error) => errorResponse(context, error),
  );
}

async function diff(
  parts: api.ApiDependencies,
  context: api.ApiContext,
): Promise<Response> {
  const plan = await parts.publisher.plan();
  return plan.match(
    ({ changes, findings, tag, currentRevision }) =>
      context.json({ changes, findings, tag, currentRevision }),
    (error) => errorResponse(context, error),
  );
}

async function publish(
  parts: api.ApiDependencies,
  context: api.ApiContext,
): Promise<Response> {
  const tag = /^"(.+)"$/.exec(context.req.header("if-match") ?? "")?.[1];
  if (tag === undefined) {
    const message = "Send If-Match with the tag of the diff you have checked";
    return errorResponse(context, { kind: "precondition-required", message });
  }
  const operator = context.get("operator");
  const published = await parts.publisher.publish({
    operator: operator.name,
    tag,
    knownRevision: highestKnownRevision(parts),
    forbidden: (changes) => forbiddenObjects(changes, operator),
  });
  if (published.isOk()) parts.config.notePublished(published.value);
  api.auditChange(parts, context, {
    action: "publish",
    object: "",
    ...published.match(
      (config) => ({ result: "done" as const, detail: `${config.revision}` }),
      api.auditResultOfError,
    ),
  });
  return published.match(
    ({ revision, publishedAt, publishedBy }) =>
      context.json({ revision, publishedAt, publishedBy }),
    (error) => errorResponse(context, error),
  );
}

/** Highest revision in force at any entry VM heard of. */
export function highestKnownRevision(parts: api.ApiDependencies): number {
  return Math.max(...parts.config.revisions().map((each) => each.revision));
}

function forbiddenObjects(
  changes: readonly decisions.ObjectChange[],
  operator: Operator,
): string[] {
  return changes
    .filter(({ before, after }) =>
      [before, after].some((object) =>
        object !== undefined && !operator.mayChange(object)
      )
    )
    .map((change) => change.object);
}
