#!/usr/bin/env node
// Present before the build, so that npm can link the command on install.
import "../dist/main.js";
