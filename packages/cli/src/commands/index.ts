import "./apply.js";
import "./check.js";
import "./entry.js";
import "./get.js";
import "./hosts.js";
import "./status.js";
import "./units.js";

export { addCommands, type CommandContext } from "./registry.js";
