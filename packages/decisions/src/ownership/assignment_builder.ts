/**
 * One conditional update of an assignment in the making: all slices that one
 * event concerns go into one update.
 */
import * as contracts from "@guavatide/contracts";
import type { ChangeRequest, SliceChange } from "./assignment_changes.ts";
import { SliceMap } from "./slice_map.ts";

/** Whether a server is known to check fences; undefined when not met. */
export type ChecksFences = (
  server: contracts.ServerId,
) => boolean | undefined;

/** Who writes, for recognising one's own write. */
export type AssignmentWriter = Pick<
  contracts.Assignment,
  "service" | "writer" | "writerIncarnation" | "nonce"
>;

/** Builds the successor of an assignment. */
export class AssignmentBuilder {
  readonly #base: contracts.Assignment | undefined;
  readonly #checksFences: ChecksFences;
  readonly #steps: SliceChange[] = [];
  #slices: SliceMap;
  #keeperSets: contracts.Assignment["keeperSets"];
  #timings: contracts.LeaseTimings[];
  #isChanged: boolean;

  /** Starts from `base`, or from nothing when it is undefined. */
  constructor(
    base: contracts.Assignment | undefined,
    start: Pick<contracts.Assignment, "slices" | "keeperSets">,
    checksFences: ChecksFences,
  ) {
    this.#base = base;
    this.#checksFences = checksFences;
    this.#slices = SliceMap.create(start.slices)._unsafeUnwrap();
    this.#keeperSets = start.keeperSets;
    this.#timings = base?.leaseTimings ?? [];
    this.#isChanged = base === undefined;
  }

  /** Whether there is anything to write. */
  get isChanged(): boolean {
    return this.#isChanged;
  }

  /** What the update does, slice by slice. */
  get changes(): readonly SliceChange[] {
    return this.#steps;
  }

  /** Gives every vacating slice that is free to its next owner. */
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

  /** Applies a request as far as it still fits the assignment. */
  apply(request: ChangeRequest): void {
    if (request.kind === "move") return this.#move(request);
    const changed = request.kind === "split"
      ? this.#slices.split(request.slice, request.atHash)
      : this.#slices.merge(request.slice, request.withSlice);
    const slice = this.#slices.byId(request.slice);
    if (changed.isErr() || slice === undefined) return;
    this.#slices = changed.value;
    this.#note(slice, {
      step: request.kind,
      from: [],
      reason: request.reason,
    });
  }

  /** Drops all keeper sets but the one in force. */
  dropEarlierVoterSets(): void {
    this.#keeperSets = this.#keeperSets.slice(-1);
    this.#isChanged = true;
  }

  /** Appends a keeper set unless it is in force already. */
  addVoterSet(keepers: readonly contracts.Voter[]): void {
    if (isSameVoterSet(keepers, this.#keeperSets.at(-1) ?? [])) return;
    this.#keeperSets = [...this.#keeperSets, [...keepers]];
    this.#isChanged = true;
  }

  /** Puts timings in force, unless they are. */
  addTimings(timings: contracts.LeaseTimings): void {
    if (isSameTimings(timings, this.#timings.at(-1))) return;
    const { evidenceMs, leaseMs, clockRateMargin } = timings;
    const own = { evidenceMs, leaseMs, clockRateMargin };
    this.#timings = [...this.#timings, own];
    this.#isChanged = true;
  }

  /** Drops all timings but those in force. */
  dropEarlierTimings(): void {
    this.#timings = this.#timings.slice(-1);
    this.#isChanged = true;
  }

  /** Writes a successor although no slice and no keeper changes. */
  markChanged(): void {
    this.#isChanged = true;
  }

  /** The successor, one revision higher. */
  build(writer: AssignmentWriter): contracts.Assignment {
    return {
      ...writer,
      revision: this.#revision(),
      keeperSets: this.#keeperSets,
      slices: [...this.#slices.slices],
      unfencedServers: this.#unfencedServers(),
      leaseTimings: this.#timings.length > 0 ? this.#timings : undefined,
    };
  }

  /**
   * A slice that is still vacating only gets another next owner: those who
   * may hold a lease for it stay the same, and so does the wait for them.
   */
  #move(request: Extract<ChangeRequest, { kind: "move" }>): void {
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
    step: Pick<SliceChange, "step" | "from" | "reason">,
  ): void {
    this.#slices = this.#slices.replace(slice)._unsafeUnwrap();
    this.#note(slice, step);
  }

  #note(
    slice: contracts.Slice,
    step: Pick<SliceChange, "step" | "from" | "reason">,
  ): void {
    this.#isChanged = true;
    this.#steps.push({
      ...step,
      slice: contracts.sliceIdOf(slice),
      to: slice.server,
    });
  }

  /**
   * Kept with the assignment, because a mover that has just taken over cannot
   * ask a lost server whether it checks fences. Servers not met count as not
   * checking.
   */
  #unfencedServers(): contracts.ServerId[] {
    const known = new Set(this.#base?.unfencedServers ?? []);
    const owners = new Set(
      this.#slices.slices.flatMap((slice) => [slice.server, ...slice.from]),
    );
    const before = new Set(
      this.#base?.slices.flatMap((slice) => [slice.server, ...slice.from]),
    );
    return [...owners].filter((server) => {
      const checksFences = this.#checksFences(server);
      if (checksFences !== undefined) return !checksFences;
      return known.has(server) || !before.has(server);
    });
  }

  #revision(): number {
    return (this.#base?.revision ?? 0) + 1;
  }
}

/** Whether two timings are equal; extra fields do not count. */
export function isSameTimings(
  left: contracts.LeaseTimings,
  right: contracts.LeaseTimings | undefined,
): boolean {
  return left.evidenceMs === right?.evidenceMs &&
    left.leaseMs === right.leaseMs &&
    left.clockRateMargin === right.clockRateMargin;
}

/** Whether two sets name the same keepers, in whatever order. */
export function isSameVoterSet(
  left: readonly contracts.Voter[],
  right: readonly contracts.Voter[],
): boolean {
  return namesOf(left) === namesOf(right);
}

function namesOf(keepers: readonly contracts.Voter[]): string {
  return keepers.map(({ vm }) => vm).sort().join();
}
