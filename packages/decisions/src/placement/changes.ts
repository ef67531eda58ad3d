/** Changes of an assignment that the planner asks for. */
import type * as contracts from "@guavatide/contracts";

/** A change, to be applied in the order given. */
export type PlannedChange =
  | {
    readonly kind: "move";
    readonly slice: contracts.SliceId;
    readonly toServer: contracts.ServerId;
    /** For the log and for operators. */
    readonly reason: string;
  }
  | {
    readonly kind: "split";
    readonly slice: contracts.SliceId;
    /** First hash of the second part. */
    readonly atHash: number;
    readonly reason: string;
  }
  | {
    readonly kind: "merge";
    readonly slice: contracts.SliceId;
    /** The next slice, of the same owner. */
    readonly withSlice: contracts.SliceId;
    readonly reason: string;
  };
