/**
 * Splits the entry VMs of a large deployment into cells. The VMs of a cell tell
 * one another their load and share a part of the servers; between cells no load
 * is told. So what a VM sends, hears and connects to stays the same when the
 * deployment grows.
 */
import type * as contracts from "@guavatide/contracts";

/** An entry VM and where it is. */
export interface CellVm {
  readonly vm: contracts.VmId;
  readonly zone: contracts.ZoneId;
}

/** A server that is to be used by one cell. */
export interface CellServer {
  readonly server: contracts.ServerId;
  readonly zone: contracts.ZoneId;
}

/** Up to so many VMs form one cell over all availability zones. */
const LARGEST_SINGLE_CELL = 12;
/**
 * VMs that a cell of a larger deployment aims at. With fewer, a cell has so few
 * slots that they are all busy often while other cells' are free.
 */
const CELL_SIZE = 12;

interface Cell {
  readonly zone: contracts.ZoneId | undefined;
  readonly vms: readonly contracts.VmId[];
}

/** The cells of one deployment; each VM works out the same from the same VMs. */
export class CellPlan {
  readonly #cells: readonly Cell[];
  readonly #indexes = new Map<contracts.VmId, number>();

  constructor(vms: readonly CellVm[]) {
    this.#cells = vms.length <= LARGEST_SINGLE_CELL
      ? [{ zone: undefined, vms: vms.map(({ vm }) => vm) }]
      : cellsByZone(vms);
    for (const [index, cell] of this.#cells.entries()) {
      for (const vm of cell.vms) this.#indexes.set(vm, index);
    }
  }

  /** Whether all VMs are in one cell, which then uses all servers. */
  get isSingle(): boolean {
    return this.#cells.length <= 1;
  }

  /** VMs of the cell that a VM is in; empty for an unknown VM. */
  members(vm: contracts.VmId): readonly contracts.VmId[] {
    const index = this.#indexes.get(vm);
    return index === undefined ? [] : this.#cells[index]!.vms;
  }

  /** VMs of each cell but the one that a VM is in. */
  others(vm: contracts.VmId): (readonly contracts.VmId[])[] {
    const own = this.#indexes.get(vm);
    return this.#cells.filter((_, index) => index !== own)
      .map(({ vms }) => vms);
  }

  /** The servers of one service that a VM's cell uses. */
  serversOf(
    vm: contracts.VmId,
    servers: readonly CellServer[],
  ): Set<contracts.ServerId> {
    const own = this.#indexes.get(vm);
    const isAll = this.isSingle || own === undefined;
    if (isAll) return new Set(servers.map(({ server }) => server));
    const used = new Set<contracts.ServerId>();
    const byZone = groupByZone(servers);
    const served = new Set(byZone.keys());
    for (const [zone, inZone] of byZone) {
      const shares = this.#sharesOf(zone, served);
      const names = inZone.map(({ server }) => server).sort();
      for (const [place, server] of names.entries()) {
        const share = shares[chunkOf(place, names.length, shares.length)];
        if (share === own) used.add(server);
      }
    }
    return used;
  }

  /**
   * The cells that share a zone's servers, each as often as its part is large.
   * Cells of a zone without servers get a part of every other zone's, which
   * together is as much as a cell of these zones has. Servers of a zone without
   * entry VMs are dealt out to all cells.
   */
  #sharesOf(
    zone: contracts.ZoneId,
    served: ReadonlySet<contracts.ZoneId>,
  ): number[] {
    const indexes = [...this.#cells.keys()];
    const zoneOf = (index: number) => this.#cells[index]!.zone!;
    const local = indexes.filter((index) => zoneOf(index) === zone);
    if (local.length === 0) return indexes;
    const homeless = indexes.filter((index) => !served.has(zoneOf(index)));
    if (homeless.length === 0) return local;
    const whole = local.flatMap((index) =>
      new Array<number>(served.size).fill(index)
    );
    return [...whole, ...homeless];
  }
}

function cellsByZone(vms: readonly CellVm[]): Cell[] {
  const cells: Cell[] = [];
  const zones = [...groupByZone(vms)].sort(([a], [b]) => a < b ? -1 : 1);
  for (const [zone, inZone] of zones) {
    const names = inZone.map(({ vm }) => vm).sort();
    const count = Math.max(1, Math.round(names.length / CELL_SIZE));
    const parts: contracts.VmId[][] = Array.from({ length: count }, () => []);
    for (const [place, vm] of names.entries()) {
      parts[chunkOf(place, names.length, count)]!.push(vm);
    }
    cells.push(...parts.map((part) => ({ zone, vms: part })));
  }
  return cells;
}

function groupByZone<Item extends { readonly zone: contracts.ZoneId }>(
  items: readonly Item[],
): Map<contracts.ZoneId, Item[]> {
  const groups = new Map<contracts.ZoneId, Item[]>();
  for (const item of items) {
    const group = groups.get(item.zone);
    if (group === undefined) groups.set(item.zone, [item]);
    else group.push(item);
  }
  return groups;
}

/**
 * Chunks of neighbours in the order of names: one more or one less moves only
 * those at the borders of chunks.
 */
function chunkOf(place: number, total: number, chunks: number): number {
  return Math.floor(place * chunks / total);
}
