/**
 * Splits the entry VMs of a large deployment into cells. The VMs of a cell
 * exchange their load and share a subset of the servers; cells exchange no
 * load. The messages and connections of a VM therefore do not grow with the
 * deployment.
 */
import type * as contracts from "@guavatide/contracts";

/** An entry VM and its availability zone. */
export interface CellVm {
  readonly vm: contracts.VmId;
  readonly zone: contracts.ZoneId;
}

/** A server that one cell is to use, and its availability zone. */
export interface CellServer {
  readonly server: contracts.ServerId;
  readonly zone: contracts.ZoneId;
}

/** Up to this number, all VMs form one cell across availability zones. */
const LARGEST_SINGLE_CELL = 12;
/**
 * Target number of VMs per cell in a larger deployment. In smaller cells all
 * slots would often be busy while those of other cells are free.
 */
const CELL_SIZE = 12;

interface Cell {
  readonly zone: contracts.ZoneId | undefined;
  readonly vms: readonly contracts.VmId[];
}

/** The cells of one deployment, the same on each VM that knows the same VMs. */
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

  /** VMs of a VM's cell, itself included; empty for an unknown VM. */
  members(vm: contracts.VmId): readonly contracts.VmId[] {
    const index = this.#indexes.get(vm);
    return index === undefined ? [] : this.#cells[index]!.vms;
  }

  /** VMs of each cell except a VM's own. */
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
    const zonesWithServers = new Set(byZone.keys());
    for (const [zone, inZone] of byZone) {
      const shares = this.#cellSharesOf(zone, zonesWithServers);
      const names = inZone.map(({ server }) => server).sort();
      for (const [index, server] of names.entries()) {
        const share = shares[chunkOf(index, names.length, shares.length)];
        if (share === own) used.add(server);
      }
    }
    return used;
  }

  /**
   * Indexes of the cells that share a zone's servers, each repeated by weight.
   * Cells of a zone without servers get a share in every other zone, which in
   * total is as large as that of a local cell. Servers of a zone without entry
   * VMs are shared by all cells.
   */
  #cellSharesOf(
    zone: contracts.ZoneId,
    zonesWithServers: ReadonlySet<contracts.ZoneId>,
  ): number[] {
    const indexes = [...this.#cells.keys()];
    const zoneOf = (index: number) => this.#cells[index]!.zone!;
    const local = indexes.filter((index) => zoneOf(index) === zone);
    if (local.length === 0) return indexes;
    const withoutServers = indexes.filter((index) =>
      !zonesWithServers.has(zoneOf(index))
    );
    if (withoutServers.length === 0) return local;
    const weighted = local.flatMap((index) =>
      new Array<number>(zonesWithServers.size).fill(index)
    );
    return [...weighted, ...withoutServers];
  }
}

function cellsByZone(vms: readonly CellVm[]): Cell[] {
  const cells: Cell[] = [];
  const zones = [...groupByZone(vms)].sort(([a], [b]) => a < b ? -1 : 1);
  for (const [zone, inZone] of zones) {
    const names = inZone.map(({ vm }) => vm).sort();
    const count = Math.max(1, Math.round(names.length / CELL_SIZE));
    const parts: contracts.VmId[][] = Array.from({ length: count }, () => []);
    for (const [index, vm] of names.entries()) {
      parts[chunkOf(index, names.length, count)]!.push(vm);
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
 * Index of the chunk for a position in the sorted names. Chunks are contiguous,
 * so adding or removing a name moves only names at the borders of chunks.
 */
function chunkOf(index: number, total: number, chunks: number): number {
  return Math.floor(index * chunks / total);
}
