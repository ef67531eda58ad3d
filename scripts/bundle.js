/** Bundles the program of the users' platform into one file under target/. */
import * as esbuild from "esbuild";

await esbuild.build({
  entryPoints: ["platform/dist/main.js"],
  outfile: "target/guavatide.js",
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  minifySyntax: true,
  legalComments: "none",
  // Libraries written for require() find it under this name.
  banner: {
    js:
      'import { createRequire } from "node:module";const require=createRequire(import.meta.url);',
  },
});
