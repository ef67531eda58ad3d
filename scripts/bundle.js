/**
 * Bundles the program of the users' platform under target/: one file that a
 * start loads, and others for what is loaded when it is asked for.
 */
import * as esbuild from "esbuild";

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

await esbuild.build({
  entryPoints: ["platform/dist/main.js"],
  outdir: "target",
  entryNames: "guavatide",
  chunkNames: "guavatide-[name]-[hash]",
  splitting: true,
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  minify: true,
  legalComments: "none",
  plugins: [undiciParts],
  // Libraries written for require() find it under this name.
  banner: {
    js:
      'import { createRequire } from "node:module";const require=createRequire(import.meta.url);',
  },
});
