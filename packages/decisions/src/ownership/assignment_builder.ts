/**
 * Builds the next revision of an assignment. All changes that one event causes
 * go into one conditional update.
 */
import * as contracts from "@guavatide/contracts";
import type { ChangeRequest, SliceChange } from "./assignment_changes.ts";
import { SliceMap } from "./slice_map.ts";

/** Whether a server checks fences; undefined while no reply has said so. */
export type ChecksFences = (
  server: contracts.ServerId,
) => boolean | undefined;

/** Identifies the writer of a revision, so that it recognizes its own write. */
export type AssignmentWriter = Pick<
  contracts.Assignment,
  "service" | "writer" | "writerIncarnation" | "nonce"
>;

/** Builds the successor of an assignment; nothing is written here. */
export class AssignmentBuilder {
  readonly #base: contracts.Assignment | undefined;
  readonly #checksFences: ChecksFences;
  readonly #changes: SliceChange[] = [];
  #slices: SliceMap;
  #voterSets: contracts.Assignment["keeperSets"];
  #timings: contracts.LeaseTimings[];
  #isChanged: boolean;

  /**
   * Starts from `base`, or from `start` alone when there is no assignment yet.
   */
  constructor(
    base: contracts.Assignment | undefined,
    start: Pick<contracts.Assignment, "slices" | "keeperSets">,
    checksFences: ChecksFences,
  ) {
    this.#base = base;
    this.#checksFences = checksFences;
    this.#slices = SliceMap.create(start.slices)._unsafeUnwrap();
    this.#voterSets = start.keeperSets;
    this.#timings = base?.leaseTimings ?? [];
    this.#isChanged = base === undefined;
  }

  /** Whether the successor differs from the base and has to be written. */
  get isChanged(): boolean {
    return this.#isChanged;
  }

  /** The change to each slice, for the log. */
  get changes(): readonly SliceChange[] {
    return this.#changes;
  }

  /**
   * Grants each vacating slice to its next owner once `isFree` says that no
   * earlier owner can hold a lease for it.
   */
  finishHandovers(isFree: (slice: contracts.Slice) => boolean): void {
    for (const slice of this.#slices.slices) {
      if (slice.state !== "vacating" || !isFree(slice)) continue;
      const owned: contracts.Slice = {
        ...slice,
        state: "owned",
        fence: this.#revision(),
        from: [],
      };
      this.#replace(owned, {
        step: "settle",
        from: slice.from,
        reason: "earlier owner is out",
      });
    }
  }

  /**
   * Applies a requested change; one that no longer fits the assignment is
   * ignored.
   */
  apply(request: ChangeRequest): void {
    if (request.kind === "move") return this.#startHandover(request);
    const changed = request.kind === "split"
      ? this.#slices.split(request.slice, request.atHash)
      : this.#slices.merge(request.slice, request.withSlice);
    const slice = this.#slices.byId(request.slice);
    if (changed.isErr() || slice === undefined) return;
    this.#slices = changed.value;
    this.#recordChange(slice, {
      step: request.kind,
      from: [],
      reason: request.reason,
    });
  }

  /** Drops all voter sets but the newest. */
  dropEarlierVoterSets(): void {
    this.#voterSets = this.#voterSets.slice(-1);
    this.#isChanged = true;
  }

  /** Appends a voter set unless the newest set equals it. */
  addVoterSet(voters: readonly contracts.Voter[]): void {
    if (isSameVoterSet(voters, this.#voterSets.at(-1) ?? [])) return;
    this.#voterSets = [...this.#voterSets, [...voters]];
    this.#isChanged = true;
  }

  /** Appends timings unless the newest ones equal them. */
  addTimings(timings: contracts.LeaseTimings): void {
    if (isSameTimings(timings, this.#timings.at(-1))) return;
    const { evidenceMs, leaseMs, clockRateMargin } = timings;
    const newTimings = { evidenceMs, leaseMs, clockRateMargin };
    this.#timings = [...this.#timings, newTimings];
    this.#isChanged = true;
  }

  /** Drops all timings but the newest. */
  dropEarlierTimings(): void {
    this.#timings = this.#timings.slice(-1);
    this.#isChanged = true;
  }

  /** Forces an update although neither slices, voters nor timings change. */
  markChanged(): void {
    this.#isChanged = true;
  }

  /** The successor, one revision above the base. */
  build(writer: AssignmentWriter): contracts.Assignment {
    return {
      ...writer,
      revision: this.#revision(),
      keeperSets: this.#voterSets,
      slices: [...this.#slices.slices],
      unfencedServers: this.#unfencedServers(),
      leaseTimings: this.#timings.length > 0 ? this.#timings : undefined,
    };
  }

  /**
   * Redirects a slice that is still vacating to another next owner: its earlier
   * owners stay the same, and so does the wait for their leases to expire.
   */
  #startHandover(request: Extract<ChangeRequest, { kind: "move" }>): void {
    const slice = this.#slices.byId(request.slice);
    if (slice === undefined || slice.server === request.toServer) return;
    const isOwned = slice.state === "owned";
    const vacating: contracts.Slice = {
      ...slice,
      state: "vacating",
      server: request.toServer,
      from: isOwned ? [slice.server] : slice.from,
    };
    this.#replace(vacating, {
      step: isOwned ? "vacate" : "redirect",
      from: vacating.from,
      reason: request.reason,
    });
  }

  #replace(
    slice: contracts.Slice,
    change: Pick<SliceChange, "step" | "from" | "reason">,
  ): void {
    this.#slices = this.#slices.replace(slice)._unsafeUnwrap();
    this.#recordChange(slice, change);
  }

  #recordChange(
    slice: contracts.Slice,
    change: Pick<SliceChange, "step" | "from" | "reason">,
  ): void {
    this.#isChanged = true;
    this.#changes.push({
      ...change,
      slice: contracts.sliceIdOf(slice),
      to: slice.server,
    });
  }

  /**
   * Stored with the assignment, because a controller that has just become
   * leader cannot ask a failed server whether it checks fences. A server that
   * has not replied yet counts as one that does not.
   */
  #unfencedServers(): contracts.ServerId[] {
    const listed = new Set(this.#base?.unfencedServers ?? []);
    const owners = new Set(
      this.#slices.slices.flatMap((slice) => [slice.server, ...slice.from]),
    );
    const previousOwners = new Set(
      this.#base?.slices.flatMap((slice) => [slice.server, ...slice.from]),
    );
    return [...owners].filter((server) => {
      const checksFences = this.#checksFences(server);
      if (checksFences !== undefined) return !checksFences;
      return listed.has(server) || !previousOwners.has(server);
    });
  }

  #revision(): number {
    return (this.#base?.revision ?? 0) + 1;
  }
}

/** Whether two timings are equal; other fields are ignored. */
export function isSameTimings(
  left: contracts.LeaseTimings,
  right: contracts.LeaseTimings | undefined,
): boolean {
  return left.evidenceMs === right?.evidenceMs &&
    left.leaseMs === right.leaseMs &&
    left.clockRateMargin === right.clockRateMargin;
}

/** Whether two sets contain the same voters in any order. */
export function isSameVoterSet(
  left: readonly contracts.Voter[],
  right: readonly contracts.Voter[],
): boolean {
  return sortedVmIds(left) === sortedVmIds(right);
}

function sortedVmIds(voters: readonly contracts.Voter[]): string {
  return voters.map(({ vm }) => vm).sort().join();
}
