/**
 * Objects as operators edit them: `/v1/objects`. Versions travel as ETag;
 * every change names the version it was made on, so that of two racing
 * operators one is told instead of silently undoing the other's edit.
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

/** Routes under `/v1/objects`. */
export function createObjectRoutes(
  parts: api.ApiDependencies,
): hono.Hono<api.ApiEnv> {
  const app = new hono.Hono<api.ApiEnv>();
  app.get("/", (context) => listObjects(parts, context));
  app.get(OBJECT_PATH, (context) => getObject(parts, context));
  app.put(OBJECT_PATH, (context) => putObject(parts, context));
  app.delete(OBJECT_PATH, (context) => deleteObject(parts, context));
  return app;
}

async function listObjects(
  parts: api.ApiDependencies,
  context: api.ApiContext,
): Promise<Response> {
  const kind = context.req.query("kind");
  const listed = await parts.drafts.list();
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
  parts: api.ApiDependencies,
  context: api.ApiContext,
): Promise<Response> {
  const name = draftNameOf(context);
  if (name.isErr()) return errorResponse(context, name.error);
  const read = await parts.drafts.get(name.value);
  return read.match(
    (draft) => draftResponse(context, draft),
    (error) => errorResponse(context, error),
  );
}

async function putObject(
  parts: api.ApiDependencies,
  context: api.ApiContext,
): Promise<Response> {
  const object = await parseObject(context);
  if (object.isErr()) return errorResponse(context, object.error);
  const isCreation = context.req.header("if-none-match") === "*";
  const written = isCreation
    ? await createDraft(parts, context, object.value)
    : await replaceDraft(parts, context, object.value);
  api.auditChange(parts, context, {
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
  parts: api.ApiDependencies,
  context: api.ApiContext,
  object: contracts.ConfigObject,
): DraftResult {
  const operator = context.get("operator");
  if (!operator.mayChange(object)) return neverthrow.err(forbidden(object));
  return await parts.drafts.create(object, operator.name);
}

async function replaceDraft(
  parts: api.ApiDependencies,
  context: api.ApiContext,
  object: contracts.ConfigObject,
): DraftResult {
  const version = ifMatchVersion(context);
  if (version === undefined) return neverthrow.err(missingVersionError());
  const allowed = await checkReplaceAllowed(parts, context, object);
  if (allowed.isErr()) return neverthrow.err(allowed.error);
  const operator = context.get("operator").name;
  return await parts.drafts.replace(object, { operator, version });
}

/** Both what stands and what is to stand must be the operator's. */
async function checkReplaceAllowed(
  parts: api.ApiDependencies,
  context: api.ApiContext,
  object: contracts.ConfigObject,
): Promise<neverthrow.Result<void, ApiError>> {
  const operator = context.get("operator");
  const before = await parts.drafts.get(object);
  if (before.isErr()) return neverthrow.err(before.error);
  const isAllowed = operator.mayChange(before.value.object) &&
    operator.mayChange(object);
  return isAllowed
    ? neverthrow.ok(undefined)
    : neverthrow.err(forbidden(object));
}

async function deleteObject(
  parts: api.ApiDependencies,
  context: api.ApiContext,
): Promise<Response> {
  const name = draftNameOf(context);
  if (name.isErr()) return errorResponse(context, name.error);
  const removed = await removeDraft(parts, context, name.value);
  api.auditChange(parts, context, {
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
  parts: api.ApiDependencies,
  context: api.ApiContext,
  name: DraftName,
): Promise<neverthrow.Result<void, ApiError>> {
  const version = ifMatchVersion(context);
  if (version === undefined) return neverthrow.err(missingVersionError());
  const before = await parts.drafts.get(name);
  if (before.isErr()) return neverthrow.err(before.error);
  if (!context.get("operator").mayChange(before.value.object)) {
    return neverthrow.err(forbidden(name));
  }
  return await parts.drafts.remove(name, version);
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
  const raw = parseJson(await context.req.text());
  if (typeof raw !== "object" || raw === null) {
    return neverthrow.err(badRequest("The body is no JSON object: send one"));
  }
  const parsed = contracts.configObjectSchema.safeParse({
    ...name.value,
    ...raw,
  });
  if (!parsed.success) return neverthrow.err(invalidFieldsError(parsed.error));
  const { kind, name: ownName } = parsed.data;
  if (kind !== name.value.kind || ownName !== name.value.name) {
    const message = `The body is "${kind}/${ownName}": name the same object ` +
      "in path and body, or leave kind and name out of the body";
    return neverthrow.err(badRequest(message));
  }
  return neverthrow.ok(parsed.data);
}

function invalidFieldsError(error: z.ZodError): ApiError {
  const problems = error.issues
    .map((issue) => `${issue.path.join(".") || "object"}: ${issue.message}`);
  return badRequest(`Mend these fields: ${problems.join("; ")}`);
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
  const message = 'Send If-Match with the ETag you have seen, or "*" in ' +
    "If-None-Match to create";
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

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
