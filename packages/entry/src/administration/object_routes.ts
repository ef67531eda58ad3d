/**
 * Routes under `/v1/objects`: drafts of configuration objects. An object's
 * version is its ETag, and every change states the version that it is based on
 * (optimistic concurrency), so of two concurrent edits the second is refused
 * instead of silently overwriting the first.
 */
import * as contracts from "@guavatide/contracts";
import * as hono from "hono";
import * as neverthrow from "neverthrow";
import * as z from "zod";
import type { Draft, DraftName } from "../configuration/mod.ts";
import * as api from "./api_context.ts";
import { type ApiError, badRequest, errorResponse } from "./api_error.ts";

const kindSchema = z.enum(["service", "place", "partner", "cost-share"]);
const OBJECT_PATH = "/:kind/:name";

/** Creates the routes under `/v1/objects`. */
export function createObjectRoutes(
  deps: api.ApiDependencies,
): hono.Hono<api.ApiEnv> {
  const app = new hono.Hono<api.ApiEnv>();
  app.get("/", (context) => listObjects(deps, context));
  app.get(OBJECT_PATH, (context) => getObject(deps, context));
  app.put(OBJECT_PATH, (context) => putObject(deps, context));
  app.delete(OBJECT_PATH, (context) => deleteObject(deps, context));
  return app;
}

async function listObjects(
  deps: api.ApiDependencies,
  context: api.ApiContext,
): Promise<Response> {
  const kind = context.req.query("kind");
  const listed = await deps.drafts.list();
  return listed.match(
    ({ drafts, tag }) => {
      const objects = drafts
        .filter((draft) => kind === undefined || draft.object.kind === kind)
        .map(({ object, version, lastEdit }) => ({
          object,
          version,
          lastEdit,
        }));
      return context.json({ tag, objects });
    },
    (error) => errorResponse(context, error),
  );
}

async function getObject(
  deps: api.ApiDependencies,
  context: api.ApiContext,
): Promise<Response> {
  const name = draftNameOf(context);
  if (name.isErr()) return errorResponse(context, name.error);
  const read = await deps.drafts.get(name.value);
  return read.match(
    (draft) => draftResponse(context, draft),
    (error) => errorResponse(context, error),
  );
}

async function putObject(
  deps: api.ApiDependencies,
  context: api.ApiContext,
): Promise<Response> {
  const object = await parseObject(context);
  if (object.isErr()) return errorResponse(context, object.error);
  const isCreation = context.req.header("if-none-match") === "*";
  const written = isCreation
    ? await createDraft(deps, context, object.value)
    : await replaceDraft(deps, context, object.value);
  api.auditChange(deps, context, {
    action: isCreation ? "create" : "edit",
    object: objectPath(object.value),
    ...written.match(
      (draft) => ({ result: "done" as const, detail: draft.version }),
      api.auditResultOfError,
    ),
  });
  return written.match(
    (draft) => draftResponse(context, draft, isCreation ? 201 : 200),
    (error) => errorResponse(context, error),
  );
}

type DraftResult = Promise<neverthrow.Result<Draft, ApiError>>;

async function createDraft(
  deps: api.ApiDependencies,
  context: api.ApiContext,
  object: contracts.ConfigObject,
): DraftResult {
  const operator = context.get("operator");
  if (!operator.mayChange(object)) return neverthrow.err(forbidden(object));
  return await deps.drafts.create(object, operator.name);
}

async function replaceDraft(
  deps: api.ApiDependencies,
  context: api.ApiContext,
  object: contracts.ConfigObject,
): DraftResult {
  const version = ifMatchVersion(context);
  if (version === undefined) return neverthrow.err(missingVersionError());
  const allowed = await checkReplaceAllowed(deps, context, object);
  if (allowed.isErr()) return neverthrow.err(allowed.error);
  const operator = context.get("operator").name;
  return await deps.drafts.replace(object, { operator, version });
}

