#!/usr/bin/env node
import '../dist/data-path/bare-forward.js';
