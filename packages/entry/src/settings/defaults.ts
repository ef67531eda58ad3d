/** Complete settings with all defaults, as a template for a settings file. */
import { type Settings, settingsSchema } from "./schema.ts";

/** Example values of the required fields, which have no default. */
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

/** Settings of an example VM with all defaults. Never throws. */
export function defaultSettings(): Settings {
  return settingsSchema.parse(EXAMPLE_SETTINGS);
}

/** The same settings as JSON; the output of `guavatide print-defaults`. */
export function printDefaults(): string {
  return JSON.stringify(defaultSettings(), null, 2) + "\n";
}