/** Requires that the operator may change both the current and the new object. */
async function checkReplaceAllowed(
  deps: api.ApiDependencies,
  context: api.ApiContext,
  object: contracts.ConfigObject,
): Promise<neverthrow.Result<void, ApiError>> {
  const operator = context.get("operator");
  const current = await deps.drafts.get(object);
  if (current.isErr()) return neverthrow.err(current.error);
  const isAllowed = operator.mayChange(current.value.object) &&
    operator.mayChange(object);
  return isAllowed
    ? neverthrow.ok(undefined)
    : neverthrow.err(forbidden(object));
}

async function deleteObject(
  deps: api.ApiDependencies,
  context: api.ApiContext,
): Promise<Response> {
  const name = draftNameOf(context);
  if (name.isErr()) return errorResponse(context, name.error);
  const removed = await removeDraft(deps, context, name.value);
  api.auditChange(deps, context, {
    action: "delete",
    object: objectPath(name.value),
    ...removed.match(
      () => ({ result: "done" as const, detail: "" }),
      api.auditResultOfError,
    ),
  });
  return removed.match(
    () => context.body(null, 204),
    (error) => errorResponse(context, error),
  );
}

async function removeDraft(
  deps: api.ApiDependencies,
  context: api.ApiContext,
  name: DraftName,
): Promise<neverthrow.Result<void, ApiError>> {
  const version = ifMatchVersion(context);
  if (version === undefined) return neverthrow.err(missingVersionError());
  const current = await deps.drafts.get(name);
  if (current.isErr()) return neverthrow.err(current.error);
  if (!context.get("operator").mayChange(current.value.object)) {
    return neverthrow.err(forbidden(name));
  }
  return await deps.drafts.remove(name, version);
}

function draftNameOf(
  context: api.ApiContext,
): neverthrow.Result<DraftName, ApiError> {
  const kind = kindSchema.safeParse(context.req.param("kind"));
  if (!kind.success) {
    const known = kindSchema.options.join(", ");
    return neverthrow.err(badRequest(`Unknown kind: use one of ${known}`));
  }
  const name = context.req.param("name") ?? "";
  return neverthrow.ok({ kind: kind.data, name });
}

async function parseObject(
  context: api.ApiContext,
): Promise<neverthrow.Result<contracts.ConfigObject, ApiError>> {
  const name = draftNameOf(context);
  if (name.isErr()) return neverthrow.err(name.error);
  const raw = contracts.parseJson(await context.req.text()).unwrapOr(undefined);
  if (typeof raw !== "object" || raw === null) {
    return neverthrow.err(
      badRequest("The body is not a JSON object: send one"),
    );
  }
  const parsed = contracts.configObjectSchema.safeParse({
    ...name.value,
    ...raw,
  });
  if (!parsed.success) return neverthrow.err(invalidFieldsError(parsed.error));
  const { kind, name: bodyName } = parsed.data;
  if (kind !== name.value.kind || bodyName !== name.value.name) {
    const message = `The body is "${kind}/${bodyName}": name the same object ` +
      "in path and body, or leave kind and name out of the body";
    return neverthrow.err(badRequest(message));
  }
  return neverthrow.ok(parsed.data);
}

function invalidFieldsError(error: z.ZodError): ApiError {
  const problems = error.issues
    .map((issue) => `${issue.path.join(".") || "object"}: ${issue.message}`);
  return badRequest(`Correct these fields: ${problems.join("; ")}`);
}

function draftResponse(
  context: api.ApiContext,
  draft: Draft,
  status: 200 | 201 = 200,
): Response {
  context.header("etag", `"${draft.version}"`);
  return context.json({ ...draft }, status);
}

function ifMatchVersion(context: api.ApiContext): string | undefined {
  return /^"(.+)"$/.exec(context.req.header("if-match") ?? "")?.[1];
}

function missingVersionError(): ApiError {
  const message =
    'Send If-Match with the ETag of the version you read, or "*" ' +
    "in If-None-Match to create";
  return { kind: "precondition-required", message };
}

function forbidden(name: DraftName): ApiError {
  const message =
    `Your token has no rights for "${objectPath(name)}": ask an ` +
    "operator of that partner";
  return { kind: "forbidden", message };
}

function objectPath(name: DraftName): string {
  return `${name.kind}/${name.name}`;
}
