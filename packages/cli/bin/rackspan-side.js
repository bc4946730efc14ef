#!/usr/bin/env node
import "../dist/src/binSide.js";
