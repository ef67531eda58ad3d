/** Changes of an assignment, as they are requested and as they are logged. */
import type * as contracts from "@guavatide/contracts";

/** A change that a planner or an event requests. */
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
    /** First hash of the second slice. */
    readonly atHash: number;
    readonly reason: string;
  }
  | {
    readonly kind: "merge";
    readonly slice: contracts.SliceId;
    /** The next slice, which has the same owner. */
    readonly withSlice: contracts.SliceId;
    readonly reason: string;
  };

/** The change of one slice in an update of the assignment, as logged. */
export interface SliceChange {
  readonly slice: contracts.SliceId;
  readonly step: "vacate" | "settle" | "redirect" | "split" | "merge";
  readonly from: readonly contracts.ServerId[];
  readonly to: contracts.ServerId;
  readonly reason: string;
}
