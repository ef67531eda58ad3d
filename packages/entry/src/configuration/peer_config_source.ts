/** What the configuration task needs of other entry VMs. */
import * as contracts from "@guavatide/contracts";
import type * as decisions from "@guavatide/decisions";
import type * as neverthrow from "neverthrow";
import * as z from "zod";

/** Method of the peers' door that answers with a {@link decisions.ConfigDelta}. */
export const CONFIG_METHOD = "config";

/** Schema of the question: which revision the asker has, 0 for none. */
export const configRequestSchema = z.strictObject({
  haveRevision: z.number().int().min(0),
});

/** Schema of the answer; null when the peer has nothing newer. */
export const configReplySchema = z.strictObject({
  baseRevision: z.number().int().min(0),
  revision: z.number().int().min(1),
  publishedBy: z.string().min(1),
  publishedAt: z.string().min(1),
  objects: z.array(contracts.configObjectSchema),
  removed: z.array(z.string()),
  drains: z.array(contracts.drainSchema).optional(),
}).nullable();

/** Why a peer did not give its configuration. */
export interface PeerConfigError {
  readonly kind: "unreachable" | "timeout" | "refused" | "bad-answer";
  readonly message: string;
}

/** Options of {@link PeerConfigSource.fetch}. */
export interface PeerConfigFetchOptions {
  readonly haveRevision: number;
  readonly timeoutMs: number;
}

/** The side of this process that owns the configuration. */
export interface ConfigProvider {
  /** Revision in force here, for heartbeats. */
  readonly revision: number;
  /** A peer said which revision it has in force. */
  notePeerRevision(vm: contracts.VmId, revision: number): void;
  /** Answers a peer that asks for what is newer than its revision. */
  deltaSince(haveRevision: number): decisions.ConfigDelta | undefined;
}

/** Other entry VMs as sources of configuration. */
export interface PeerConfigSource {
  /** Entry VMs that are not known to be lost or gone, this one included. */
  liveVms(): readonly contracts.VmId[];
  /** Connects the owner to heartbeats and to the peers' door. */
  serve(owner: ConfigProvider): void;
  fetch(
    vm: contracts.VmId,
    options: PeerConfigFetchOptions,
  ): neverthrow.ResultAsync<decisions.ConfigDelta | null, PeerConfigError>;
  /** Tells peers of the revision in force at once. */
  announce(): void;
}
