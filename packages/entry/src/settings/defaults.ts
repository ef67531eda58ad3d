/** Whole settings with every default filled in, to start a file from. */
import { type Settings, settingsSchema } from "./schema.ts";

/** Fields without a default: what differs from VM to VM. */
const EXAMPLE_SETTINGS = {
  vm: "entry-1",
  zone: "zone-1",
  region: "region-1",
  host: "127.0.0.1",
  platform: {
    storeUrl: "http://127.0.0.1:7300",
    vmListUrl: "http://127.0.0.1:7301",
  },
  peerSecret: "change-this-secret-on-every-vm",
};

/** Settings of an example VM with all defaults. Errors: none. */
export function defaultSettings(): Settings {
  return settingsSchema.parse(EXAMPLE_SETTINGS);
}

/** The same as JSON text, as `guavatide print-defaults` prints it. */
export function printDefaults(): string {
  return JSON.stringify(defaultSettings(), null, 2) + "\n";
}
