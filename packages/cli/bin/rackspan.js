#!/usr/bin/env node
import "../dist/src/bin.js";
