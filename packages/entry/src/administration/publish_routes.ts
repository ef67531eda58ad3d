/** Routes that check, diff and publish the drafts as one configuration. */
import type * as decisions from "@guavatide/decisions";
import * as hono from "hono";
import type { Operator } from "./operator_authenticator.ts";
import * as api from "./api_context.ts";
import { errorResponse } from "./api_error.ts";

/** Creates the routes `/v1/check`, `/v1/diff`, `/v1/publish` and `/v1/history`. */
export function createPublishRoutes(
  deps: api.ApiDependencies,
): hono.Hono<api.ApiEnv> {
  const app = new hono.Hono<api.ApiEnv>();
  app.get("/check", (context) => check(deps, context));
  app.get("/diff", (context) => diff(deps, context));
  app.post("/publish", (context) => publish(deps, context));
  app.get("/history", async (context) => {
    const history = await deps.publisher.history();
    return history.match(
      (entries) => context.json({ history: [...entries].reverse() }),
      (error) => errorResponse(context, error),
    );
  });
  return app;
}

async function check(
  deps: api.ApiDependencies,
  context: api.ApiContext,
): Promise<Response> {
  const plan = await deps.publisher.plan();
  return plan.match(
    ({ findings, tag, currentRevision }) =>
      context.json({ findings, tag, currentRevision }),
    (error) => errorResponse(context, error),
  );
}

async function diff(
  deps: api.ApiDependencies,
  context: api.ApiContext,
): Promise<Response> {
  const plan = await deps.publisher.plan();
  return plan.match(
    ({ changes, findings, tag, currentRevision }) =>
      context.json({ changes, findings, tag, currentRevision }),
    (error) => errorResponse(context, error),
  );
}

async function publish(
  deps: api.ApiDependencies,
  context: api.ApiContext,
): Promise<Response> {
  const tag = /^"(.+)"$/.exec(context.req.header("if-match") ?? "")?.[1];
  if (tag === undefined) {
    const message = "Send If-Match with the tag of the diff you have checked";
    return errorResponse(context, { kind: "precondition-required", message });
  }
  const operator = context.get("operator");
  const published = await deps.publisher.publish({
    operator: operator.name,
    tag,
    knownRevision: highestKnownRevision(deps),
    forbidden: (changes) => forbiddenObjects(changes, operator),
  });
  if (published.isOk()) deps.config.notePublished(published.value);
  api.auditChange(deps, context, {
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

/** Returns the highest configuration revision in force at any known entry VM. */
export function highestKnownRevision(deps: api.ApiDependencies): number {
  return Math.max(...deps.config.revisions().map((each) => each.revision));
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
