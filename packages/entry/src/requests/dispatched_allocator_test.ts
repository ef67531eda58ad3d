import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import type * as z from "zod";
import type { ServerAddress } from "../contracts/views.ts";
import { createLog } from "../utils/log.ts";
import { DispatchedAllocator } from "./dispatched_allocator.ts";
import { waitUntil } from "./fakes_test_support.ts";
import type { PeerCallOptions, PeerRpc } from "./peer_rpc.ts";
import type { Slot, SlotAllocator, SlotRequest } from "./slot_allocator.ts";
import { SlotDispatcher } from "./slot_dispatcher.ts";
import * as messages from "./slot_messages.ts";

const SERVICE = {
  name: "booths" as contracts.ServiceId,
  policy: "dispatched",
} as contracts.Service;
const SERVER = { server: "s0" as contracts.ServerId } as ServerAddress;
const DISPATCHER = "vm1" as contracts.VmId;
const ENTRY_VM = "vm0" as contracts.VmId;

/** Grants one slot at a time. */
class SingleSlotAllocator implements SlotAllocator {
  readonly queue: SlotRequest[] = [];
  isFree = true;

  get waitingCount(): number {
    return this.queue.length;
  }

  acquire(wish: SlotRequest): void {
    this.queue.push(wish);
    this.refresh();
  }

  withdraw(wish: SlotRequest): void {
    this.queue.splice(this.queue.indexOf(wish), 1);
  }

  release(): void {
    this.isFree = true;
    this.refresh();
  }

  hasUntriedServer(): boolean {
    return true;
  }

  configure(): void {}

  refresh(): void {
    if (!this.isFree) return;
    const wish = this.queue.shift();
    if (wish === undefined) return;
    this.isFree = false;
    wish.onGranted({ address: SERVER, sentMs: 0 });
  }
}

type Handler = (params: unknown) => unknown;

/** Calls between two VMs of one test, which may be lost. */
class TestNetwork {
  readonly #handlers = new Map<string, Handler>();
  /** Whether calls to the dispatcher are answered. */
  losesReplies = false;
  isUnreachable = false;

  peers(vm: contracts.VmId): PeerRpc {
    const register = (
      method: string,
      _schema: z.ZodType,
      handler: (params: never) => unknown,
    ) => {
      this.#handlers.set(`${vm} ${method}`, handler as Handler);
    };
    return {
      self: { vm, incarnation: `${vm}-run` as contracts.Incarnation },
      members: () => [ENTRY_VM, DISPATCHER],
      call: (to, method, options) => this.#call(`${to} ${method}`, options),
      register,
    };
  }

  #call<Schema extends z.ZodType>(
    name: string,
    options: PeerCallOptions<Schema>,
  ): Promise<z.infer<Schema> | undefined> {
    if (this.isUnreachable) return Promise.resolve(undefined);
    const answer = this.#handlers.get(name)!(options.params);
    return Promise.resolve(
      this.losesReplies ? undefined : options.schema.parse(answer),
    );
  }
}

class TestSlotRequest implements SlotRequest {
  readonly tenant = "host";
  readonly deadlineMs = 10_000;
  readonly keyHash = undefined;
  readonly tried = new Set<contracts.ServerId>();
  slot: Slot | undefined;

  onGranted(slot: Slot): void {
    this.slot = slot;
  }

  onRefused(): void {}
}

function createPair() {
  const network = new TestNetwork();
  const clock = { now: 0, nowMs: () => clock.now };
  const shared = new SingleSlotAllocator();
  const dispatcher = new SlotDispatcher({
    peers: network.peers(DISPATCHER),
    clock,
    onDecisions: () => {},
    createAllocator: () => shared,
  });
  const peers = network.peers(ENTRY_VM);
  const fallback = new SingleSlotAllocator();
  const entry = new DispatchedAllocator({
    service: SERVICE,
    peers,
    dispatcher: new SlotDispatcher({
      peers: network.peers(ENTRY_VM),
      clock,
      onDecisions: () => {},
      createAllocator: () => undefined,
    }),
    fallback,
    servers: {
      servers: () => [SERVER],
      server: () => SERVER,
      noteDraining: () => {},
    },
    clock,
    hash: (text) => text.endsWith(DISPATCHER) ? 2 : 1,
    log: createLog({ format: "text", level: "silent" }).part("route"),
  });
  peers.register(
    messages.SLOTS_DECIDED_METHOD,
    messages.slotsDecidedSchema,
    (decided) => {
      entry.applyDecisions(decided);
      return {};
    },
  );
  return { network, clock, dispatcher, shared, fallback, entry };
}

test("should pass a slot on as soon as it is free", async () => {
  const { entry, fallback } = createPair();
  const first = new TestSlotRequest();
  const second = new TestSlotRequest();
  entry.acquire(first);
  entry.acquire(second);
  await waitUntil(() => first.slot !== undefined);
  expect(second.slot).toEqual(undefined);
  entry.release(first.slot!, { kind: "answer" });
  await waitUntil(() => second.slot !== undefined);
  expect(fallback.isFree).toEqual(true);
});

test("should choose alone while the dispatcher is silent", async () => {
  // The VM that gives out the slots of a service freezes. Hosts whose
  // requests come in elsewhere must not wait for it until their deadline.
  const { entry, network, clock, shared } = createPair();
  network.isUnreachable = true;
  const wish = new TestSlotRequest();
  entry.acquire(wish);
  await waitUntil(() => wish.slot !== undefined);
  entry.release(wish.slot!, { kind: "answer" });

  network.isUnreachable = false;
  clock.now = 2000;
  entry.refresh();
  const later = new TestSlotRequest();
  await waitUntil(() => {
    entry.acquire(later);
    return !shared.isFree;
  });
});

test("should take back a slot whose grant was lost on its way", async () => {
  // The answer that carried a grant is lost. The entry VM serves the request
  // by itself; without a correction the slot stays empty until the deadline.
  const { entry, network, clock, shared } = createPair();
  network.losesReplies = true;
  entry.acquire(new TestSlotRequest());
  await waitUntil(() => !shared.isFree);
  network.losesReplies = false;
  clock.now = 2000;
  await waitUntil(() => {
    clock.now += 1000;
    entry.refresh();
    return shared.isFree;
  });
});
