/** The platform's list of live and leaving VMs, which lags behind. */
import type { ResultAsync } from "neverthrow";
import * as z from "zod";
import {
  serverIdSchema,
  serviceIdSchema,
  vmIdSchema,
  zoneIdSchema,
} from "./ids.ts";
import { ipAddressSchema, portSchema } from "./network_address.ts";
import type { CallOptions } from "./platform_store.ts";

/** Schema of {@link ListedVm}. */
export const listedVmSchema = z.strictObject({
  kind: z.enum(["entry", "backend"]),
  /** Set for an entry VM. */
  vm: vmIdSchema.optional(),
  /** Set for a backend server. */
  server: serverIdSchema.optional(),
  /** The service that a backend server belongs to. */
  service: serviceIdSchema.optional(),
  zone: zoneIdSchema,
  /** IP address. */
  host: ipAddressSchema,
  /** Entry VM: port for peers. Backend server: its only port. */
  port: portSchema,
  state: z.enum(["live", "leaving"]),
});
/** One entry of the VM list. */
export type ListedVm = z.infer<typeof listedVmSchema>;

/** Schema of {@link VmListSnapshot}. */
export const vmListSnapshotSchema = z.strictObject({
  vms: z.array(listedVmSchema),
});
/** The whole list as of a recent time. */
export type VmListSnapshot = z.infer<typeof vmListSnapshotSchema>;

/** Why the list could not be fetched. */
export interface VmListError {
  readonly kind: "unavailable";
  readonly message: string;
}

/** Client of the VM list. */
export interface VmList {
  fetch(options: CallOptions): ResultAsync<VmListSnapshot, VmListError>;
}
