/**
 * Loads the bundled program beside this file, with the code that V8 compiled in
 * a profile run. V8 rejects a code cache of another version or other flags, and
 * then compiles the program as if there were none.
 */
"use strict";
const fs = require("node:fs");
const path = require("node:path");
const vm = require("node:vm");

/** Directory to which a profile run writes its code cache at exit. */
const profileDirectory = process.env.GUAVATIDE_PROFILE_DIRECTORY;
const filename = path.join(__dirname, "program.js");
const cachePath = path.join(__dirname, "program.cache");

function readCache() {
  if (profileDirectory !== undefined) return undefined;
  try {
    return fs.readFileSync(cachePath);
  } catch {
    return undefined;
  }
}

// The bundler escapes all characters outside ASCII.
const source = fs.readFileSync(filename, "latin1");
const script = new vm.Script(
  `(function(require,module,exports,__filename,__dirname){${source}\n})`,
  { filename, cachedData: readCache() },
);
if (profileDirectory !== undefined) writeCacheAtExit();
script.runInThisContext()(require, module, exports, filename, __dirname);

function writeCacheAtExit() {
  const v8 = require("node:v8");
  // Code that garbage collections drop would be missing in the cache.
  v8.setFlagsFromString("--no-flush-bytecode");
  process.once("exit", () => {
    // Flags are part of the cache and must be those of a usual start.
    v8.setFlagsFromString("--flush-bytecode");
    fs.writeFileSync(
      path.join(profileDirectory, `${process.pid}.cache`),
      script.createCachedData(),
    );
  });
}
