/** What the request path needs of the links between entry VMs. */
import type * as contracts from "@guavatide/contracts";
import type * as z from "zod";

/** Options of {@link PeerRpc.call}. */
export interface PeerCallOptions<Schema extends z.ZodType> {
  readonly params: unknown;
  /** Shape of the answer. */
  readonly schema: Schema;
  readonly timeoutMs: number;
}

/** Calls between entry VMs. */
export interface PeerRpc {
  readonly self: {
    readonly vm: contracts.VmId;
    readonly incarnation: contracts.Incarnation;
  };
  /** Entry VMs that are there and stay, this one included. */
  members(): readonly contracts.VmId[];
  /** Calls a peer. Nothing comes back when it did not answer in time. */
  call<Schema extends z.ZodType>(
    vm: contracts.VmId,
    method: string,
    options: PeerCallOptions<Schema>,
  ): Promise<z.infer<Schema> | undefined>;
  /** Handles a method that peers call. */
  register<Schema extends z.ZodType>(
    method: string,
    schema: Schema,
    handler: (params: z.infer<Schema>) => unknown,
  ): void;
}
