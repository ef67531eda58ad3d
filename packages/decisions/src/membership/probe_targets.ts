/** Whom to ask at a beat: bounded in number, whatever the fleet's size. */
import type * as contracts from "@guavatide/contracts";
import type { Member } from "./member.ts";

/**
 * Goes through all peers in a random order and starts over in a new one. A
 * plain draw would leave some peer unasked for long by chance; this way each
 * is asked once in every round.
 */
export class SamplePicker {
  readonly #random: contracts.RandomSource;
  readonly #soon = new Set<contracts.VmId>();
  #round: contracts.VmId[] = [];

  constructor(random: contracts.RandomSource) {
    this.#random = random;
  }

  /** Puts a peer ahead of the round. */
  prioritize(vm: contracts.VmId): void {
    this.#soon.add(vm);
  }

  /** Up to `count` peers out of `candidates`. */
  next(
    candidates: ReadonlyMap<contracts.VmId, Member>,
    count: number,
  ): contracts.VmId[] {
    const chosen: contracts.VmId[] = [];
    while (chosen.length < count) {
      const vm = this.#nextOne(candidates);
      if (vm === undefined || chosen.includes(vm)) break;
      const member = candidates.get(vm);
      if (member !== undefined && isSampled(member)) chosen.push(vm);
    }
    return chosen;
  }

  #nextOne(
    candidates: ReadonlyMap<contracts.VmId, Member>,
  ): contracts.VmId | undefined {
    for (const vm of this.#soon) {
      this.#soon.delete(vm);
      return vm;
    }
    if (this.#round.length === 0) this.#startRound(candidates);
    return this.#round.pop();
  }

  #startRound(candidates: ReadonlyMap<contracts.VmId, Member>): void {
    this.#round = [...candidates.values()]
      .filter(isSampled)
      .map((member) => member.vm);
    shuffle(this.#round, this.#random);
  }
}

/** Alive, or listed and not asked yet. */
function isSampled(member: Member): boolean {
  if (member.state === "alive") return true;
  return member.state === "suspect" && member.unansweredSinceMs === undefined;
}

/** Options of {@link chooseProbeTargets}. */
export interface ChooseProbeTargetsOptions {
  readonly fullMeshVms: number;
  readonly sampleVms: number;
  readonly lostProbes: number;
  readonly random: contracts.RandomSource;
  readonly pinned: ReadonlySet<contracts.VmId>;
  readonly picker: SamplePicker;
}

/** Suspects asked again at a beat of a large fleet. */
const SUSPECT_PROBES = 4;

/** The peers that get a heartbeat at this beat. */
export function chooseProbeTargets(
  members: ReadonlyMap<contracts.VmId, Member>,
  options: ChooseProbeTargetsOptions,
): contracts.VmId[] {
  const chosen = new Set<contracts.VmId>();
  const suspects: contracts.VmId[] = [];
  const lost: contracts.VmId[] = [];
  const isMesh = members.size <= options.fullMeshVms;
  for (const member of members.values()) {
    const { vm, state } = member;
    if (state === "lost") lost.push(vm);
    const isClose = isMesh || options.pinned.has(vm);
    if (isClose && isSampled(member)) chosen.add(vm);
    if (state === "suspect" && !isSampled(member)) suspects.push(vm);
  }
  const suspectProbes = isMesh ? suspects.length : SUSPECT_PROBES;
  for (const vm of draw(suspects, suspectProbes, options)) chosen.add(vm);
  for (const vm of draw(lost, options.lostProbes, options)) chosen.add(vm);
  if (!isMesh) {
    const sample = options.picker.next(members, options.sampleVms);
    for (const vm of sample) chosen.add(vm);
  }
  return [...chosen];
}

/** Options of {@link chooseIndirectProbes}. */
export interface ChooseIndirectProbesOptions {
  readonly indirectProbes: number;
  readonly random: contracts.RandomSource;
  /** Members that have left a question unanswered for a while. */
  readonly unresponsive: readonly Member[];
}

/** Whom to ask about the quiet members that too few have confirmed yet. */
export function chooseIndirectProbes(
  members: ReadonlyMap<contracts.VmId, Member>,
  options: ChooseIndirectProbesOptions,
): { to: contracts.VmId; about: contracts.VmId }[] {
  const open = options.unresponsive
    .filter((member) => member.confirmedBy.size < options.indirectProbes)
    .map((member) => member.vm);
  return draw(open, SUSPECT_PROBES, options).flatMap((about) =>
    draw(findHelpers(members, about), options.indirectProbes, options)
      .map((to) => ({ to, about }))
  );
}

/** Members that can be asked about another. */
function findHelpers(
  members: ReadonlyMap<contracts.VmId, Member>,
  about: contracts.VmId,
): contracts.VmId[] {
  const helpers: contracts.VmId[] = [];
  for (const member of members.values()) {
    if (member.state !== "alive" || member.vm === about) continue;
    if (member.lastReplyMs !== undefined) helpers.push(member.vm);
  }
  return helpers;
}

function draw(
  from: contracts.VmId[],
  count: number,
  { random }: { readonly random: contracts.RandomSource },
): contracts.VmId[] {
  if (from.length <= count) return from;
  const copy = [...from];
  shuffle(copy, random);
  return copy.slice(0, count);
}

function shuffle(
  list: contracts.VmId[],
  random: contracts.RandomSource,
): void {
  for (let i = list.length - 1; i > 0; i--) {
    const j = Math.floor(random.next() * (i + 1));
    [list[i], list[j]] = [list[j]!, list[i]!];
  }
}
