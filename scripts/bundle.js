/**
 * Bundles the program of the users' platform under target/: the program in one
 * file, its compiled code as V8 serializes it, and a launcher that loads both.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as esbuild from "esbuild";

const TARGET = "target";
/** A profile run takes 8 s; more means that it hangs. */
const PROFILE_TIMEOUT_MS = 60_000;

/**
 * The parts of undici that the program uses. Its main module also loads fetch,
 * WebSocket and caches, which cost a starting process a tenth of a second.
 */
const UNDICI_PARTS = {
  Agent: "lib/dispatcher/agent.js",
  Client: "lib/dispatcher/client.js",
  Pool: "lib/dispatcher/pool.js",
  buildConnector: "lib/core/connect.js",
};

const undiciParts = {
  name: "undici-parts",
  setup(build) {
    build.onResolve({ filter: /^undici$/ }, () => ({
      path: "undici-parts",
      namespace: "undici-parts",
    }));
    build.onLoad({ filter: /.*/, namespace: "undici-parts" }, () => ({
      contents: [
        'import Dispatcher from "undici/lib/dispatcher/dispatcher.js";',
        'import api from "undici/lib/api/index.js";',
        // As the main module does: adds request() to the dispatchers.
        "Object.assign(Dispatcher.prototype, api);",
        ...Object.entries(UNDICI_PARTS).map(([name, path]) =>
          `export { default as ${name} } from "undici/${path}";`
        ),
      ].join("\n"),
      resolveDir: process.cwd(),
    }));
  },
};

// Files of earlier bundles must not be loaded; others may keep theirs here.
fs.mkdirSync(TARGET, { recursive: true });
for (const name of fs.readdirSync(TARGET)) {
  const isOurs = /^(guavatide|program)[-.]/.test(name);
  if (isOurs) fs.rmSync(`${TARGET}/${name}`);
}

await esbuild.build({
  entryPoints: ["platform/dist/main.js"],
  outfile: `${TARGET}/program.js`,
  bundle: true,
  platform: "node",
  // Node 20 has a code cache for scripts only, not for ES modules.
  format: "cjs",
  target: "node20",
  minify: true,
  legalComments: "none",
  plugins: [undiciParts],
});
fs.writeFileSync(`${TARGET}/package.json`, '{ "type": "commonjs" }\n');
fs.copyFileSync("scripts/launcher.cjs", `${TARGET}/guavatide.js`);

// A process of its own, since the ports and timers of a profile run that fails
// must not keep this one alive. Without a code cache the program works as well,
// and starts later.
const { status } = childProcess.spawnSync(
  process.execPath,
  ["platform/dist/measure/code_cache_main.js", TARGET],
  { stdio: "inherit", timeout: PROFILE_TIMEOUT_MS },
);
if (status !== 0) console.error("bundle: no code cache was written.");
