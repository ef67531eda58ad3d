/** Remote calls between entry VMs, as the request path uses them. */
import type * as contracts from "@guavatide/contracts";
import type * as z from "zod";

/** Options of {@link PeerRpc.call}. */
export interface PeerCallOptions<Schema extends z.ZodType> {
  readonly params: unknown;
  /** Schema of the reply. */
  readonly schema: Schema;
  readonly timeoutMs: number;
}

/** Calls peers and handles their calls. */
export interface PeerRpc {
  readonly self: {
    readonly vm: contracts.VmId;
    readonly incarnation: contracts.Incarnation;
  };
  /** Entry VMs that are alive and not leaving, including this one. */
  members(): readonly contracts.VmId[];
  /** Calls a peer. Resolves to undefined when it does not reply in time. */
  call<Schema extends z.ZodType>(
    vm: contracts.VmId,
    method: string,
    options: PeerCallOptions<Schema>,
  ): Promise<z.infer<Schema> | undefined>;
  /** Registers the handler of a method that peers call. */
  register<Schema extends z.ZodType>(
    method: string,
    schema: Schema,
    handler: (params: z.infer<Schema>) => unknown,
  ): void;
}
