/** Runs an entry process from its settings file until SIGTERM. */
import * as fs from "node:fs";
import type * as neverthrow from "neverthrow";
import { createNonBlockingLog } from "../utils/non_blocking_log.ts";
import type { LoggerFactory } from "../utils/log.ts";
import { ProcessEndLog } from "../utils/process_end_log.ts";
import { readProcessStatus } from "../utils/process_status.ts";
import { resetOpenConnections } from "../utils/reset_connection.ts";
import type {
  GatewaySettings,
  GatewaySettingsError,
} from "./gateway_settings.ts";
import type { PlatformAdapter } from "./platform_adapter.ts";
import { ProcessStop } from "./process_stop.ts";
import { type Gateway, startGateway } from "./wire_gateway.ts";

/** Options of {@link runGateway}. */
export interface RunGatewayOptions {
  /** Path of the settings file; undefined when the variable is not set. */
  readonly settingsPath: string | undefined;
  readonly loadSettings: (
    text: string,
  ) => neverthrow.Result<GatewaySettings, GatewaySettingsError>;
  readonly createAdapter: (settings: GatewaySettings) => PlatformAdapter;
}

const EXIT_SETTINGS = 2;
/** Longest wait for a consumer of log lines when the process ends. */
const FLUSH_TIMEOUT_MS = 200;
/** Interval at which the settings file is checked for changes. */
const SETTINGS_CHECK_MS = 2_000;

/**
 * Starts the process. On missing or invalid settings writes the reason to
 * standard error and sets exit status 2.
 */
export async function runGateway(options: RunGatewayOptions): Promise<void> {
  const { settingsPath, loadSettings, createAdapter } = options;
  if (settingsPath === undefined) {
    return failStart(
      "The path of the settings file is not set. Set its environment variable",
    );
  }
  const loaded = loadSettings(fs.readFileSync(settingsPath, "utf8"));
  if (loaded.isErr()) return failStart(loaded.error.message);
  const settings = loaded.value;
  const log = createNonBlockingLog(settings.log);
  let gateway: Gateway | undefined;
  const endLog = new ProcessEndLog({
    syncLog: log.syncPart("main"),
    readStatus: readProcessStatus,
    requestsInFlight: () => gateway?.requestsInFlight ?? 0,
  });
  const stop = new ProcessStop({
    log: log.part("main"),
    graceMs: settings.timings.graceSeconds * 1000,
    exit: (reason, status) => {
      endLog.noteReason(reason);
      log.flush(FLUSH_TIMEOUT_MS).finally(() => process.exit(status));
    },
  });
  process.once("exit", resetOpenConnections);
  process.once("exit", (status) => endLog.write(status));
  // Rejected promises that nothing awaits come here as well.
  process.on("uncaughtException", (error) => stop.onUncaughtError(error));
  log.part("main").info("Entry process starts.", {
    vm: settings.vm,
    pid: process.pid,
    node: process.version,
  });
  try {
    gateway = await startGateway({
      settings,
      adapter: createAdapter(settings),
      log,
    });
  } catch (error) {
    return stop.onStartFailed(error);
  }
  stop.noteStarted(gateway);
  watchSettings(settingsPath, loadSettings, log);
  process.on("SIGTERM", () => stop.onSignal());
}

/**
 * Validates and logs changes of the settings file, on SIGHUP and at an interval.
 * A running process keeps the settings that it started with.
 */
function watchSettings(
  path: string,
  loadSettings: RunGatewayOptions["loadSettings"],
  log: LoggerFactory,
): void {
  const mainLog = log.part("main");
  let lastText = fs.readFileSync(path, "utf8");
  const check = (because: string) => {
    fs.readFile(path, "utf8", (error, text) => {
      if (error !== null) {
        mainLog.warn("Settings can't be read.", {
          because,
          error: error.message,
        });
        return;
      }
      if (text === lastText) return;
      lastText = text;
      const loaded = loadSettings(text);
      if (loaded.isOk()) mainLog.info("Settings reloaded.", { because });
      else {
        mainLog.warn("Settings refused; the earlier ones stay.", {
          because,
          message: loaded.error.message,
        });
      }
    });
  };
  process.on("SIGHUP", () => check("signal"));
  setInterval(() => check("file changed"), SETTINGS_CHECK_MS).unref();
}

function failStart(message: string): void {
  process.stderr.write(`guavatide: ${message}\n`);
  process.exitCode = EXIT_SETTINGS;
}
