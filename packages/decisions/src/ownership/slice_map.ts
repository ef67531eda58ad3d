/**
 * The slices of one service: look-up by hash, checks that they cover the hash
 * space, and the ways in which a set of slices may change.
 */
import * as contracts from "@guavatide/contracts";
import { err, ok, type Result } from "neverthrow";

/** A range of hashes; the end is not part of it. */
export interface HashRange {
  readonly fromHash: number;
  readonly toHash: number;
}

/** Why slices do not form a map. */
export interface SliceMapError {
  readonly kind:
    | "gap"
    | "overlap"
    | "bad-state"
    | "unknown-slice"
    | "not-apart";
  readonly message: string;
}

/** Options of {@link equalSlices}. */
export interface EqualSlicesOptions {
  /** Fence that every slice gets. */
  readonly fence: number;
}

/** Whether two ranges share a hash. */
export function overlaps(a: HashRange, b: HashRange): boolean {
  return a.fromHash < b.toHash && b.fromHash < a.toHash;
}

/** The range that a slice id names; undefined when it names none. */
export function rangeOfSliceId(
  id: contracts.SliceId,
): HashRange | undefined {
  const parts = /^([0-9a-f]+)-([0-9a-f]+)$/.exec(id);
  if (parts === null) return undefined;
  const fromHash = Number.parseInt(parts[1]!, 16);
  const toHash = Number.parseInt(parts[2]!, 16);
  return fromHash < toHash ? { fromHash, toHash } : undefined;
}

/** Slices of equal size, dealt to the servers in turn. */
export function equalSlices(
  servers: readonly contracts.ServerId[],
  count: number,
  options: EqualSlicesOptions,
): contracts.Slice[] {
  const slices: contracts.Slice[] = [];
  for (let index = 0; index < count; index++) {
    slices.push({
      fromHash: Math.floor(contracts.HASH_SPACE / count * index),
      toHash: index === count - 1
        ? contracts.HASH_SPACE
        : Math.floor(contracts.HASH_SPACE / count * (index + 1)),
      state: "owned",
      server: servers[index % servers.length]!,
      fence: options.fence,
      from: [],
    });
  }
  return slices;
}

/** An immutable, checked set of slices. */
export class SliceMap {
  readonly #slices: readonly contracts.Slice[];

  private constructor(slices: readonly contracts.Slice[]) {
    this.#slices = slices;
  }

  /** Checks that the slices cover all hashes once, and keeps them. */
  static create(
    slices: readonly contracts.Slice[],
  ): Result<SliceMap, SliceMapError> {
    let next = 0;
    for (const slice of slices) {
      const error = checkSlice(slice, next);
      if (error !== undefined) return err(error);
      next = slice.toHash;
    }
    if (next !== contracts.HASH_SPACE) return err(gapAt(next));
    return ok(new SliceMap(slices));
  }

  /** All slices in order of their hashes. */
  get slices(): readonly contracts.Slice[] {
    return this.#slices;
  }

  /** The slice that holds a hash, by binary search. */
  find(hash: number): contracts.Slice {
    let low = 0;
    let high = this.#slices.length - 1;
    while (low < high) {
      const middle = (low + high + 1) >>> 1;
      if (this.#slices[middle]!.fromHash <= hash) low = middle;
      else high = middle - 1;
    }
    return this.#slices[low]!;
  }

  /** The slice of exactly this id. */
  byId(id: contracts.SliceId): contracts.Slice | undefined {
    const range = rangeOfSliceId(id);
    if (range === undefined) return undefined;
    const slice = this.find(range.fromHash);
    return contracts.sliceIdOf(slice) === id ? slice : undefined;
  }

  /** Replaces one slice by another of the same range. */
  replace(slice: contracts.Slice): Result<SliceMap, SliceMapError> {
    const id = contracts.sliceIdOf(slice);
    if (this.byId(id) === undefined) return err(unknownSlice(id));
    return SliceMap.create(
      this.#slices.map((old) => contracts.sliceIdOf(old) === id ? slice : old),
    );
  }

  /** Splits an owned slice in two with the same owner and fence. */
  split(
    id: contracts.SliceId,
    atHash: number,
  ): Result<SliceMap, SliceMapError> {
    const slice = this.byId(id);
    if (slice === undefined) return err(unknownSlice(id));
    const isInside = slice.fromHash < atHash && atHash < slice.toHash;
    if (!isInside || slice.state !== "owned") return err(cannotChange(id));
    const parts = [{ ...slice, toHash: atHash }, {
      ...slice,
      fromHash: atHash,
    }];
    return SliceMap.create(
      this.#slices.flatMap((old) => old === slice ? parts : [old]),
    );
  }

  /**
   * Joins two neighbours that one server owns. The higher fence stays, so
   * that a fence never falls for any key.
   */
  merge(
    firstId: contracts.SliceId,
    secondId: contracts.SliceId,
  ): Result<SliceMap, SliceMapError> {
    const first = this.byId(firstId);
    const second = this.byId(secondId);
    if (first === undefined) return err(unknownSlice(firstId));
    if (second === undefined) return err(unknownSlice(secondId));
    const mayJoin = first.toHash === second.fromHash &&
      first.server === second.server &&
      first.state === "owned" && second.state === "owned";
    if (!mayJoin) return err(cannotChange(firstId));
    const joined = {
      ...first,
      toHash: second.toHash,
      fence: Math.max(first.fence, second.fence),
    };
    return SliceMap.create(
      this.#slices.flatMap((old) => {
        if (old === second) return [];
        return old === first ? [joined] : [old];
      }),
    );
  }

  /** Slices that a server owns, as an order lists them. */
  ownedBy(server: contracts.ServerId): contracts.LeasedSlice[] {
    return this.#slices
      .filter((slice) => slice.state === "owned" && slice.server === server)
      .map((slice) => ({
        slice: contracts.sliceIdOf(slice),
        fromHash: slice.fromHash,
        toHash: slice.toHash,
        fence: slice.fence,
      }));
  }
}

function checkSlice(
  slice: contracts.Slice,
  expectedFromHash: number,
): SliceMapError | undefined {
  if (slice.fromHash > expectedFromHash) return gapAt(expectedFromHash);
  if (slice.fromHash < expectedFromHash || slice.toHash <= slice.fromHash) {
    return {
      kind: "overlap",
      message: `Slices overlap at hash "${slice.fromHash}"; give each hash ` +
        `to one slice`,
    };
  }
  const isOwned = slice.state === "owned";
  if (isOwned !== (slice.from.length === 0)) {
    return {
      kind: "bad-state",
      message: `Slice "${contracts.sliceIdOf(slice)}" is ${slice.state} with ` +
        `${slice.from.length} earlier owners; only a vacating one names them`,
    };
  }
  return undefined;
}

function gapAt(hash: number): SliceMapError {
  return {
    kind: "gap",
    message: `No slice holds hash "${hash}"; cover the whole hash space`,
  };
}

function unknownSlice(id: contracts.SliceId): SliceMapError {
  return {
    kind: "unknown-slice",
    message: `There is no slice "${id}"; read the assignment again`,
  };
}

function cannotChange(id: contracts.SliceId): SliceMapError {
  return {
    kind: "not-apart",
    message:
      `Slice "${id}" can't be split or merged so; choose a hash inside ` +
      `an owned slice, or two neighbours of one owner`,
  };
}
