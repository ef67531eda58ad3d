/**
 * A seeded trace of one keyed service: which keys are requested and which
 * servers start, stop, fail and slow down. Every placement strategy runs on the
 * same trace.
 */
import * as ownership from "@guavatide/decisions/ownership/mod";
import * as prand from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A deployment's keyed service. */
export interface Deployment {
  readonly name: string;
  readonly servers: number;
  readonly zones: number;
  readonly slotsPerServer: number;
  readonly workMs: number;
}

/** Shape of a trace. */
export interface TraceOptions {
  readonly seed: number;
  readonly durationS: number;
  readonly keys: number;
  readonly zipfExponent: number;
  /** Load as a fraction of all servers' capacity. */
  readonly utilisation: number;
  /** Interval after which other keys become hot. */
  readonly hotKeyShiftIntervalS: number;
  /** Number of hot keys swapped with other keys at each interval. */
  readonly hotKeysShifted: number;
}

/** Kinds of events that happen to servers. */
export type ServerEventKind =
  /** Killed; back within 2 seconds. */
  | "quick-restart"
  /** Killed; back after 20 seconds to 5 minutes. */
  | "crash"
  /** Drains, stops for a minute, is back. */
  | "planned-restart"
  /** Runs at 0.4 of its speed for 10 minutes. */
  | "slow"
  /** An additional server for an hour, which then drains. */
  | "scale-out";

/** One change of one server's state. */
export interface ServerChange {
  readonly atS: number;
  readonly server: number;
  readonly change: "lost" | "back" | "leaving" | "slow" | "normal" | "away";
  readonly event: ServerEventKind;
}

/** Mean time between events of each kind, in seconds. */
const MEAN_INTERVAL_S: Record<ServerEventKind, number> = {
  "quick-restart": 1200,
  "crash": 2400,
  "planned-restart": 2400,
  "slow": 3600,
  "scale-out": 5400,
};
/** Number of top ranks whose keys are swapped with keys of any rank. */
const HOT_KEY_RANKS = 30;

/** Seeded pseudo-random number generator. */
export class SeededRandom {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  next(): number {
    return prand.uniformFloat64(this.#generator);
  }

  below(limit: number): number {
    return Math.floor(this.next() * limit);
  }
}

/** Keys and their request rates over time. */
export class KeyLoad {
  /** Hash of each key, ascending. */
  readonly hashes: Float64Array;
  /** Current requests a second of each key. */
  readonly rates: Float64Array;
  readonly #options: TraceOptions;
  readonly #random: SeededRandom;
  readonly #keyOfRank: Int32Array;
  readonly #cumulative: Float64Array;
  readonly #rateOfRank: Float64Array;
  #nextShiftS: number;

  constructor(
    options: TraceOptions,
    hasher: ownership.KeyHasher,
    requestsPerSecond: number,
  ) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    const hashes = Array.from(
      { length: options.keys },
      (_, i) => hasher.hash(`key-${options.seed}-${i}`),
    );
    this.hashes = Float64Array.from(hashes).sort();
    this.rates = new Float64Array(options.keys);
    this.#keyOfRank = this.#shuffledKeys();
    this.#rateOfRank = zipfRates(options, requestsPerSecond);
    this.#cumulative = cumulate(this.#rateOfRank);
    this.#nextShiftS = options.hotKeyShiftIntervalS;
    this.#fillRates();
  }

  /** Swaps hot keys when it is due; returns whether rates changed. */
  advance(nowS: number): boolean {
    if (nowS < this.#nextShiftS) return false;
    this.#nextShiftS += this.#options.hotKeyShiftIntervalS;
    for (let i = 0; i < this.#options.hotKeysShifted; i++) {
      const a = this.#random.below(HOT_KEY_RANKS);
      const b = this.#random.below(this.#keyOfRank.length);
      const key = this.#keyOfRank[a]!;
      this.#keyOfRank[a] = this.#keyOfRank[b]!;
      this.#keyOfRank[b] = key;
    }
    this.#fillRates();
    return true;
  }

  /** Draws the key of one request, weighted by rate. */
  draw(random: SeededRandom): number {
    const total = this.#cumulative[this.#cumulative.length - 1]!;
    const target = random.next() * total;
    let low = 0;
    let high = this.#cumulative.length - 1;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#cumulative[middle]! > target) high = middle;
      else low = middle + 1;
    }
    return this.#keyOfRank[low]!;
  }

  #shuffledKeys(): Int32Array {
    const keys = Int32Array.from({ length: this.#options.keys }, (_, i) => i);
    for (let i = keys.length - 1; i > 0; i--) {
      const j = this.#random.below(i + 1);
      [keys[i], keys[j]] = [keys[j]!, keys[i]!];
    }
    return keys;
  }

  #fillRates(): void {
    this.#keyOfRank.forEach((key, rank) => {
      this.rates[key] = this.#rateOfRank[rank]!;
    });
  }
}

/** Draws the server changes of a trace, in order of time. */
export function drawServerChanges(
  deployment: Deployment,
  options: TraceOptions,
): ServerChange[] {
  const random = new SeededRandom(options.seed + 1_000_003);
  const changes: ServerChange[] = [];
  const busyUntilS = new Map<number, number>();
  let nextExtraServer = deployment.servers;
  for (const event of Object.keys(MEAN_INTERVAL_S) as ServerEventKind[]) {
    let atS = MEAN_INTERVAL_S[event] * random.next();
    while (atS < options.durationS) {
      const server = event === "scale-out"
        ? nextExtraServer++
        : random.below(deployment.servers);
      const eventChanges = changesOfEvent(event, { atS, server, random });
      const isFree = (busyUntilS.get(server) ?? 0) < atS;
      if (isFree) {
        changes.push(...eventChanges);
        busyUntilS.set(server, eventChanges.at(-1)!.atS + 60);
      }
      atS += -Math.log(1 - random.next()) * MEAN_INTERVAL_S[event];
    }
  }
  return changes.sort((a, b) => a.atS - b.atS);
}

interface EventStart {
  readonly atS: number;
  readonly server: number;
  readonly random: SeededRandom;
}

function changesOfEvent(
  event: ServerEventKind,
  { atS, server, random }: EventStart,
): ServerChange[] {
  const at = (afterS: number, change: ServerChange["change"]) => ({
    atS: atS + afterS,
    server,
    change,
    event,
  });
  switch (event) {
    case "quick-restart":
      return [at(0, "lost"), at(0.5 + random.next() * 1.5, "back")];
    case "crash":
      return [at(0, "lost"), at(20 + random.next() * 280, "back")];
    case "planned-restart":
      return [at(0, "leaving"), at(10, "away"), at(70, "back")];
    case "slow":
      return [at(0, "slow"), at(600, "normal")];
    case "scale-out":
      return [at(0, "back"), at(3600, "leaving"), at(3610, "away")];
  }
}

function zipfRates(
  { keys, zipfExponent }: TraceOptions,
  requestsPerSecond: number,
): Float64Array {
  const weights = Float64Array.from(
    { length: keys },
    (_, rank) => (rank + 1) ** -zipfExponent,
  );
  const sum = weights.reduce((total, weight) => total + weight, 0);
  return weights.map((weight) => weight / sum * requestsPerSecond);
}

function cumulate(rates: Float64Array): Float64Array {
  let sum = 0;
  return rates.map((rate) => (sum += rate));
}
