/** Reads the files that settings name. */
import * as fs from "node:fs";
import * as neverthrow from "neverthrow";
import type { ListenerTls, Settings } from "./schema.ts";

/** A file named in the settings could not be used. */
export interface SettingsFileError {
  readonly kind: "unreadable" | "too-short";
  readonly message: string;
}

/** Contents of one door's certificate files. */
export interface ListenerCertificate {
  readonly cert: string;
  readonly key: string;
  readonly ca?: string;
}

/** Certificates by door; a door without one speaks plain HTTP. */
export type ListenerCertificates = {
  readonly [Door in keyof Settings["tls"]]?: ListenerCertificate;
};

const MIN_SECRET_LENGTH = 16;

/** The secret of the entry VMs. Errors: unreadable file, secret too short. */
export function readPeerSecret(
  settings: Settings,
): neverthrow.Result<string, SettingsFileError> {
  if (settings.peerSecret !== undefined) {
    return neverthrow.ok(settings.peerSecret);
  }
  const path = settings.peerSecretFile ?? "";
  return readTextFile(path).andThen((text) => {
    const secret = text.trim();
    if (secret.length >= MIN_SECRET_LENGTH) return neverthrow.ok(secret);
    return neverthrow.err<string, SettingsFileError>({
      kind: "too-short",
      message: `The secret in "${path}" is short: ` +
        `use ${MIN_SECRET_LENGTH} characters or more`,
    });
  });
}

/** Certificates of every door that has one. Errors: unreadable file. */
export function readCertificates(
  settings: Settings,
): neverthrow.Result<ListenerCertificates, SettingsFileError> {
  const found: { [Door in keyof Settings["tls"]]: ListenerCertificate } = {};
  for (const [door, files] of Object.entries(settings.tls)) {
    if (files === undefined) continue;
    const read = readCertificate(files);
    if (read.isErr()) return neverthrow.err(read.error);
    found[door as keyof Settings["tls"]] = read.value;
  }
  return neverthrow.ok(found);
}

/** A door's certificate. Errors: unreadable file. */
export function readCertificate(
  files: ListenerTls,
): neverthrow.Result<ListenerCertificate, SettingsFileError> {
  return neverthrow.Result.combine([
    readTextFile(files.certFile),
    readTextFile(files.keyFile),
    files.caFile === undefined
      ? neverthrow.ok<string | undefined, SettingsFileError>(undefined)
      : readTextFile(files.caFile),
  ]).map(([cert, key, ca]) => ({ cert: cert!, key: key!, ca }));
}

function readTextFile(
  path: string,
): neverthrow.Result<string, SettingsFileError> {
  try {
    return neverthrow.ok(fs.readFileSync(path, "utf8"));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return neverthrow.err({
      kind: "unreadable",
      message: `Cannot read "${path}" (${reason}): check the path and rights`,
    });
  }
}
