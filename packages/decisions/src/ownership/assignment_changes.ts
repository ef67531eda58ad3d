/** Changes of an assignment, as they are asked for and as they are logged. */
import type * as contracts from "@guavatide/contracts";

/** A change that a planner or an event asks for. */
export type ChangeRequest =
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

/** One slice's part in an update of the assignment. */
export interface SliceChange {
  readonly slice: contracts.SliceId;
  readonly step: "vacate" | "settle" | "redirect" | "split" | "merge";
  readonly from: readonly contracts.ServerId[];
  readonly to: contracts.ServerId;
  readonly reason: string;
}
