/**
 * What the request path reads of the rest of the process. Each view is
 * answered from memory; none waits.
 */
import type * as contracts from "@guavatide/contracts";

/** A backend server and where it listens. */
export interface ServerAddress {
  readonly server: contracts.ServerId;
  readonly service: contracts.ServiceId;
  readonly zone: contracts.ZoneId;
  /** IP number. */
  readonly host: string;
  readonly port: number;
  /** A leaving or draining server takes no new work. */
  readonly state: "live" | "leaving" | "draining";
}

/** Who owns a key, as far as this process knows. */
export type OwnerLookup =
  | {
    readonly kind: "owned";
    readonly server: contracts.ServerId;
    readonly slice: contracts.SliceId;
    readonly fence: number;
    readonly revision: number;
  }
  /** The slice is between two owners; `onChange` tells when that ends. */
  | { readonly kind: "vacating"; readonly revision: number }
  | { readonly kind: "none" };

/** The configuration in force. */
export interface ConfigView {
  readonly revision: number;
  service(id: contracts.ServiceId): contracts.Service | undefined;
  partner(id: contracts.PartnerId): contracts.Partner | undefined;
}

/** Servers known from the VM list, drain signals and refusals. */
export interface ServerView {
  servers(service: contracts.ServiceId): readonly ServerAddress[];
  server(id: contracts.ServerId): ServerAddress | undefined;
  /** The server said itself that it drains. */
  noteDraining(id: contracts.ServerId): void;
}

/** Ownership of keyed services. */
export interface OwnerView {
  lookup(service: contracts.ServiceId, keyHash: number): OwnerLookup;
  /**
   * Whether a request may leave now for this slice at this fence. Always
   * true for servers that check fences; for others it needs evidence.
   * Called right before the bytes leave.
   */
  mayForward(
    service: contracts.ServiceId,
    server: contracts.ServerId,
    slice: contracts.SliceId,
    fence: number,
  ): boolean;
  /** Whether a server is known to refuse orders and requests of the past. */
  checksFences(
    service: contracts.ServiceId,
    server: contracts.ServerId,
  ): boolean;
  /** Counts a forwarded request until `done` is called. */
  noteForwarded(
    service: contracts.ServiceId,
    server: contracts.ServerId,
    slice: contracts.SliceId,
  ): { done(): void };
  /** Calls back after each change of the service's assignment. */
  onChange(service: contracts.ServiceId, callback: () => void): () => void;
  /** A server refused as not owner: look for a newer revision soon. */
  noteNotOwner(service: contracts.ServiceId, revision: number): void;
}
