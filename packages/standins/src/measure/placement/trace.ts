/**
 * A seeded trace of one keyed service: which keys are asked for and which
 * servers come, go and slow down. Every way of placement is run on the same
 * trace.
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
  /** Load against all servers' capacity. */
  readonly utilisation: number;
  /** The head moves this often, and by this many keys. */
  readonly headMovesEveryS: number;
  readonly headMovesKeys: number;
}

/** What happens to servers. */
export type ServerEventKind =
  /** Killed; back within two seconds. */
  | "quick-restart"
  /** Killed; back after minutes. */
  | "crash"
  /** Drains, is away for a minute, is back. */
  | "planned-restart"
  /** Runs at 0.4 of its speed for ten minutes. */
  | "slow"
  /** A further server for an hour, which then drains. */
  | "scale-out";

/** One change of one server's state. */
export interface ServerChange {
  readonly atS: number;
  readonly server: number;
  readonly change: "lost" | "back" | "leaving" | "slow" | "normal" | "away";
  readonly event: ServerEventKind;
}

/** Mean time between events of each kind. */
const EVERY_S: Record<ServerEventKind, number> = {
  "quick-restart": 1200,
  "crash": 2400,
  "planned-restart": 2400,
  "slow": 3600,
  "scale-out": 5400,
};
/** Keys of the head trade places within these ranks. */
const HEAD_RANKS = 30;

/** Random numbers of one purpose. */
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

/** Keys and their rates as time goes on. */
export class KeyLoad {
  /** Hash of each key, ascending. */
  readonly hashes: Float64Array;
  /** Requests a second of each key now. */
  readonly rates: Float64Array;
  readonly #options: TraceOptions;
  readonly #random: SeededRandom;
  readonly #keyOfRank: Int32Array;
  readonly #cumulative: Float64Array;
  readonly #rateOfRank: Float64Array;
  #nextMoveS: number;

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
    this.#nextMoveS = options.headMovesEveryS;
    this.#fillRates();
  }

  /** Moves the head when it is time; tells whether rates changed. */
  advance(nowS: number): boolean {
    if (nowS < this.#nextMoveS) return false;
    this.#nextMoveS += this.#options.headMovesEveryS;
    for (let i = 0; i < this.#options.headMovesKeys; i++) {
      const a = this.#random.below(HEAD_RANKS);
      const b = this.#random.below(this.#keyOfRank.length);
      const key = this.#keyOfRank[a]!;
      this.#keyOfRank[a] = this.#keyOfRank[b]!;
      this.#keyOfRank[b] = key;
    }
    this.#fillRates();
    return true;
  }

  /** The key of one request, drawn by rate. */
  draw(random: SeededRandom): number {
    const total = this.#cumulative[this.#cumulative.length - 1]!;
    const wanted = random.next() * total;
    let low = 0;
    let high = this.#cumulative.length - 1;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#cumulative[middle]! > wanted) high = middle;
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

/** The changes of servers, in order of time. */
export function drawServerChanges(
  deployment: Deployment,
  options: TraceOptions,
): ServerChange[] {
  const random = new SeededRandom(options.seed + 1_000_003);
  const changes: ServerChange[] = [];
  const busyUntilS = new Map<number, number>();
  let extra = deployment.servers;
  for (const event of Object.keys(EVERY_S) as ServerEventKind[]) {
    let atS = EVERY_S[event] * random.next();
    while (atS < options.durationS) {
      const server = event === "scale-out"
        ? extra++
        : random.below(deployment.servers);
      const course = courseOf(event, { atS, server, random });
      const isFree = (busyUntilS.get(server) ?? 0) < atS;
      if (isFree) {
        changes.push(...course);
        busyUntilS.set(server, course.at(-1)!.atS + 60);
      }
      atS += -Math.log(1 - random.next()) * EVERY_S[event];
    }
  }
  return changes.sort((a, b) => a.atS - b.atS);
}

interface EventStart {
  readonly atS: number;
  readonly server: number;
  readonly random: SeededRandom;
}

function courseOf(
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
