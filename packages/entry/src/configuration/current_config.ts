/**
 * The published configuration as it lies in the platform's store: one object
 * names the revision in force, and holds the set itself while that fits.
 * A larger set lies in chunks, written before the object that names them.
 */
import * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import * as crypto from "node:crypto";
import * as z from "zod";

/** The object that names the revision in force. */
export const CURRENT_NAME = "config/current";
/** Prefix of chunks. */
export const CHUNK_PREFIX = "config-chunks/";

/** Publishes remembered, the newest last. */
export const MAX_HISTORY_ENTRIES = 50;

const publishEntrySchema = z.strictObject({
  revision: z.number().int().min(1),
  publishedBy: z.string().min(1),
  publishedAt: z.string().min(1),
  /** Drawn anew for each publish, to recognise one's own lost reply. */
  nonce: z.string().min(1),
  /** Changed objects, as `change kind/name`; the first few. */
  changes: z.array(z.string()),
  /** Number of changed objects. */
  changeCount: z.number().int().min(0),
  /** Chunks of this revision; 0 when the set lay in the object itself. */
  chunks: z.number().int().min(0),
});
/** One publish in the history. */
export type PublishEntry = z.infer<typeof publishEntrySchema>;

const currentSchema = z.strictObject({
  /** VM that wrote this revision. */
  writer: contracts.vmIdSchema,
  /** SHA-256 of the set's text, hexadecimal. */
  checksum: z.string(),
  /** The set's text, a JSON list; absent when it lies in chunks. */
  text: z.string().optional(),
  drains: z.array(contracts.drainSchema),
  history: z.array(publishEntrySchema).min(1),
});
/** What `config/current` holds. */
export type CurrentConfig = z.infer<typeof currentSchema>;

/** Why the published configuration could not be read. */
export type ConfigReadError =
  /** Nothing has been published yet. */
  | { readonly kind: "not-found"; readonly message: string }
  | { readonly kind: "unavailable"; readonly message: string }
  /** The text, a chunk or the checksum is wrong. */
  | { readonly kind: "unreadable"; readonly message: string };

/** The publish that is in force by the object's word. */
export function latestEntry(current: CurrentConfig): PublishEntry {
  return current.history.at(-1)!;
}

/** Reads the text of `config/current`. */
export function parseCurrentConfig(
  value: string,
): neverthrow.Result<CurrentConfig, ConfigReadError> {
  const parsed = currentSchema.safeParse(parseJson(value));
  if (parsed.success) return neverthrow.ok(parsed.data);
  return neverthrow.err(unreadable("is not what this release writes"));
}

/** Checksum of a set's text. */
export function checksumOf(text: string): string {
  return crypto.createHash("sha256").update(text).digest("hex");
}

/** Name of one chunk. The nonce keeps racing publishers apart. */
export function chunkName(entry: PublishEntry, index: number): string {
  return `${CHUNK_PREFIX}${entry.revision}-${entry.nonce}/${index}`;
}

/** Splits a set's text into values of at most `limitBytes`. */
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
/** Room for the JSON around a chunk. */
const CHUNK_OVERHEAD_BYTES = 32;

const chunkSchema = z.strictObject({ base64: z.string() });

/** Joins what {@link splitText} split. */
export function joinChunks(
  values: readonly string[],
): neverthrow.Result<string, ConfigReadError> {
  let encoded = "";
  for (const value of values) {
    const parsed = chunkSchema.safeParse(parseJson(value));
    if (!parsed.success) return neverthrow.err(unreadable("has a bad chunk"));
    encoded += parsed.data.base64;
  }
  return neverthrow.ok(Buffer.from(encoded, "base64").toString("utf8"));
}

/** Checks a set's text against its checksum and reads the objects. */
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
    objects: parseJson(text),
    drains: current.drains,
  });
  if (parsed.success) return neverthrow.ok(parsed.data);
  return neverthrow.err(unreadable("holds objects of another release"));
}

function unreadable(what: string): ConfigReadError {
  const message = `The published configuration ${what}: delete ` +
    `"${CURRENT_NAME}" in the platform's store and publish again; until then ` +
    "entry VMs keep what they have in force";
  return { kind: "unreadable", message };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
