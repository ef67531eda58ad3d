/** Bundles the program of the users' platform into one file under target/. */
import * as fs from "node:fs";
import * as esbuild from "esbuild";

const TARGET = "target";

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
    // Loads node:http2, and no server of the platform speaks HTTP/2.
    build.onLoad({ filter: /undici.lib.dispatcher.client-h2\.js$/ }, () => ({
      contents: "module.exports = () => { throw new Error('No HTTP/2') }",
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
  outfile: `${TARGET}/guavatide.js`,
  bundle: true,
  platform: "node",
  // Node starts a script without the asynchronous loader of ES modules.
  format: "cjs",
  target: "node20",
  minify: true,
  legalComments: "none",
  plugins: [undiciParts],
});
fs.writeFileSync(`${TARGET}/package.json`, '{ "type": "commonjs" }\n');
