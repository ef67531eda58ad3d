/**
 * Views of the rest of the process that the request path reads. All are served
 * synchronously from memory.
 */
import type * as contracts from "@guavatide/contracts";

/** A backend server and its address. */
export interface ServerAddress {
  readonly server: contracts.ServerId;
  readonly service: contracts.ServiceId;
  readonly zone: contracts.ZoneId;
  /** IP address. */
  readonly host: string;
  readonly port: number;
  /** A leaving or draining server gets no new requests. */
  readonly state: "live" | "leaving" | "draining";
}

/** Owner of a key according to the local state of this process. */
export type OwnerLookup =
  | {
    readonly kind: "owned";
    readonly server: contracts.ServerId;
    readonly slice: contracts.SliceId;
    /** Fencing token of the ownership. */
    readonly fence: number;
    readonly revision: number;
  }
  /** The slice is in handover between two owners; `onChange` reports the end. */
  | { readonly kind: "vacating"; readonly revision: number }
  | { readonly kind: "none" };

/** The configuration in use. */
export interface ConfigView {
  /** 0 until the first configuration is loaded. */
  readonly revision: number;
  service(id: contracts.ServiceId): contracts.Service | undefined;
  partner(id: contracts.PartnerId): contracts.Partner | undefined;
}

/** Servers known from the VM list, drain reports and refusals. */
export interface ServerView {
  servers(service: contracts.ServiceId): readonly ServerAddress[];
  server(id: contracts.ServerId): ServerAddress | undefined;
  /** Records a report of the server itself that it is draining. */
  noteDraining(id: contracts.ServerId): void;
}

/** Ownership of keyed services. */
export interface OwnerView {
  lookup(service: contracts.ServiceId, keyHash: number): OwnerLookup;
  /**
   * Whether a request for this slice with this fencing token may be sent now.
   * Always true for servers that check fencing tokens; for others the assignment
   * must be confirmed as current. Called right before the bytes are sent.
   */
  mayForward(
    service: contracts.ServiceId,
    server: contracts.ServerId,
    slice: contracts.SliceId,
    fence: number,
  ): boolean;
  /** Whether a server is known to refuse outdated fencing tokens. */
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
  /**
   * Calls back after each change of the service's assignment. The returned
   * function unregisters the callback.
   */
  onChange(service: contracts.ServiceId, callback: () => void): () => void;
  /** A server refused as not owner at this revision: fetch a newer one soon. */
  noteNotOwner(service: contracts.ServiceId, revision: number): void;
}
