/** Slots of an unkeyed service by what this entry VM knows alone. */
import type * as contracts from "@guavatide/contracts";
import * as routing from "@guavatide/decisions/routing/mod";
import type { ServerAddress, ServerView } from "../contracts/views.ts";
import type { PartLog } from "../utils/log.ts";
import { Lane } from "./lane.ts";
import type { Slot, SlotAllocator, SlotWish } from "./slot_allocator.ts";

/** Options of {@link LocalAllocator}. */
export interface LocalAllocatorOptions {
  readonly service: contracts.Service;
  /** Policy for choosing servers, in place of the service's own. */
  readonly policy?: string;
  /** Requests given to one server beyond its slots. */
  readonly extraRequests: number;
  readonly servers: ServerView;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  readonly log: PartLog;
  /** Called when a server went out of use. */
  readonly onEjected: (server: contracts.ServerId) => void;
  /** Asks a server whether it answers at all. */
  readonly probe: (address: ServerAddress) => Promise<boolean>;
}

/** Queue and choice of one entry VM for one service. */
export class LocalAllocator implements SlotAllocator {
  readonly #options: LocalAllocatorOptions;
  readonly #lane = new Lane();
  readonly #board: routing.ServerBoard;
  #service: contracts.Service;
  #choice: routing.ServerChoice;
  readonly #limit = new routing.QueueLimit();
  #wakeUp: NodeJS.Timeout | undefined;

  constructor(options: LocalAllocatorOptions) {
    this.#options = options;
    this.#service = options.service;
    this.#choice = this.#createChoice();
    this.#board = new routing.ServerBoard(
      this.#boardOptions(),
      options.clock.nowMs(),
    );
  }

  get waiting(): number {
    return this.#lane.size;
  }

  acquire(wish: SlotWish): void {
    this.#lane.push(wish);
    this.#pump();
    // Only now: a request that found a server at once takes no place.
    const limit = this.#limit.limit(this.#service.queueRequests);
    this.#lane.shorten(limit, this.#limit.drainMs(limit));
  }

  withdraw(wish: SlotWish): void {
    this.#lane.remove(wish);
  }

  release(slot: Slot, end: routing.AttemptEnd): void {
    const nowMs = this.#options.clock.nowMs();
    const { server } = slot.address;
    if (end.kind === "answer") {
      const isWaiting = this.#lane.size > 0;
      const attemptMs = nowMs - slot.sentMs;
      this.#limit.noteAnswered(attemptMs, { nowMs, isWaiting });
    }
    const event = this.#board.noteEnd(server, slot.sentMs, { end, nowMs });
    if (event !== undefined) this.#noteEvent(server, event);
    this.#pump();
  }

  configure(service: contracts.Service): void {
    const isOtherPolicy = service.policy !== this.#service.policy;
    this.#service = service;
    if (isOtherPolicy) this.#choice = this.#createChoice();
    this.#board.configure(this.#boardOptions());
  }

  hasOther(tried: ReadonlySet<contracts.ServerId>): boolean {
    return this.#live().some((address) => !tried.has(address.server));
  }

  refresh(): void {
    const nowMs = this.#options.clock.nowMs();
    const known = this.#options.servers.servers(this.#service.name);
    const ids = known.map((address) => address.server);
    this.#board.keepOnly(new Set(ids), nowMs);
    for (const server of this.#board.ejectSilent(nowMs)) {
      this.#noteEvent(server, "ejected");
    }
    for (const address of known) this.#probeIfDue(address, nowMs);
    this.#pump();
  }

  #createChoice(): routing.ServerChoice {
    const policy = this.#options.policy ?? this.#service.policy;
    return routing.createServerChoice(policy);
  }

  #boardOptions(): routing.ServerBoardOptions {
    const { slotsPerServer } = this.#service;
    const localLimit = slotsPerServer + this.#options.extraRequests;
    return { slotsPerServer, localLimit };
  }

  #pump(): void {
    let wish = this.#lane.peek();
    while (wish !== undefined && this.#serve(wish)) wish = this.#lane.peek();
  }

  /** Grants or refuses the request; false when it has to wait. */
  #serve(wish: SlotWish): boolean {
    const { clock, random } = this.#options;
    const nowMs = clock.nowMs();
    const live = this.#live().filter((it) => !wish.tried.has(it.server));
    if (live.length === 0) {
      this.#lane.shift();
      wish.refused("no-server", { message: "No other live server is known" });
      return true;
    }
    const ids = live.map((address) => address.server);
    const candidates = this.#board.candidates(ids, nowMs);
    const chosen = this.#choice.choose(candidates, random);
    if (chosen === undefined) {
      this.#wakeAfterPause(nowMs);
      return false;
    }
    this.#lane.shift();
    this.#board.noteSent(chosen.server, nowMs);
    const address = live.find((it) => it.server === chosen.server)!;
    wish.granted({ address, sentMs: nowMs });
    return true;
  }

  #wakeAfterPause(nowMs: number): void {
    const leftMs = this.#board.pauseLeftMs(nowMs);
    if (leftMs === undefined || this.#wakeUp !== undefined) return;
    this.#wakeUp = setTimeout(() => {
      this.#wakeUp = undefined;
      this.#pump();
    }, Math.ceil(leftMs));
  }

  #live(): ServerAddress[] {
    const known = this.#options.servers.servers(this.#service.name);
    return known.filter((address) => address.state === "live");
  }

  #probeIfDue(address: ServerAddress, nowMs: number): void {
    if (!this.#board.tryProbe(address.server, nowMs)) return;
    this.#options.probe(address).then((isAnswered) => {
      const endMs = this.#options.clock.nowMs();
      const event = this.#board.noteProbe(address.server, isAnswered, endMs);
      if (event !== undefined) this.#noteEvent(address.server, event);
      this.#pump();
    });
  }

  #noteEvent(
    server: contracts.ServerId,
    event: NonNullable<routing.BoardEvent>,
  ): void {
    const service = this.#service.name;
    this.#options.log.info(`Server is ${event}.`, { service, server });
    if (event === "ejected") this.#options.onEjected(server);
  }
}
