/**
 * Stand-in of the platform's VM list. `POST /vms` sets the list and
 * `POST /vms/change` edits it; `GET /vms` tells it late.
 */
import { listedVmSchema, vmListSnapshotSchema } from "@guavatide/contracts";
import type { Clock, ListedVm, VmListSnapshot } from "@guavatide/contracts";
import { type Context, Hono } from "hono";
import * as z from "zod";
import * as serve from "../http/serve.ts";

type ListContext = Context<serve.StandInEnv>;

/** Schema of the faults set over `POST /faults`. */
export const vmListFaultsSchema = z.strictObject({
  /** `refuse` cuts each call's connection; `hang` never answers. */
  outage: z.enum(["none", "refuse", "hang"]).optional(),
  /** How far `GET /vms` lies behind what was set. */
  lagMs: z.number().min(0).optional(),
});
/** Faults of the VM list. */
export type VmListFaults = z.infer<typeof vmListFaultsSchema>;

/** Schema of an edit: lines are named by `vm` or `server`. */
export const vmListChangeSchema = z.strictObject({
  put: z.array(listedVmSchema).default([]),
  /** Names of lines to drop. */
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

  /** The list as it is told now. */
  visibleSnapshot(): VmListSnapshot {
    const asOfMs = this.#clock.nowMs() - (this.#faults.lagMs ?? 0);
    const known = this.#history.filter((entry) => entry.sinceMs <= asOfMs);
    return known.at(-1)!.snapshot;
  }

  /** Sets the list; it is told after the lag. */
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
      ...parsed.data.put.map(nameOf),
    ]);
    const kept = this.#history.at(-1)!.snapshot.vms
      .filter((line) => !replaced.has(nameOf(line)));
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

function nameOf(line: ListedVm): string {
  return line.vm ?? line.server ?? "";
}
