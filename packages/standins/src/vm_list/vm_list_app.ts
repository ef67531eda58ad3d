/**
 * HTTP routes of the stand-in for the platform's VM list. `POST /vms` replaces
 * the list, `POST /vms/change` edits it, and `GET /vms` returns it as it was
 * one configured lag earlier.
 */
import { listedVmSchema, vmListSnapshotSchema } from "@guavatide/contracts";
import type { Clock, ListedVm, VmListSnapshot } from "@guavatide/contracts";
import { type Context, Hono } from "hono";
import * as z from "zod";
import * as serve from "../http/serve.ts";

type ListContext = Context<serve.StandInEnv>;

/** Schema of {@link VmListFaults}, set with `POST /faults`. */
export const vmListFaultsSchema = z.strictObject({
  /** `refuse` closes the connection of each call; `hang` never responds. */
  outage: z.enum(["none", "refuse", "hang"]).optional(),
  /** Delay until a change is visible in `GET /vms`. */
  lagMs: z.number().min(0).optional(),
});
/** Injected faults of the VM list. */
export type VmListFaults = z.infer<typeof vmListFaultsSchema>;

/** Schema of an edit. An entry's name is its `vm` or `server`. */
export const vmListChangeSchema = z.strictObject({
  put: z.array(listedVmSchema).default([]),
  /** Names of entries to remove. */
  drop: z.array(z.string()).default([]),
});

interface TimedSnapshot {
  readonly sinceMs: number;
  readonly snapshot: VmListSnapshot;
}

/** The stand-in's routes and state. */
export class VmListApp {
  readonly hono = new Hono<serve.StandInEnv>();
  readonly #clock: Clock;
  #history: TimedSnapshot[] = [{ sinceMs: -Infinity, snapshot: { vms: [] } }];
  #faults: VmListFaults;

  constructor(clock: Clock, faults: VmListFaults) {
    this.#clock = clock;
    this.#faults = faults;
    this.hono.get("/vms", (context) => this.#get(context));
    this.hono.post("/vms", (context) => this.#post(context));
    this.hono.post("/vms/change", (context) => this.#change(context));
    this.hono.post("/faults", (context) => this.#setFaults(context));
  }

  /** The list that `GET /vms` returns now. */
  visibleSnapshot(): VmListSnapshot {
    const asOfMs = this.#clock.nowMs() - (this.#faults.lagMs ?? 0);
    const visible = this.#history.filter((entry) => entry.sinceMs <= asOfMs);
    return visible.at(-1)!.snapshot;
  }

  /** Replaces the list; visible after the lag. */
  set(snapshot: VmListSnapshot): void {
    this.#history.push({ sinceMs: this.#clock.nowMs(), snapshot });
    this.#history = this.#history.slice(-1000);
  }

  #get(context: ListContext): Response {
    if (this.#faults.outage === "refuse") return serve.cutConnection(context);
    if (this.#faults.outage === "hang") return serve.leaveUnanswered();
    return context.json(this.visibleSnapshot());
  }

  async #post(context: ListContext): Promise<Response> {
    const parsed = vmListSnapshotSchema.safeParse(await context.req.json());
    if (!parsed.success) return context.text(parsed.error.message, 400);
    this.set(parsed.data);
    return context.json({});
  }

  async #change(context: ListContext): Promise<Response> {
    const parsed = vmListChangeSchema.safeParse(await context.req.json());
    if (!parsed.success) return context.text(parsed.error.message, 400);
    const replaced = new Set([
      ...parsed.data.drop,
      ...parsed.data.put.map(idOf),
    ]);
    const kept = this.#history.at(-1)!.snapshot.vms
      .filter((vm) => !replaced.has(idOf(vm)));
    this.set({ vms: [...kept, ...parsed.data.put] });
    return context.json({});
  }

  async #setFaults(context: ListContext): Promise<Response> {
    const parsed = vmListFaultsSchema.safeParse(await context.req.json());
    if (!parsed.success) return context.text(parsed.error.message, 400);
    this.#faults = { ...this.#faults, ...parsed.data };
    return context.json({});
  }
}

function idOf(listed: ListedVm): string {
  return listed.vm ?? listed.server ?? "";
}
