/** Interfaces between the configuration task and the other entry VMs. */
import * as contracts from "@guavatide/contracts";
import type * as decisions from "@guavatide/decisions";
import type * as neverthrow from "neverthrow";
import * as z from "zod";

/** Peer method that returns a {@link decisions.ConfigDelta}. */
export const CONFIG_METHOD = "config";

/** Schema of the request: the revision that the requester has, 0 for none. */
export const configRequestSchema = z.strictObject({
  haveRevision: z.number().int().min(0),
});

/** Schema of the reply. Null if the peer has nothing newer. */
export const configReplySchema = z.strictObject({
  baseRevision: z.number().int().min(0),
  revision: z.number().int().min(1),
  publishedBy: z.string().min(1),
  publishedAt: z.string().min(1),
  objects: z.array(contracts.configObjectSchema),
  removed: z.array(z.string()),
  drains: z.array(contracts.drainSchema).optional(),
}).nullable();

/** Why fetching the configuration from a peer failed. */
export interface PeerConfigError {
  readonly kind: "unreachable" | "timeout" | "refused" | "bad-answer";
  readonly message: string;
}

/** Options of {@link PeerConfigSource.fetch}. */
export interface PeerConfigFetchOptions {
  /** Revision to base the delta on; 0 fetches everything. */
  readonly haveRevision: number;
  readonly timeoutMs: number;
}

/** The configuration in force in this process. */
export interface ConfigProvider {
  /** Revision in force, sent in heartbeats. */
  readonly revision: number;
  /** Records the revision that a peer reports to have in force. */
  notePeerRevision(vm: contracts.VmId, revision: number): void;
  /** Changes since a revision. Undefined if there is nothing newer. */
  deltaSince(haveRevision: number): decisions.ConfigDelta | undefined;
}

/** Access to the configuration of other entry VMs. */
export interface PeerConfigSource {
  /** Entry VMs that aren't known to have failed or left, including this one. */
  liveVms(): readonly contracts.VmId[];
  /** Sends the provider's revision in heartbeats and serves its deltas. */
  serve(provider: ConfigProvider): void;
  /** Fetches what is newer than `haveRevision`; null if there is nothing. */
  fetch(
    vm: contracts.VmId,
    options: PeerConfigFetchOptions,
  ): neverthrow.ResultAsync<decisions.ConfigDelta | null, PeerConfigError>;
  /** Sends the revision in force to peers immediately. */
  announce(): void;
}
