/**
 * Finds out from outside which configuration an entry VM has in force. Each
 * publish of a proof adds a marker service ("mark"); an entry VM that doesn't
 * know a service answers requests for it with `unknown-service`.
 */
import * as contracts from "@guavatide/contracts";
import * as platform from "guavatide/platform/mod";
import { publishAdditional } from "../deployment/config_publish.ts";
import { pause, type ProofCluster } from "./proof_cluster.ts";
import { OPERATOR_TOKEN } from "./proof_plan.ts";

const SAMPLE_INTERVAL_MS = 50;
const PROBE_TIMEOUT_MS = 2000;

/** Publishes marks and samples every entry VM for them. */
export class ConfigMarks {
  readonly #cluster: ProofCluster;
  readonly #store: platform.HttpPlatformStore;
  /** Marks seen so far at each entry VM. */
  readonly #seen = new Map<string, Set<string>>();
  readonly #reverts: string[] = [];
  readonly #published: string[] = [];
  readonly #sampling: Promise<void>;
  #isStopping = false;
  #revision = 1;

  constructor(cluster: ProofCluster) {
    this.#cluster = cluster;
    this.#store = new platform.HttpPlatformStore(cluster.deployment.storeUrl);
    this.#sampling = this.#sample();
  }

  /** Publishes a new mark; resolves when the store has acknowledged it. */
  async publish(mark: string): Promise<void> {
    this.#revision = await publishAdditional(this.#store, objectsOf(mark), {
      knownRevision: this.#revision,
    });
    this.#published.push(mark);
  }

  /** Publishes a new mark through the admin API of an entry VM. */
  async publishThrough(vm: string, mark: string): Promise<void> {
    const admin = this.#cluster.administrationUrl(vm);
    for (const object of objectsOf(mark)) {
      const path = `/v1/objects/${object.kind}/${object.name}`;
      await callAdmin(`${admin}${path}`, {
        method: "PUT",
        headers: { "if-none-match": "*" },
        body: JSON.stringify(object),
      });
    }
    const diff = await callAdmin(`${admin}/v1/diff`, { method: "GET" });
    await callAdmin(`${admin}/v1/publish`, {
      method: "POST",
      headers: { "if-match": `"${diff.tag}"` },
    });
    this.#published.push(mark);
  }

  /** Whether an entry VM has a mark in force; undefined if it doesn't answer. */
  async has(vm: string, mark: string): Promise<boolean | undefined> {
    try {
      const url = `${this.#cluster.deployment.callerUrl(vm)}/s/${mark}/x`;
      const response = await fetch(url, {
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
        headers: { [contracts.TIMEOUT_HEADER]: "50" },
      });
      await response.text();
      const reason = response.headers.get(contracts.REASON_HEADER);
      return reason !== "unknown-service";
    } catch {
      return undefined;
    }
  }

  /** Waits until every reachable entry VM has the mark. */
  async untilEverywhere(mark: string): Promise<void> {
    await this.#cluster.until(`${mark} in force everywhere`, async () => {
      const { vms } = this.#cluster;
      const found = await Promise.all(vms.map((vm) => this.has(vm, mark)));
      return found.every((has) => has === true);
    });
  }

  /** Waits until at least one entry VM has the mark. */
  async untilSomewhere(mark: string): Promise<void> {
    await this.#cluster.until(`${mark} in force somewhere`, async () => {
      const { vms } = this.#cluster;
      const found = await Promise.all(vms.map((vm) => this.has(vm, mark)));
      return found.includes(true);
    });
  }

  /** Stops sampling and returns each reversion to an older configuration. */
  async finish(): Promise<readonly string[]> {
    this.#isStopping = true;
    await this.#sampling;
    await this.#store.close();
    return this.#reverts;
  }

  async #sample(): Promise<void> {
    while (!this.#isStopping) {
      for (const vm of this.#cluster.vms) await this.#sampleVm(vm);
      await pause(SAMPLE_INTERVAL_MS);
    }
  }

  async #sampleVm(vm: string): Promise<void> {
    const seen = this.#seen.get(vm) ?? new Set();
    this.#seen.set(vm, seen);
    for (const mark of this.#published) {
      const has = await this.has(vm, mark);
      if (has === true) seen.add(mark);
      if (has === false && seen.has(mark)) {
        this.#reverts.push(`${vm} no longer has ${mark}`);
      }
    }
  }
}

/** Calls the admin API. Errors: throws if the call fails. */
async function callAdmin(
  url: string,
  init: RequestInit,
): Promise<{ tag?: string }> {
  const response = await fetch(url, {
    ...init,
    headers: { ...init.headers, authorization: `Bearer ${OPERATOR_TOKEN}` },
  });
  const text = await response.text();
  if (response.ok) return JSON.parse(text);
  throw new Error(`"${url}" answered ${response.status}: ${text}`);
}

function objectsOf(mark: string): contracts.ConfigObject[] {
  const name = mark as contracts.ServiceId;
  const partner = "kayfa" as contracts.PartnerId;
  return [
    {
      kind: "service",
      name,
      partner,
      places: ["plateau" as contracts.ZoneId],
      keyed: false,
      slotsPerServer: 1,
      connectionsPerServer: 10,
      idempotentMethods: ["GET"],
      timeoutMs: 1000,
      queueRequests: 1,
      imbalanceWeight: 1,
      churnWeight: 1,
    },
    {
      kind: "cost-share",
      name: `${mark}-split`,
      service: name,
      shares: [{ partner, percent: 100 }],
    },
  ];
}
