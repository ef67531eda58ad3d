/**
 * Publishes configuration without an entry VM, through the same drafts and
 * the same publisher that the administration API uses.
 */
import * as contracts from "@guavatide/contracts";
import * as configuration from "guavatide/configuration/mod";
import { MonotonicClock } from "guavatide/utils/clock";

const TIMEOUT_MS = 5_000;
const CALL_TIMEOUT_MS = 1_000;
const OPERATOR = "local-deployment";

/** Writes the objects as drafts and publishes them. Errors: rejects. */
export async function publishInitial(
  store: contracts.PlatformStore,
  objects: readonly contracts.ConfigObject[],
): Promise<void> {
  await publishAdditional(store, objects, { knownRevision: 0 });
}

/** Options of {@link publishAdditional}. */
export interface PublishAdditionalOptions {
  /** Highest revision known to be in force. */
  readonly knownRevision: number;
}

/** Adds objects and publishes; returns the revision. Errors: rejects. */
export async function publishAdditional(
  store: contracts.PlatformStore,
  objects: readonly contracts.ConfigObject[],
  options: PublishAdditionalOptions,
): Promise<number> {
  const times = {
    store,
    clock: new MonotonicClock(),
    timeoutMs: TIMEOUT_MS,
    callTimeoutMs: CALL_TIMEOUT_MS,
    now: () => new Date().toISOString(),
  };
  const drafts = new configuration.DraftStore(times);
  for (const object of objects) {
    const created = await drafts.create(object, OPERATOR);
    if (created.isErr()) throw new Error(created.error.message);
  }
  const publisher = new configuration.Publisher({
    ...times,
    vm: OPERATOR as contracts.VmId,
    drafts,
    reader: new configuration.ConfigReader(times),
    valueLimitBytes: contracts.STORE_VALUE_LIMIT_BYTES,
  });
  const plan = await publisher.plan();
  if (plan.isErr()) throw new Error(plan.error.message);
  const published = await publisher.publish({
    operator: OPERATOR,
    tag: plan.value.tag,
    knownRevision: options.knownRevision,
    forbidden: () => [],
  });
  if (published.isErr()) throw new Error(published.error.message);
  return published.value.revision;
}
