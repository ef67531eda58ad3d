/** Reads the secret and certificate files that the settings refer to. */
import * as fs from "node:fs";
import * as neverthrow from "neverthrow";
import type { ListenerTls, Settings } from "./schema.ts";

/** A file that the settings refer to is unusable. */
export interface SettingsFileError {
  readonly kind: "unreadable" | "too-short";
  readonly message: string;
}

/** Contents of one listener's certificate files, in PEM format. */
export interface ListenerCertificate {
  readonly cert: string;
  readonly key: string;
  readonly ca?: string;
}

/** Certificates by listener; a listener without one serves plain HTTP. */
export type ListenerCertificates = {
  readonly [Listener in keyof Settings["tls"]]?: ListenerCertificate;
};

const MIN_SECRET_LENGTH = 16;

/** Returns the peer secret. Errors: `unreadable` file, `too-short` secret. */
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
      message: `The secret in "${path}" is too short: ` +
        `use ${MIN_SECRET_LENGTH} characters or more`,
    });
  });
}

/** Reads the certificates of all listeners. Errors: `unreadable` file. */
export function readCertificates(
  settings: Settings,
): neverthrow.Result<ListenerCertificates, SettingsFileError> {
  const certificates: {
    [Listener in keyof Settings["tls"]]: ListenerCertificate;
  } = {};
  for (const [listener, files] of Object.entries(settings.tls)) {
    if (files === undefined) continue;
    const certificate = readCertificate(files);
    if (certificate.isErr()) return neverthrow.err(certificate.error);
    certificates[listener as keyof Settings["tls"]] = certificate.value;
  }
  return neverthrow.ok(certificates);
}

/** Reads one listener's certificate. Errors: `unreadable` file. */
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
      message:
        `Cannot read "${path}" (${reason}): check the path and the file permissions`,
    });
  }
}
