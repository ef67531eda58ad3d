/**
 * Format of the published configuration in the platform store. The object
 * `config/current` names the revision in force and, if they fit, contains the
 * configuration objects. Otherwise they are stored in chunks, which are written
 * before the object that refers to them.
 */
import * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import * as crypto from "node:crypto";
import * as z from "zod";

/** The object that names the revision in force. */
export const CURRENT_NAME = "config/current";
/** Name prefix of chunks. */
export const CHUNK_PREFIX = "config-chunks/";

/** Maximum number of publishes in the history, the newest last. */
export const MAX_HISTORY_ENTRIES = 50;

const publishEntrySchema = z.strictObject({
  revision: z.number().int().min(1),
  publishedBy: z.string().min(1),
  publishedAt: z.string().min(1),
  /** Unique to each publish, to recognize a write whose reply was lost. */
  nonce: z.string().min(1),
  /** The first changed objects, as `change kind/name`. */
  changes: z.array(z.string()),
  /** Number of changed objects. */
  changeCount: z.number().int().min(0),
  /** Number of chunks; 0 if `config/current` contained the objects. */
  chunks: z.number().int().min(0),
});
/** One publish in the history. */
export type PublishEntry = z.infer<typeof publishEntrySchema>;

const currentSchema = z.strictObject({
  /** VM that wrote this revision. */
  writer: contracts.vmIdSchema,
  /** SHA-256 of the JSON text of the objects, hexadecimal. */
  checksum: z.string(),
  /** JSON array of the configuration objects. Absent if stored in chunks. */
  text: z.string().optional(),
  drains: z.array(contracts.drainSchema),
  history: z.array(publishEntrySchema).min(1),
});
/** Content of `config/current`. */
export type CurrentConfig = z.infer<typeof currentSchema>;

/** Why the published configuration could not be read. */
export type ConfigReadError =
  /** Nothing has been published yet. */
  | { readonly kind: "not-found"; readonly message: string }
  | { readonly kind: "unavailable"; readonly message: string }
  /** The text or a chunk is invalid, or the checksum doesn't match. */
  | { readonly kind: "unreadable"; readonly message: string };

/** The newest publish of the history, which is the one in force. */
export function latestEntry(current: CurrentConfig): PublishEntry {
  return current.history.at(-1)!;
}

/** Parses the value of `config/current`. */
export function parseCurrentConfig(
  value: string,
): neverthrow.Result<CurrentConfig, ConfigReadError> {
  const parsed = currentSchema.safeParse(
    contracts.parseJson(value).unwrapOr(undefined),
  );
  if (parsed.success) return neverthrow.ok(parsed.data);
  return neverthrow.err(unreadable("is not what this release writes"));
}

/** Checksum of the JSON text of the objects: SHA-256, hexadecimal. */
export function checksumOf(text: string): string {
  return crypto.createHash("sha256").update(text).digest("hex");
}

/** Name of a chunk. The nonce avoids collisions of concurrent publishers. */
export function chunkName(entry: PublishEntry, index: number): string {
  return `${CHUNK_PREFIX}${entry.revision}-${entry.nonce}/${index}`;
}

/** Splits the text into chunk values of at most `limitBytes` each. */
export function splitText(text: string, limitBytes: number): string[] {
  const encoded = Buffer.from(text, "utf8").toString("base64");
  const size = limitBytes - CHUNK_OVERHEAD_BYTES;
  const chunks: string[] = [];
  for (let start = 0; start < encoded.length; start += size) {
    const base64 = encoded.slice(start, start + size);
    chunks.push(JSON.stringify({ base64 }));
  }
  return chunks;
}
/** Allowance for the JSON around a chunk. */
const CHUNK_OVERHEAD_BYTES = 32;

const chunkSchema = z.strictObject({ base64: z.string() });

/** Joins the chunk values made by {@link splitText}. */
export function joinChunks(
  values: readonly string[],
): neverthrow.Result<string, ConfigReadError> {
  let encoded = "";
  for (const value of values) {
    const parsed = chunkSchema.safeParse(
      contracts.parseJson(value).unwrapOr(undefined),
    );
    if (!parsed.success) return neverthrow.err(unreadable("has a bad chunk"));
    encoded += parsed.data.base64;
  }
  return neverthrow.ok(Buffer.from(encoded, "base64").toString("utf8"));
}

/** Verifies the text against the checksum and parses the objects. */
export function decodeConfig(
  current: CurrentConfig,
  text: string,
): neverthrow.Result<contracts.PublishedConfig, ConfigReadError> {
  if (checksumOf(text) !== current.checksum) {
    return neverthrow.err(unreadable("does not match its checksum"));
  }
  const entry = latestEntry(current);
  const parsed = contracts.publishedConfigSchema.safeParse({
    revision: entry.revision,
    publishedBy: entry.publishedBy,
    publishedAt: entry.publishedAt,
    objects: contracts.parseJson(text).unwrapOr(undefined),
    drains: current.drains,
  });
  if (parsed.success) return neverthrow.ok(parsed.data);
  return neverthrow.err(unreadable("holds objects of another release"));
}

function unreadable(problem: string): ConfigReadError {
  const message = `The published configuration ${problem}: delete ` +
    `"${CURRENT_NAME}" in the platform's store and publish again; until then ` +
    "entry VMs keep what they have in force";
  return { kind: "unreadable", message };
}
